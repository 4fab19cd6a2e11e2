#pragma once

#include "core/ids.h"

#include <unordered_map>
#include <vector>

namespace carawaypoint
{

/// Load of one model over the whole fleet.
struct ModelLoad {
    ServiceId service;
    ModelId model;
    double requests = 0; // in progress at the model's replicas
    double unmetRequests = 0; // that would also be in progress if no request had been rejected for lack of capacity
};

/// What the gateways of a fleet know of its load.
struct FleetLoad {
    std::vector<ModelLoad> models;
    std::unordered_map<VmId, unsigned> requestsByHead; // requests in progress, by the head of the replica
};

/// Capacity of a model and the capacity that its requests need.
struct ModelDemand {
    ModelId model;
    double servers = 0; // servers in replicas that serve or are being formed
    double weight = 1; // servers needed, or a value in proportion to it
    double peakWeight = 0; // same at the highest load of the recent past; 0 when not known

    /// Servers for each needed one; a model that needs none is covered completely.
    double coverage() const;
    /// Same with @p change servers more, or less if negative.
    double coverageAfter(double change) const;
    /// Same at the highest load of the recent past.
    double peakCoverageAfter(double change) const;
};

}
