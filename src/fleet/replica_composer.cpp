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
    return found == demands.end() || found->weight <= 0 ? 0 : found->servers / found->weight;
}

Composition warmestMembers(std::span<const FreeServer> free, const ModelSpec &model)
{
    std::vector<const FreeServer *> order;
    order.reserve(free.size());
    for (const auto &server : free) {
        order.push_back(&server);
    }
    std::stable_sort(order.begin(), order.end(),
                     [&model](const FreeServer *left, const FreeServer *right) { return left->warmthFor(model.id) < right->warmthFor(model.id); });
    Composition result{model.id, {}, 0};
    for (unsigned rank = 0; rank < model.size; ++rank) {
        result.members.push_back(order[rank]->id);
        result.coldMembers += order[rank]->warmthFor(model.id) == Warmth::Cold ? 1 : 0;
    }
    return result;
}

}

Warmth FreeServer::warmthFor(const ModelId &model) const
{
    if (lastModel == model) {
        return Warmth::Loaded;
    }
    const bool isStaged = std::find(stagedModels.begin(), stagedModels.end(), model) != stagedModels.end();
    return isStaged ? Warmth::Staged : Warmth::Cold;
}

unsigned leftOver(std::size_t count, std::span<const ModelSpec> models)
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
composeReplica(std::span<const FreeServer> free, std::span<const ModelSpec> models, std::span<const ModelDemand> demands, const std::set<ModelId> &present)
{
    const auto least = leftOver(free.size(), models);
    const auto staysUniform = [&](const ModelSpec &model) {
        return present.contains(model.id) && leftOver(free.size() - model.size, models) == least;
    };
    std::optional<Composition> best;
    std::tuple<bool, bool, double> bestRank;
    for (const auto &model : models) {
        if (model.size == 0 || free.size() < model.size) {
            continue;
        }
        auto candidate = warmestMembers(free, model);
        const std::tuple<bool, bool, double> rank{candidate.coldMembers > 0, !staysUniform(model), capacityPerDemand(model.id, demands)};
        if (!best || rank < bestRank) {
            best = std::move(candidate);
            bestRank = rank;
        }
    }
    return best;
}

ModelId chooseStaging(const FreeServer &server, const std::map<ModelId, unsigned> &staged, const std::map<ModelId, unsigned> &exposed)
{
    ModelId choice;
    double bestNeed = 0;
    for (const auto &[model, servers] : exposed) {
        const auto found = staged.find(model);
        // Steeper than linear, so that the first spare of a smaller model goes before the second of one twice its size.
        const double need = static_cast<double>(servers) / std::pow(1.0 + (found == staged.end() ? 0 : found->second), 1.5);
        if (need > bestNeed) {
            bestNeed = need;
            choice = model;
        }
    }
    const bool holdsAny = std::any_of(exposed.begin(), exposed.end(), [&](const auto &entry) { return server.warmthFor(entry.first) != Warmth::Cold; });
    return holdsAny ? ModelId() : choice;
}

}
