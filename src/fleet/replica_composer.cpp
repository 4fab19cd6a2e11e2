#include "fleet/replica_composer.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace carawaypoint
{

namespace
{

double capacityPerDemand(const ModelId &model, std::span<const ModelDemand> demands)
{
    const auto found = std::find_if(demands.begin(), demands.end(), [&model](const ModelDemand &demand) { return demand.model == model; });
    return found == demands.end() || found->weight <= 0 ? 0 : found->coverage();
}

Composition fastestMembers(std::span<const FreeServer> free, const ModelSpec &model)
{
    std::vector<const FreeServer *> order;
    order.reserve(free.size());
    for (const auto &server : free) {
        order.push_back(&server);
    }
    std::stable_sort(order.begin(), order.end(),
                     [&model](const FreeServer *left, const FreeServer *right) { return left->weightLocation(model.id) < right->weightLocation(model.id); });
    Composition result{model.id, {}, 0};
    for (unsigned rank = 0; rank < model.size; ++rank) {
        result.members.push_back(order[rank]->id);
        result.loadsFromStoreCount += order[rank]->weightLocation(model.id) == WeightLocation::InWeightStore ? 1 : 0;
    }
    return result;
}

/// Whether @p candidate takes servers that hold the weights of another model with less capacity for its demand, although the free servers
/// suffice for a replica of that model. It is better to wait for its loads than to lose the weights that are there.
bool takesFromScarcerModel(const Composition &candidate,
                           std::span<const FreeServer> free,
                           std::span<const ModelSpec> models,
                           std::span<const ModelDemand> demands)
{
    return std::any_of(models.begin(), models.end(), [&](const ModelSpec &other) {
        const bool isScarcer = other.id != candidate.model && other.size > 0 && other.size <= free.size()
            && capacityPerDemand(other.id, demands) <= capacityPerDemand(candidate.model, demands);
        return isScarcer && std::any_of(free.begin(), free.end(), [&](const FreeServer &server) {
                   return server.lastModel == other.id && std::find(candidate.members.begin(), candidate.members.end(), server.id) != candidate.members.end();
               });
    });
}

}

WeightLocation FreeServer::weightLocation(const ModelId &model) const
{
    if (lastModel == model) {
        return WeightLocation::Loaded;
    }
    const bool isStaged = std::find(stagedModels.begin(), stagedModels.end(), model) != stagedModels.end();
    return isStaged ? WeightLocation::Staged : WeightLocation::InWeightStore;
}

unsigned unusedServerCount(std::size_t count, std::span<const ModelSpec> models)
{
    std::vector<bool> canFill(count + 1, false);
    canFill[0] = true;
    std::size_t filled = 0;
    for (std::size_t servers = 1; servers <= count; ++servers) {
        canFill[servers] = std::any_of(models.begin(), models.end(),
                                       [&](const ModelSpec &model) { return model.size > 0 && model.size <= servers && canFill[servers - model.size]; });
        filled = canFill[servers] ? servers : filled;
    }
    return static_cast<unsigned>(count - filled);
}

std::optional<Composition>
composeReplica(std::span<const FreeServer> free, std::span<const ModelSpec> models, std::span<const ModelDemand> demands, const std::set<ModelId> &domainModels)
{
    const auto fewestUnused = unusedServerCount(free.size(), models);
    const auto keepsSingleModel = [&](const ModelSpec &model) {
        return domainModels.contains(model.id) && unusedServerCount(free.size() - model.size, models) == fewestUnused;
    };
    std::optional<Composition> best;
    std::tuple<bool, bool, double> bestRank;
    for (const auto &model : models) {
        if (model.size == 0 || free.size() < model.size) {
            continue;
        }
        auto candidate = fastestMembers(free, model);
        if (takesFromScarcerModel(candidate, free, models, demands)) {
            continue;
        }
        const std::tuple<bool, bool, double> rank{candidate.loadsFromStoreCount > 0, !keepsSingleModel(model), capacityPerDemand(model.id, demands)};
        if (!best || rank < bestRank) {
            best = std::move(candidate);
            bestRank = rank;
        }
    }
    return best;
}

ModelId chooseStaging(const FreeServer &server, const std::map<ModelId, unsigned> &staged, const std::map<ModelId, unsigned> &servingServers)
{
    ModelId choice;
    double bestNeed = 0;
    for (const auto &[model, servers] : servingServers) {
        const auto found = staged.find(model);
        // Falls faster than linearly with the number of spares, so that the first spare for a smaller model comes before the second
        // spare for a model of twice its size.
        const double need = static_cast<double>(servers) / std::pow(1.0 + (found == staged.end() ? 0 : found->second), 1.5);
        if (need > bestNeed) {
            bestNeed = need;
            choice = model;
        }
    }
    const bool holdsAnyWeights = std::any_of(servingServers.begin(), servingServers.end(),
                                             [&](const auto &entry) { return server.weightLocation(entry.first) != WeightLocation::InWeightStore; });
    return holdsAnyWeights ? ModelId() : choice;
}

}
