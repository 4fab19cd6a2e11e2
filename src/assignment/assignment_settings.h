#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "engine/engine_client.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace carawaypoint
{

/// Wanted replicas of one model in the zone. The daemon fills it from the configuration.
struct ModelTarget {
    ModelId model;
    std::string version;
    std::vector<std::string> adapters;
    std::string pool; // name of the pool of VMs that run the model
    std::uint32_t vmsPerReplica = 1;
    std::uint32_t replicas = 0; // wanted number in this zone
};

/// Settings of the assignment in one zone, from the configuration in force.
struct AssignmentSettings {
    std::vector<ModelTarget> models; // most important first
    std::map<std::string, bool> enginesCheckFencing; // by pool; engines of a pool that is not listed ignore fencing numbers
    std::string strategy = "nearest_whole"; // or first_fit
    std::uint32_t maxConcurrentLoads = 8; // limit of concurrent weight loads in the zone, given by the weight store's rate
    Duration leaseDuration{seconds(10)};
    Duration leaseMargin{seconds(1)}; // the holder stops acting this long before other daemons may take the lease
    Duration leaseRenewInterval{seconds(3)}; // interval of lease renewals
    Duration missingTimeout{seconds(4)}; // timeout of a VM without observations; longer than the observation bound, so that routers stop first
    Duration drainPropagationDelay{seconds(5)}; // time after which every router has seen that a replica is draining
    Duration maxOrderLifetime{seconds(15)}; // time after which an unanswered order can no longer reach its engine
    Duration surplusRemovalDelay{seconds(30)}; // time that a surplus replica is kept, since the views of other domains are delayed

    /// Whether the engines of @p pool refuse orders with a lower fencing number than the last.
    bool checksFencing(const std::string &pool) const
    {
        const auto found = enginesCheckFencing.find(pool);
        return found != enginesCheckFencing.end() && found->second;
    }

    /// The target of a model; null when the zone has none.
    const ModelTarget *model(const ModelId &id) const
    {
        for (const auto &target : models) {
            if (target.model == id) {
                return &target;
            }
        }
        return nullptr;
    }
};

/// The last state that an engine reported.
struct VmObservation {
    TimePoint observedAt{}; // when the probe was sent
    EngineState state;

    /// Whether the VM can load @p model without the weight store.
    bool hasWeights(const ModelId &model) const;
};

using VmObservations = std::map<VmId, VmObservation>;

}
