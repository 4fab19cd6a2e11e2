#pragma once

#include "fleet/model_demand.h"
#include "fleet/service_config.h"

#include <optional>
#include <span>
#include <vector>

namespace carawaypoint
{

/// A serving replica whose servers could be used for another model.
struct MovableReplica {
    ReplicaId id;
    ModelId model;
    unsigned size = 1; // servers
    double requests = 0; // in progress
    unsigned weightHolders = 0; // servers that hold the weights of the model in need
};

/// Servers of one fabric domain that a replica of the model in need could use.
struct DomainCapacity {
    unsigned freeServers = 0;
    unsigned freeWeightHolders = 0; // free servers that hold the weights of the model in need
    std::vector<MovableReplica> replicas; // of other models
};

/// Replicas to drain so that their servers, with the free ones of the domain, form a replica of another model.
struct CapacityMove {
    std::size_t domain = 0; // index of the domain
    std::vector<ReplicaId> drained;
    unsigned loadsFromStore = 0; // servers that would load the weights from the weight store
};

/// Chooses servers to move from models with spare capacity to a model whose requests need more. Does no I/O and keeps no state. A model has
/// spare capacity if it needs less also at the highest load of the recent past.
///
/// Without moves, a model that loses replicas faster than they are repaired rejects its requests while the replicas of another model
/// are idle.
class CapacityBalancer
{
public:
    /// A model with at least this many servers for each needed one gets no servers from others.
    static constexpr double SufficientCoverage = 1.25;
    /// A move must raise the lowest coverage of the models involved by this factor; smaller gains do not repay the drain.
    static constexpr double MinGain = 1.15;
    /// Below this coverage, and if the other model keeps a sufficient one, a move may load weights from the weight store.
    static constexpr double CoverageForLoads = 0.5;

    /// The model that lacks servers most; null when all are sufficiently covered.
    static const ModelDemand *findNeed(std::span<const ModelDemand> demands);
    /// The cheapest move that helps @p need; empty when there is none.
    /// @param size servers of one replica of the model in need.
    static std::optional<CapacityMove>
    planMove(const ModelDemand &need, unsigned size, std::span<const ModelDemand> demands, std::span<const DomainCapacity> domains);
};

}
