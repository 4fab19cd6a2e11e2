#pragma once

#include "fleet/service_config.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

namespace carawaypoint
{

/// How fast a free server can take part in a replica of a model, the fastest first.
enum class Warmth : std::uint8_t {
    Loaded, // the model of its last replica
    Staged, // weights on the host
    Cold, // loads from the weight store
};

struct FreeServer {
    VmId id;
    ModelId lastModel; // of its last replica since its start
    std::vector<ModelId> stagedModels;

    Warmth warmthFor(const ModelId &model) const;
};

/// Capacity that a model has and should have.
struct ModelDemand {
    ModelId model;
    double servers = 0; // in replicas that serve or are being formed
    double weight = 1; // relative work that is expected
};

struct Composition {
    ModelId model;
    std::vector<VmId> members; // the head first
    unsigned coldMembers = 0;
};

/// Servers of @p count that are left over when replicas of @p models fill it as well as they can.
unsigned leftOver(std::size_t count, std::span<const ModelSpec> models);

/// Chooses the next replica to form from the free servers of one fabric domain; empty when none fits.
///
/// Replicas that need no load from the weight store go first, since they serve within two seconds. Next go models that the domain runs
/// already, as long as this leaves no more servers over: in a domain of one model every server that is left can replace any
/// other without a load. Among equals the model with the least capacity for its demand wins.
/// @param present models of the domain's replicas.
std::optional<Composition> composeReplica(std::span<const FreeServer> free,
                                          std::span<const ModelSpec> models,
                                          std::span<const ModelDemand> demands,
                                          const std::set<ModelId> &present = {});

/// The model whose weights @p server should stage so that it can replace a member at once; empty when it holds weights already.
///
/// A host keeps what it holds: replacing it would cost a load, and loads are scarcer than spares that hold the less likely model.
/// @param staged spares that hold each model already; @param exposed servers of the domain that serve each model.
ModelId chooseStaging(const FreeServer &server, const std::map<ModelId, unsigned> &staged, const std::map<ModelId, unsigned> &exposed);

}
