#pragma once

#include "gateway/change_notice.h"

#include <optional>

namespace carawaypoint
{

/// Decides how a gateway applies change notices, and when it must watch the store itself. Does no I/O; the time is passed in.
///
/// If all gateways watched the store, the calls to it would grow with their number. Notices only save calls: a gateway that misses
/// one or receives none requests the changes since its revision from the store.
class ChangeFollower
{
public:
    /// Relays send a notice at least every 250 ms, so after this time three were lost or both relays are gone.
    static constexpr Duration NoticeTimeout = milliseconds(900);

    enum class Step : std::uint8_t {
        None, // the changes are known already
        Apply, // the changes continue from the known revision
        CatchUp, // some changes are missing and must be fetched from the store
    };

    /// @param revision revision up to which this gateway knows all changes.
    Step applyNotice(const ChangeNotice &notice, std::uint64_t revision, TimePoint now);
    /// Whether relays send notices, so that the store need not be watched.
    bool receivesNotices(TimePoint now) const
    {
        return lastNoticeAt_ && now - *lastNoticeAt_ < NoticeTimeout;
    }

private:
    std::optional<TimePoint> lastNoticeAt_;
};

}
