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
    std::uint32_t missingMembers = 0; // no VM is there for them
    std::uint32_t loads = 0; // members that have to load or are loading from the weight store
};

/// A VM that could become a member.
struct VmCandidate {
    VmId vm;
    bool hasWeights = false; // of the model: it loads without the weight store
};

/// A domain that could host one more replica of a model.
struct DomainChoice {
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
    /// Index of the domain that hosts a replica of @p vmsPerReplica VMs; @p choices is not empty and all have room.
    std::size_t (*chooseDomain)(std::span<const DomainChoice> choices, std::uint32_t vmsPerReplica);
    /// Whether loads are admitted replica by replica under the zone's limit; otherwise all start at once.
    bool limitsLoads = true;
    /// Whether an incomplete replica may be dissolved to complete another one.
    bool dissolves = true;
};

std::span<const AssignmentStrategy> assignmentStrategies();

/// The strategy called @p name; null when there is none.
const AssignmentStrategy *findAssignmentStrategy(std::string_view name);

}
