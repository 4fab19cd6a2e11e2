#pragma once

#include "core/clock.h"
#include "fleet/control_lease.h"
#include "objects/object_store.h"

#include <functional>
#include <string>
#include <system_error>

namespace carawaypoint
{

/// Reads and writes the lease of the replica controller in the store. The lists of daemons, which are read anyway, contain the lease
/// too, so that few additional calls are needed: renewals, and one read after a failed write.
class LeaseKeeper
{
public:
    /// Name of the lease object, which has the kind of the daemons' objects.
    static constexpr std::string_view ObjectName = "replica-controller";

    struct Settings {
        Duration readRetryInterval{seconds(1)}; // between reads while the store does not answer
        Duration holderReadRetryInterval{milliseconds(250)}; // same for the holder, which loses the lease if it cannot renew it
        Duration firstTakeDelay{}; // before a lease that was never held is taken, so that not all gateways of a new fleet write at once
    };
    using ResultHook = std::function<void(std::error_code, Duration callTime)>;

    /// @param onResult called after each call to the store with its error, if any, and the time since it was sent.
    LeaseKeeper(ObjectStore &store, const Clock &clock, std::string kind, ControlLease lease, Settings settings, ResultHook onResult);

    /// The lease was read, in a list of daemons or on its own. @p object is null when it does not exist at @p revision of the store.
    void onLeaseRead(const StoredObject *object, std::uint64_t revision = 0);
    /// The store came back from an older copy: the lease of the era that has ended is no longer held.
    void onStoreRestored();
    /// A server refused an order because it has seen a higher term: mayAct() returns false until the store shows that the lease is held.
    void onOrderRefused();
    /// Reads or writes the lease if that is due.
    void update();
    /// Releases the lease, then calls @p done; calls it immediately when the lease is not held.
    void release(std::function<void()> done);

    bool isHeld() const
    {
        return lease_.isHeld(clock_.now());
    }
    /// Whether the lease is held and no server has refused its term.
    bool mayAct() const
    {
        return lease_.mayAct(clock_.now());
    }
    /// Whether another term came before the one that is held.
    bool hasPredecessor() const
    {
        return lease_.hasPredecessor();
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
    TimePoint lastReadAt_{};
    bool isKnown_ = false; // the lease or its absence has been read
    bool isReading_ = false;
    bool isReadOutdated_ = false; // an order was refused after the read in progress began
};

}
