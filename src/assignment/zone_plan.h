#pragma once

#include "assignment/assignment_settings.h"
#include "assignment/assignment_strategy.h"
#include "assignment/domain_record.h"
#include "objects/object_store.h"

#include <map>
#include <set>
#include <span>
#include <vector>

namespace carawaypoint
{

/// State of one replica by its domain record and the observations.
struct ReplicaSummary {
    ReplicaId id;
    ModelId model;
    std::uint32_t expectedMembers = 0;
    std::uint32_t liveMembers = 0; // members that are not missing
    std::set<VmId> loadingMembers; // members that are loading from the weight store
    std::set<VmId> membersToLoad; // members that have yet to load from the weight store
    bool isComplete = false; // every member is live, matches the record and is loaded
    bool isCompletable = false; // whether the free VMs and spares of its domain suffice to complete it
    bool isOutdated = false; // whether its version or adapters differ from the target
};

/// State of one fabric domain, as input of the zone's plan.
struct DomainSummary {
    FabricDomainId domain;
    std::map<std::string, std::uint32_t> freeVms; // by pool; includes spares, excludes VMs that incomplete replicas need
    std::vector<ReplicaSummary> replicas;
};

/// Planned changes in all domains of a zone. Every controller computes the plan from its own view and carries out only the
/// parts of the domains whose lease it holds. So temporarily different views can cause a surplus replica, which is removed
/// later, but never bind a VM twice.
struct ZonePlan {
    std::map<FabricDomainId, std::map<ModelId, std::uint32_t>> replicasToCreate;
    std::map<FabricDomainId, std::set<ReplicaId>> replicasToRemove;
    std::map<FabricDomainId, std::set<ReplicaId>> replicasToUpdate; // to change version or adapters; one of each model at a time
    std::set<VmId> admittedLoads; // members that may load from the weight store now
};

/// Summarises a domain. VMs of the domain in @p inventory that the record does not contain yet count as free.
DomainSummary summarizeDomain(const DomainRecord &record,
                              std::span<const VmRecord> inventory,
                              const VmObservations &observations,
                              const AssignmentSettings &settings,
                              TimePoint observedSince,
                              TimePoint now);

/// Plans creations, removals and updates of replicas and the weight loads for the zone.
ZonePlan planZone(std::span<const DomainSummary> domains, const AssignmentSettings &settings, const AssignmentStrategy &strategy);

/// Whether a VM has not been observed for missingTimeout, while observations of the zone were received for at least as long.
bool isMissing(const VmId &vm, const VmObservations &observations, const AssignmentSettings &settings, TimePoint observedSince, TimePoint now);

}
