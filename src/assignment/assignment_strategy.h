#pragma once

#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace carawaypoint
{

/// A replica that needs VMs or weight loads.
struct RepairCandidate {
    ReplicaId replica;
    std::uint32_t missingMembers = 0; // members without a live VM
    std::uint32_t loads = 0; // members that are loading or have to load from the weight store
};

/// A VM that could become a member.
struct VmCandidate {
    VmId vm;
    bool hasWeights = false; // has the model's weights, so that it loads without the weight store
};

/// A domain with enough free VMs for one more replica of a model.
struct DomainCandidate {
    FabricDomainId domain;
    std::uint32_t freeVms = 0;
    std::uint32_t replicasOfModel = 0;
};

/// Choices of a placement strategy. All functions are pure and depend only on their arguments.
struct AssignmentStrategy {
    std::string_view name;
    /// Whether @p left is repaired, and loads weights, before @p right.
    bool (*repairsBefore)(const RepairCandidate &left, const RepairCandidate &right);
    /// Index of the VM to take; @p candidates is not empty.
    std::size_t (*chooseVm)(std::span<const VmCandidate> candidates);
    /// Index of the domain for a new replica of @p vmsPerReplica VMs; @p choices is not empty and all have enough free VMs.
    std::size_t (*chooseDomain)(std::span<const DomainCandidate> choices, std::uint32_t vmsPerReplica);
    /// Whether weight loads are admitted one replica after the other up to the zone's limit; otherwise all start at once.
    bool limitsConcurrentLoads = true;
    /// Whether an incomplete replica may be dissolved so that its VMs complete another one.
    bool mayDissolveReplicas = true;
};

std::span<const AssignmentStrategy> assignmentStrategies();

/// The strategy called @p name; null for an unknown name.
const AssignmentStrategy *findAssignmentStrategy(std::string_view name);

}
