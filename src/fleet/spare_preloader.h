#pragma once

#include "core/clock.h"
#include "fleet/backend_server.h"
#include "fleet/replica_composer.h"

#include <map>
#include <optional>

namespace carawaypoint
{

/// Lets spares load the weights that their hosts keep, so that a replica with a lost member serves again without that delay. Does no I/O; the time is
/// passed in.
///
/// A server loads weights when it joins a replica. A spare therefore joins one of its own, which has no other member and is never opened.
class SparePreloader
{
public:
    /// Time for which a server must have been free. After a network partition the registration of a member may lack its replica until the next heartbeat.
    static constexpr Duration MinFreeTime = seconds(2);
    /// Time after which a join is repeated whose effect the registration does not show.
    static constexpr Duration RetryInterval = seconds(5);

    /// Id of the replica of a single spare with this epoch.
    static ReplicaId replicaId(std::uint64_t epoch);
    /// Whether @p replica is that of a single spare.
    static bool isOwnReplica(const ReplicaId &replica);

    /// The model whose weights the spare should load now; empty when it has loaded some, when its host keeps none, or when it was just ordered to.
    /// To be called for each spare all the time.
    /// @param server registration of the spare.
    ModelId takeDue(const FreeServer &spare, const BackendServer &server, TimePoint now);
    /// Forgets the servers that are no spares any more.
    void expire(TimePoint now);

private:
    struct Spare {
        TimePoint since{};
        TimePoint seenAt{};
        std::optional<TimePoint> orderedAt;
    };

    std::map<VmId, Spare> spares_;
};

}
