#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace carawaypoint
{

/// State of a fabric domain in the daemon's own zone.
struct DomainFacts {
    FabricDomainId id;
    std::uint32_t vms = 0; // VMs in the platform's list, without draining ones
    std::uint32_t seenVms = 0; // VMs that answered a probe within the observation bound
};

/// State of a replica in the daemon's own zone, as the domain record describes it.
struct ReplicaFacts {
    ReplicaId id;
    ModelId model;
    FabricDomainId domain;
    bool isServing = false;
    bool isPlannedStop = false; // an operator drains one of its VMs; raises no alarm
    std::vector<VmId> missingVms; // members that answered no probe within the observation bound
    double repairProgress = 0; // 0 to 1: fraction of the members that are seen and have loaded their weights
};

/// Configured replica count of a model at the daemon's own site.
struct ModelFacts {
    ModelId id;
    std::uint32_t wantedReplicas = 0;
};

/// Server counts of a plain service, over all zones.
struct ServiceFacts {
    ServiceId id;
    std::uint32_t servers = 0; // servers in the platform's list
    std::uint32_t seenServers = 0; // of these, without draining ones
};

/// Reachability of another zone.
struct ZoneFacts {
    ZoneId id;
    bool isReachable = true; // a message of one of its daemons arrived within the suspicion time
};

/// A live daemon whose configuration in force is older than the newest generation.
struct OutdatedMember {
    MemberId id;
    ZoneId zone;
};

/// What a daemon has observed at one moment. Input of the alarm conditions of its zone.
struct FleetFacts {
    TimePoint at{};
    ZoneId zone; // the daemon's own
    bool isViewFresh = true; // false after a pause of the process until new observations arrive; AlarmTracker ignores the facts meanwhile
    bool isPlatformReachable = true;
    std::vector<ZoneFacts> otherZones;
    std::vector<DomainFacts> domains;
    std::vector<ModelFacts> models;
    std::vector<ReplicaFacts> replicas;
    std::vector<ServiceFacts> services;
    std::uint32_t configuredDaemons = 0; // in the own zone
    std::uint32_t liveDaemons = 0; // in the own zone
    std::uint64_t configGeneration = 0; // newest generation known
    std::uint32_t liveMembers = 0; // daemons in all reachable zones
    std::vector<OutdatedMember> outdatedMembers;
};

}
