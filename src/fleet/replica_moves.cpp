// The part of ReplicaController that fits the models' capacity to their load by moving servers between them.

#include "fleet/replica_controller.h"

#include <algorithm>
#include <iterator>

namespace carawaypoint
{

namespace
{

/// Share of its configured part of the servers that a model needs even without requests, so that the first ones find a replica.
constexpr double IdleShare = 0.15;
/// Added to the drain time: the time in which the servers of drained replicas become free.
constexpr Duration ReservationMargin = seconds(3);

unsigned countHolders(std::span<const FreeServer> servers, const ModelId &model)
{
    return static_cast<unsigned>(std::count_if(servers.begin(), servers.end(),
                                               [&model](const FreeServer &server) { return server.weightLocation(model) != WeightLocation::InWeightStore; }));
}

}

std::vector<ModelDemand> ReplicaController::neededServers(const ServiceSpec &service, const ServerMap &servers) const
{
    std::vector<ModelDemand> result;
    double shares = 0;
    for (const auto &model : service.engine->models) {
        result.push_back({model.id, 0, model.share});
        shares += model.share;
    }
    if (!hasTraffic_ || !load_ || shares <= 0) {
        return result;
    }
    const auto count =
        static_cast<double>(std::count_if(servers.begin(), servers.end(), [&service](const auto &entry) { return entry.second.service == service.id; }));
    for (auto &demand : result) {
        const auto *model = service.engine->findModel(demand.model);
        const double idleServers = IdleShare * count * model->share / shares;
        const double serversPerRequest = static_cast<double>(model->size) / std::max(1U, service.engine->slots);
        demand.weight = idleServers;
        for (const auto &load : load_->models) {
            if (load.service == service.id && load.model == demand.model) {
                demand.weight += (load.requests + load.unmetRequests) * serversPerRequest;
            }
        }
        demand.peakWeight = idleServers + peakLoad_.of({service.id, demand.model}) * serversPerRequest;
    }
    return result;
}

bool ReplicaController::convertsNeedlessly(const Composition &composition, std::span<const ModelDemand> demands, const ServerMap &servers) const
{
    const auto demand = std::find_if(demands.begin(), demands.end(), [&](const ModelDemand &each) { return each.model == composition.model; });
    if (!load_ || demand == demands.end() || demand->coverage() < CapacityBalancer::SufficientCoverage) {
        return false;
    }
    // A converted server no longer holds the weights of its former model, whose replicas it could repair without a load.
    return std::any_of(composition.members.begin(), composition.members.end(), [&](const VmId &id) {
        const auto server = makeFreeServer(servers.at(id));
        return !server.lastModel.isEmpty() && server.lastModel != composition.model;
    });
}

bool ReplicaController::isMovable(const ReplicaPlan &plan, const ServerMap &servers, TimePoint now) const
{
    const bool hasServed = plan.phase == PlanPhase::Serving && (plan.isAdopted || now - plan.phaseSince >= settings_.minServingTime);
    return hasServed && std::all_of(plan.members.begin(), plan.members.end(), [&servers](const PlannedMember &member) {
               const auto server = servers.find(member.id);
               return server != servers.end() && !server->second.isLeaving && !server->second.isRegistrationLapsed;
           });
}

DomainCapacity
ReplicaController::domainCapacity(const DomainKey &domain, const FreeByDomain &free, const ModelId &need, const ServerMap &servers, TimePoint now) const
{
    DomainCapacity result;
    if (const auto found = free.find(domain); found != free.end()) {
        result.freeServers = static_cast<unsigned>(found->second.size());
        result.freeWeightHolders = countHolders(found->second, need);
    }
    for (const auto &[id, plan] : plans_) {
        if (plan.service != domain.first || plan.domain != domain.second || plan.model == need || !isMovable(plan, servers, now)) {
            continue;
        }
        std::vector<FreeServer> members;
        for (const auto &member : plan.members) {
            members.push_back(makeFreeServer(servers.at(member.id)));
        }
        const auto requests = load_->requestsByHead.find(plan.members.front().id);
        result.replicas.push_back({id, plan.model, static_cast<unsigned>(members.size()),
                                   requests == load_->requestsByHead.end() ? 0.0 : static_cast<double>(requests->second), countHolders(members, need)});
    }
    return result;
}

bool ReplicaController::moveCapacityOf(const ServiceSpec &service, const FreeByDomain &free, const ServerMap &servers, TimePoint now)
{
    const auto demands = modelDemands(service, servers);
    const auto *need = CapacityBalancer::findNeed(demands);
    if (need == nullptr) {
        return false;
    }
    const auto size = service.engine->findModel(need->model)->size;
    std::set<DomainKey> keys;
    for (const auto &[id, plan] : plans_) {
        if (plan.service == service.id && !reservations_.contains({plan.service, plan.domain})) {
            keys.emplace(plan.service, plan.domain);
        }
    }
    std::vector<DomainCapacity> domains;
    domains.reserve(keys.size());
    for (const auto &key : keys) {
        domains.push_back(domainCapacity(key, free, need->model, servers, now));
    }
    const auto move = CapacityBalancer::planMove(*need, size, demands, domains);
    if (!move || (move->loadsFromStore > 0 && !mayLoad(service, move->loadsFromStore, servers, now))) {
        return false;
    }
    for (const auto &id : move->drained) {
        auto &plan = plans_.at(id);
        plan.isMoving = true;
        enterPhase(plan, PlanPhase::Draining, now, "its servers move to a model that lacks capacity");
    }
    reservations_[*std::next(keys.begin(), static_cast<std::ptrdiff_t>(move->domain))] = {need->model, size, now + settings_.moveDrainTime + ReservationMargin};
    return true;
}

void ReplicaController::moveCapacity(const FreeByDomain &free, const ServerMap &servers, TimePoint now)
{
    std::erase_if(reservations_, [now](const auto &entry) { return now >= entry.second.until; });
    if (!hasTraffic_ || !load_) {
        return;
    }
    for (const auto &load : load_->models) {
        peakLoad_.record({load.service, load.model}, load.requests + load.unmetRequests, now);
    }
    loadSeenSince_ = loadSeenSince_.value_or(now);
    if (now - *loadSeenSince_ < settings_.minObservationTime || now - lastMoveAt_ < settings_.moveInterval) {
        return;
    }
    for (const auto &[id, service] : config_->services) {
        const bool hasModels = service.engine && service.engine->models.size() > 1;
        if (hasModels && moveCapacityOf(service, free, servers, now)) {
            lastMoveAt_ = now;
        }
    }
}

void ReplicaController::stageAlternatives(const ServerMap &servers, TimePoint now)
{
    for (const auto &[id, plan] : plans_) {
        const auto *engine = config_->findEngine(plan.service);
        if (plan.phase != PlanPhase::Serving || engine == nullptr) {
            continue;
        }
        // A host that keeps one model would lose its own, which it needs to rejoin its replica after a restart.
        if (engine->stagedModelsPerHost < 2) {
            continue;
        }
        const ModelSpec *alternative = nullptr;
        for (const auto &model : engine->models) {
            const bool isLargerShare = alternative == nullptr || model.share > alternative->share;
            alternative = model.id != plan.model && isLargerShare ? &model : alternative;
        }
        if (alternative == nullptr) {
            return;
        }
        for (const auto &member : plan.members) {
            const auto server = servers.find(member.id);
            const bool isKnown = server != servers.end() && server->second.startedAt == member.startedAt && !stagings_.contains(member.id);
            if (!isKnown || makeFreeServer(server->second).weightLocation(alternative->id) != WeightLocation::InWeightStore) {
                continue;
            }
            stagings_[member.id] = {alternative->id, member.startedAt, now, true};
            orders_.push_back({OrderKind::Stage, member.id, member.address, ReplicaId(), 0, alternative->id, {}, term_});
        }
    }
}

}
