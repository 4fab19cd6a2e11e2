#pragma once

#include "gateway/change_notice.h"

#include <optional>

namespace carawaypoint
{

/// Decides what a gateway does with notices of changes, and when it must watch the store itself. Pure: no sockets and no clock.
///
/// Answers the load of a fleet whose gateways all watch the store: its calls would grow with their number. Notices only save
/// calls. Whoever misses one, or hears none, asks the store from the revision that it has.
class ChangeFollower
{
public:
    /// Relays send a notice at least each quarter of a second, so that three were lost or both relays are gone.
    static constexpr Duration SilenceLimit = milliseconds(900);

    enum class Step : std::uint8_t {
        None, // nothing new
        Apply, // the changes follow on what is known
        CatchUp, // changes between were missed
    };

    /// @param revision up to which this gateway knows the changes.
    Step note(const ChangeNotice &notice, std::uint64_t revision, TimePoint now);
    /// Whether notices come, so that the store need not be watched.
    bool isFed(TimePoint now) const
    {
        return heardAt_ && now - *heardAt_ < SilenceLimit;
    }

private:
    std::optional<TimePoint> heardAt_;
};

}
