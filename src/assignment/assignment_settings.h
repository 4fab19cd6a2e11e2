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

/// How many replicas of a model a zone has. The daemon fills it from the configuration.
struct ModelTarget {
    ModelId model;
    std::string version;
    std::vector<std::string> adapters;
    std::string pool; // of the VMs that run the model
    std::uint32_t vmsPerReplica = 1;
    std::uint32_t replicas = 0; // wanted in this zone
};

/// Settings of the assignment in one zone, from the configuration in force.
struct AssignmentSettings {
    std::vector<ModelTarget> models; // in the order of importance
    std::map<std::string, bool> enginesCheckFencing; // by pool; a pool that is not listed ignores the number
    std::string strategy = "nearest_whole"; // or first_fit
    std::uint32_t loadsAtOnce = 8; // weight loads of the zone at the same time, which the weight store's rate allows
    Duration leaseDuration{seconds(10)};
    Duration leaseMargin{seconds(1)}; // the holder stops this much before other daemons may take the lease
    Duration renewPeriod{seconds(3)};
    Duration missingAfter{seconds(4)}; // longer than the observation bound, so that routers stop before a member is replaced
    Duration drainSettle{seconds(5)}; // time until every router has seen that a replica is draining
    Duration maxOrderLifetime{seconds(15)}; // after its sending an unanswered order can arrive no more
    Duration surplusHold{seconds(30)}; // a replica over the wanted number is kept this long, since views of other domains lag

    bool checksFencing(const std::string &pool) const
    {
        const auto found = enginesCheckFencing.find(pool);
        return found != enginesCheckFencing.end() && found->second;
    }

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

/// The last successful read-back of an engine.
struct VmObservation {
    TimePoint seenAt{};
    EngineState state;

    bool hasWeights(const ModelId &model) const;
};

using VmObservations = std::map<VmId, VmObservation>;

}
