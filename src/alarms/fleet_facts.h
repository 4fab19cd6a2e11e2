#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace carawaypoint
{

/// A fabric domain of the daemon's own zone.
struct DomainFacts {
    FabricDomainId id;
    std::uint32_t vms = 0; // by the platform's list, without leaving ones
    std::uint32_t seenVms = 0; // seen by their probers within the observation bound
};

/// A replica of the daemon's own zone as the domain record states it.
struct ReplicaFacts {
    ReplicaId id;
    ModelId model;
    FabricDomainId domain;
    bool isServing = false;
    bool isPlannedStop = false; // an operator drains one of its VMs, which is no fault
    std::vector<VmId> missingVms; // members that are not seen
    double repairProgress = 0; // 0 to 1: part of the members that are seen and loaded, with partial loads
};

/// A model at the daemon's own site.
struct ModelFacts {
    ModelId id;
    std::uint32_t wantedReplicas = 0;
};

/// A plain service with its servers in all zones.
struct ServiceFacts {
    ServiceId id;
    std::uint32_t servers = 0; // by the platform's list
    std::uint32_t seenServers = 0;
};

/// Another zone.
struct ZoneFacts {
    ZoneId id;
    bool isReachable = true; // one of its daemons was heard within the suspicion time
};

/// A live daemon that does not have the newest configuration in force.
struct MemberBehind {
    MemberId id;
    ZoneId zone;
};

/// What a daemon knows at one moment, for the alarms of its zone.
struct FleetFacts {
    TimePoint at{};
    ZoneId zone; // the daemon's own
    bool isViewFresh = true; // false after a pause, until observations are new: such facts are ignored
    bool isPlatformReachable = true;
    std::vector<ZoneFacts> otherZones;
    std::vector<DomainFacts> domains;
    std::vector<ModelFacts> models;
    std::vector<ReplicaFacts> replicas;
    std::vector<ServiceFacts> services;
    std::uint32_t configuredDaemons = 0; // of the own zone
    std::uint32_t liveDaemons = 0;
    std::uint64_t configGeneration = 0; // newest known
    std::uint32_t liveMembers = 0; // of all reachable zones
    std::vector<MemberBehind> membersBehind;
};

}
