#pragma once

#include "core/clock.h"
#include "fleet/replica_view.h"

#include <map>
#include <optional>
#include <set>

namespace carawaypoint
{

struct ServerRegistrySettings {
    /// After the store was away, servers that live register again within about two seconds. Removals until then are deferred.
    Duration returnTime{milliseconds(2200)};
    /// For which a member that is not listed any more is kept as unlisted.
    Duration unlistedTime{seconds(12)};
};

/// The backend servers as the store lists them.
///
/// Registrations lapse while the store cannot be reached, although the servers live. A removal that follows a failure of the
/// store is therefore applied only when the server has not come back in time; one that is still missing then is gone.
///
/// A member of a replica whose registration lapses may only be cut off from the store and do its work as before. It stays known as
/// unlisted: its replica serves on as long as its head is listed and its streams make progress.
class ServerRegistry
{
public:
    explicit ServerRegistry(ServerRegistrySettings settings = {});

    void replaceAll(ServerMap servers, TimePoint now);
    void set(BackendServer server);
    void remove(const VmId &id, TimePoint now);
    void noteStoreFailure();
    void noteStoreAnswer(TimePoint now);
    /// Removals are deferred until @p end at least, since another gateway found the store away.
    void deferUntil(TimePoint end);
    /// For which removals are deferred yet.
    Duration unsettledTime(TimePoint now) const;
    /// Applies removals that are due. Returns whether the list changed since the last call.
    bool takeChange(TimePoint now);

    const ServerMap &servers() const
    {
        return servers_;
    }

private:
    bool mustDefer(TimePoint now) const;
    void drop(const VmId &id, TimePoint now);

    ServerRegistrySettings settings_;
    ServerMap servers_;
    std::set<VmId> removals_; // deferred
    std::map<VmId, TimePoint> unlistedSince_;
    bool isFailing_ = false;
    TimePoint deferredUntil_{};
    std::optional<TimePoint> returnedAt_; // when the store last answered again after a failure
    bool isChanged_ = false;
};

}
