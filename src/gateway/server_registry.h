#pragma once

#include "core/clock.h"
#include "fleet/replica_view.h"

#include <map>
#include <optional>
#include <set>

namespace carawaypoint
{

struct ServerRegistrySettings {
    /// After the store was unavailable, running servers register again within about two seconds. Removals are deferred until then.
    Duration reregistrationGracePeriod{milliseconds(2200)};
    /// Time for which a replica member is kept after its registration lapsed.
    Duration lapsedMemberRetention{seconds(12)};
    /// After the store came back from an older copy, servers have written again what they are by then, and the registrations of those that are gone
    /// have lapsed.
    Duration restorationTime{seconds(5)};
    /// Time for which a server that has left is remembered; exceeds the age of the copies from which stores are restored.
    Duration departureMemory{seconds(30)};
};

/// The registered backend servers.
///
/// Registrations lapse while the store is unreachable, although the servers are running. A removal after a failure of the store is
/// therefore applied only if the server has not registered again by the end of the grace period.
///
/// A replica member whose registration lapses may only have lost its connection to the store and work as before. It is kept, marked as
/// lapsed: its replica continues to serve as long as its head is registered and its streams make progress.
///
/// A store that came back from an older copy lists servers as they were. One that was known to leave, or to be gone, stays so until its process writes
/// to the store again or the restoration is over.
class ServerRegistry
{
public:
    explicit ServerRegistry(ServerRegistrySettings settings = {});

    void replaceAll(ServerMap servers, TimePoint now);
    void set(BackendServer server);
    /// The registration of @p id is gone.
    void remove(const VmId &id, TimePoint now);
    /// The registration of @p id is there, but names no server that can be used. Unlike one that is gone it has not lapsed, so that nothing is kept.
    void discard(const VmId &id);
    void recordStoreFailure();
    void recordStoreAnswer(TimePoint now);
    /// The store came back from an older copy; the lists that follow are of the new era.
    void recordRestoration(TimePoint now);
    /// Defers removals at least until @p end, since another gateway found the store unavailable.
    void deferRemovalsUntil(TimePoint end);
    /// Time for which removals are still deferred.
    Duration remainingDeferral(TimePoint now) const;
    /// Applies removals that are due. Returns whether the servers changed since the last call.
    bool takeChange(TimePoint now);

    const ServerMap &servers() const
    {
        return servers_;
    }

private:
    /// The process of a server that left or was removed.
    struct Departure {
        std::uint64_t startedAt = 0; // of the server's process
        TimePoint at;
    };

    bool mustDeferRemovals(TimePoint now) const;
    void withholdOutdated(ServerMap &listed);
    bool isKnownToLeave(const BackendServer &listed) const;
    void endRestoration();
    void recordDeparture(const BackendServer &server, TimePoint now);
    void applyRemoval(const VmId &id, TimePoint now);

    ServerRegistrySettings settings_;
    ServerMap servers_;
    std::set<VmId> deferredRemovals_;
    std::map<VmId, TimePoint> lapsedSince_;
    std::map<VmId, Departure> departures_;
    ServerMap withheld_; // registrations in the restored store that may be outdated
    std::optional<TimePoint> restorationEnd_; // while the store's lists may be outdated
    bool isStoreFailing_ = false;
    TimePoint deferredUntil_{};
    std::optional<TimePoint> storeRecoveredAt_; // when the store last recovered from a failure
    bool isChanged_ = false;
};

}
