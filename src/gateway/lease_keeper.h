#pragma once

#include "core/clock.h"
#include "fleet/control_lease.h"
#include "objects/object_store.h"

#include <functional>
#include <string>
#include <system_error>

namespace carawaypoint
{

/// Reads and writes the lease of the replica controller in the store. The lists of daemons, which are read anyway, show the lease
/// too, so that calls of its own are few: renewals, and one read after a write that failed.
class LeaseKeeper
{
public:
    /// Name of the lease among the objects of the daemons.
    static constexpr std::string_view ObjectName = "replica-controller";

    struct Settings {
        Duration readRetry{seconds(1)}; // between reads while the store does not answer
        Duration holderReadRetry{milliseconds(250)}; // as above for the holder, which loses the lease if it cannot renew it
        Duration firstDelay{}; // before a lease that nobody has held is taken, so that not all gateways of a new fleet write at once
    };
    using ResultHook = std::function<void(std::error_code)>;

    /// @param onResult is told whether the store answers.
    LeaseKeeper(ObjectStore &store, const Clock &clock, std::string kind, ControlLease lease, Settings settings, ResultHook onResult);

    /// The list of daemons came. @p object is null when the lease is not in it.
    void noteListed(const StoredObject *object);
    /// Reads or writes the lease as far as this is due.
    void keep();
    /// Gives the lease up; @p done is called at once when there is nothing to give up.
    void release(std::function<void()> done);

    bool isHeld() const
    {
        return lease_.isHeld(clock_.now());
    }
    std::uint64_t term() const
    {
        return lease_.term();
    }

private:
    void read();
    void write(const ControlLease::Write &write);
    bool isDelayed() const;

    ObjectStore &store_;
    const Clock &clock_;
    std::string kind_;
    ControlLease lease_;
    Settings settings_;
    ResultHook onResult_;
    TimePoint startedAt_;
    TimePoint readAt_{};
    bool isKnown_ = false; // the lease or its absence has been seen
    bool isReading_ = false;
};

}
