#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <map>
#include <set>
#include <span>

namespace carawaypoint
{

/// Finds out which relays of load reports have ended. Does no I/O; the time is passed in.
///
/// The list of gateways cannot tell: the record of a gateway that is gone stays in the store. A relay that is silent for a while is replaced by
/// another gateway until it speaks again.
class RelayLiveness
{
public:
    /// Relays send every 0.3 s; some lost datagrams in a row are not silence. The counts of a silent relay expire after 2 s.
    static constexpr Duration SilenceTimeout = milliseconds(1500);

    /// The relays that should send to this gateway from @p now on. Silent ones stay silent until they speak.
    void expect(std::span<const MemberId> relays, TimePoint now);
    void recordMessage(const MemberId &relay, TimePoint now);
    /// Gives all relays the time to speak again, after this gateway did not run for a while.
    void restart(TimePoint now);
    /// Returns whether the silent relays have changed since the last call.
    bool update(TimePoint now);

    const std::set<MemberId> &silentRelays() const
    {
        return silent_;
    }

private:
    std::map<MemberId, TimePoint> awaitedSince_; // last message of each relay, or the time from which it is expected
    std::set<MemberId> silent_;
    bool hasSpokenAgain_ = false; // some silent relay
};

}
