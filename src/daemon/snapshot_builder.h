#pragma once

#include "config/effective_config.h"
#include "core/routing_snapshot.h"
#include "objects/object_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <vector>

namespace carawaypoint
{

/// State of the control thread from which a routing snapshot is built.
struct SnapshotInputs {
    const EffectiveConfig *config = nullptr; // null while no configuration is in force
    std::uint64_t generation = 0;
    ZoneId zone;
    std::vector<ReplicaView> replicas; // replicas of all zones, from domain records and observations
    std::span<const VmRecord> vms; // the platform's VM list
    std::set<VmId> leavingVms; // VMs that announced that they leave, before the VM list shows it
    std::uint32_t liveDaemonsInZone = 0; // live daemons of the zone, including this one
    bool isPeerExchangeFresh = false;
    bool isPlatformReachable = false;
    std::function<std::uint32_t(const CustomerId &)> peerDemand; // slots that a customer requests at the other daemons
    std::function<std::uint32_t(const ReplicaId &)> peerInFlight; // requests in progress at a replica from the other daemons
};

/// Builds the snapshot by which traffic threads route requests.
///
/// Plain services are not probed: a server counts as seen while it is in the platform's VM list, unless it announced that it leaves.
RoutingSnapshotPtr buildRoutingSnapshot(const SnapshotInputs &inputs, TimePoint now);

}
