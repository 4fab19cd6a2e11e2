#pragma once

#include "fleet/model_demand.h"
#include "fleet/service_config.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace carawaypoint
{

/// Where a free server gets the weights of a model from, in order of increasing load time.
enum class WeightLocation : std::uint8_t {
    Loaded, // still loaded, as the model of its last replica
    Staged, // on the host
    InWeightStore, // to be loaded from the weight store
};

struct FreeServer {
    VmId id;
    ModelId lastModel; // model of its last replica since the server started
    std::vector<ModelId> stagedModels;

    WeightLocation weightLocation(const ModelId &model) const;
};

/// Members chosen for a new replica.
struct Composition {
    ModelId model;
    std::vector<VmId> members; // the head first
    unsigned loadsFromStoreCount = 0; // members that load the weights from the weight store
};

/// Smallest number of servers that stay unused when @p count servers are divided into replicas of @p models.
unsigned unusedServerCount(std::size_t count, std::span<const ModelSpec> models);

/// Chooses the next replica to form from the free servers of one fabric domain; empty when none fits.
///
/// Prefers replicas that need no load from the weight store, since they serve within two seconds; then models that the domain already
/// runs, as long as this leaves no more servers unused: in a domain with one model, every remaining server can replace any
/// other without a load. Of the remaining candidates, chooses the model with the least capacity for its demand. Servers that hold the
/// weights of a model are not taken for one with more capacity while they suffice for a replica of their own.
/// @param domainModels models of the domain's replicas.
std::optional<Composition> composeReplica(std::span<const FreeServer> free,
                                          std::span<const ModelSpec> models,
                                          std::span<const ModelDemand> demands,
                                          const std::set<ModelId> &domainModels = {});

/// The model whose weights @p server should stage so that it can replace a member without a load; empty when the server already
/// has the weights of a model.
///
/// Staged weights are not replaced by those of another model: that would cost a load, and loads are scarcer than spares.
/// @param staged spares that already have the weights, for each model.
/// @param servingServers servers of the domain that serve each model.
ModelId chooseStaging(const FreeServer &server, const std::map<ModelId, unsigned> &staged, const std::map<ModelId, unsigned> &servingServers);

}
