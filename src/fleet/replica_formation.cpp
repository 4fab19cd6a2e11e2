// The part of ReplicaController that forms replicas from free servers and stages weights on spares.

#include "fleet/replica_controller.h"

#include <algorithm>
#include <set>

namespace carawaypoint
{

namespace
{

constexpr unsigned EpochsPerTermBits = 20;
/// With fewer fabric domains for each model, the loss of one domain would take too much of the only model that it runs.
constexpr std::size_t DomainsPerModel = 3;
/// A staging that is not reported by then is ordered anew.
constexpr unsigned StagingTimeFactor = 4;

}

std::set<VmId> ReplicaController::boundServers() const
{
    std::set<VmId> bound;
    for (const auto &[id, plan] : plans_) {
        if (plan.phase == PlanPhase::Retired) {
            continue;
        }
        for (const auto &member : plan.members) {
            bound.insert(member.id);
        }
    }
    return bound;
}

FreeServer ReplicaController::freeServer(const BackendServer &server) const
{
    const auto last = lastModels_.find(server.id);
    return {server.id, last == lastModels_.end() ? ModelId() : last->second.second, server.stagedModels};
}

ReplicaController::FreeByDomain ReplicaController::findFree(const ServerMap &servers, TimePoint now) const
{
    const auto bound = boundServers();
    FreeByDomain free;
    for (const auto &[id, server] : servers) {
        const auto service = config_->services.find(server.service);
        if (service == config_->services.end() || !service->second.engine || server.isLeaving || server.isUnlisted || bound.contains(id)) {
            continue;
        }
        if (hasTraffic_ && now - listedSince_.at(id) < settings_.listedTime) {
            continue;
        }
        // A server may report a replica in whose plan it is not known, since it was not listed when the plan was made.
        const auto plan = server.membership ? plans_.find(server.membership->replica) : plans_.end();
        if (plan != plans_.end() && plan->second.phase != PlanPhase::Retired) {
            continue;
        }
        free[{server.service, server.domain}].push_back(freeServer(server));
    }
    return free;
}

std::vector<ModelDemand> ReplicaController::demands(const ServiceSpec &service) const
{
    std::vector<ModelDemand> result;
    for (const auto &model : service.engine->models) {
        result.push_back({model.id, 0, model.share});
    }
    for (const auto &[id, plan] : plans_) {
        if (plan.service != service.id || plan.phase > PlanPhase::Serving) {
            continue;
        }
        for (auto &demand : result) {
            demand.servers += demand.model == plan.model ? static_cast<double>(plan.members.size()) : 0;
        }
    }
    return result;
}

unsigned ReplicaController::loadsInProgress(const ServerMap &servers) const
{
    auto count = static_cast<unsigned>(stagings_.size());
    for (const auto &[id, plan] : plans_) {
        if (plan.phase != PlanPhase::Joining) {
            continue;
        }
        for (const auto &member : plan.members) {
            const auto server = servers.find(member.id);
            const bool isReady = server != servers.end() && server->second.membership && server->second.membership->replica == plan.id
                && server->second.membership->state != MembershipState::Joining;
            count += member.isCold && !isReady ? 1 : 0;
        }
    }
    return count;
}

bool ReplicaController::mayLoad(const ServiceSpec &service, unsigned count, const ServerMap &servers, TimePoint now)
{
    if (!hasTraffic_) {
        return loadsInProgress(servers) + count <= settings_.loadsBeforeTraffic;
    }
    const auto &engine = *service.engine;
    pacer_.setRates(engine.loadsPerSecond, engine.loadsAtOnce);
    return pacer_.mayStart(count, loadsInProgress(servers), now);
}

/// While a fleet starts, its servers register over some seconds. Forming replicas from the first ones would leave no room for
/// the larger models in a domain.
bool ReplicaController::mayCompose(const ServerMap &servers, TimePoint now)
{
    if (hasTraffic_) {
        return true;
    }
    if (servers.size() > knownServers_) {
        lastServerAt_ = now;
        firstServersAt_ = knownServers_ == 0 ? now : firstServersAt_;
    }
    knownServers_ = servers.size();
    return now - lastServerAt_ >= settings_.settleTime || now - firstServersAt_ >= settings_.maxSettleTime;
}

/// Ends replicas that wait for loads which servers that have become free need not make. Returns whether there was one.
bool ReplicaController::retireForWarmServers(const FreeByDomain &free, const ServerMap &servers, TimePoint now)
{
    bool isAnyRetired = false;
    for (auto &entry : plans_) {
        auto &plan = entry.second;
        const auto available = free.find({plan.service, plan.domain});
        if (plan.phase != PlanPhase::Joining || available == free.end()) {
            continue;
        }
        const auto loading = std::count_if(plan.members.begin(), plan.members.end(), [&servers](const PlannedMember &member) {
            const auto server = servers.find(member.id);
            const bool isReady = server != servers.end() && server->second.membership && server->second.membership->state == MembershipState::Ready;
            return member.isCold && !isReady;
        });
        const auto warm = std::count_if(available->second.begin(), available->second.end(),
                                        [&plan](const FreeServer &server) { return server.warmthFor(plan.model) != Warmth::Cold; });
        if (loading > 0 && warm >= loading) {
            enter(plan, PlanPhase::Retired, now, "servers that hold the weights are free");
            isAnyRetired = true;
        }
    }
    return isAnyRetired;
}

void ReplicaController::composeAll(const ServerMap &servers, TimePoint now)
{
    auto free = findFree(servers, now);
    if (retireForWarmServers(free, servers, now)) {
        free = findFree(servers, now);
    }
    // Domains of one availability zone follow each other, so that neighbours with different models share a zone.
    std::vector<FreeByDomain::value_type *> domains;
    domains.reserve(free.size());
    for (auto &entry : free) {
        domains.push_back(&entry);
    }
    std::stable_sort(domains.begin(), domains.end(), [&servers](const auto *left, const auto *right) {
        return servers.at(left->second.front().id).zone < servers.at(right->second.front().id).zone;
    });
    bool isAnyStarted = true;
    while (isAnyStarted) {
        isAnyStarted = false;
        for (auto *domain : domains) {
            bool isStarted = composeOne(*domain, servers, now);
            isAnyStarted = isAnyStarted || isStarted;
            // Once there is traffic, one replica for each domain in turn, so that a shortage of loads does not leave some domains
            // empty. Before it, the capacity of a whole domain counts when the model of the next is chosen.
            while (isStarted && !hasTraffic_) {
                isStarted = composeOne(*domain, servers, now);
            }
        }
    }
    for (const auto &[key, spares] : free) {
        const auto &service = config_->services.at(key.first);
        const auto count = spares.size();
        const bool canCompose = std::any_of(service.engine->models.begin(), service.engine->models.end(),
                                            [count](const ModelSpec &model) { return model.size > 0 && model.size <= count; });
        if (!canCompose) {
            stageSpares(service, key.second, spares, servers, now);
        }
    }
}

/// Starts the next replica of a domain and takes its members from the free servers; false when none fits or may load.
bool ReplicaController::composeOne(FreeByDomain::value_type &domain, const ServerMap &servers, TimePoint now)
{
    auto &[key, available] = domain;
    std::erase_if(available, [this](const FreeServer &server) { return stagings_.contains(server.id); });
    const auto &service = config_->services.at(key.first);
    // Once there is traffic, what the servers hold decides, and then the shortage of a model: a domain that goes on with its model
    // would leave the larger one without replicas, as each loss frees more servers for the smaller.
    const bool isUniform = !hasTraffic_ && keepsUniform(service, servers);
    const auto composition = composeReplica(available, service.engine->models, demands(service), isUniform ? modelsOf(key) : std::set<ModelId>());
    if (!composition || !startReplica(service, key.second, *composition, servers, now)) {
        return false;
    }
    std::erase_if(available, [&composition](const FreeServer &server) {
        return std::find(composition->members.begin(), composition->members.end(), server.id) != composition->members.end();
    });
    return true;
}

bool ReplicaController::keepsUniform(const ServiceSpec &service, const ServerMap &servers)
{
    std::set<FabricDomainId> domains;
    for (const auto &[id, server] : servers) {
        if (server.service == service.id) {
            domains.insert(server.domain);
        }
    }
    return domains.size() >= DomainsPerModel * service.engine->models.size();
}

std::set<ModelId> ReplicaController::modelsOf(const DomainKey &domain) const
{
    std::set<ModelId> models;
    for (const auto &[id, plan] : plans_) {
        if (plan.service == domain.first && plan.domain == domain.second && plan.phase <= PlanPhase::Serving) {
            models.insert(plan.model);
        }
    }
    return models;
}

bool ReplicaController::startReplica(const ServiceSpec &service,
                                     const FabricDomainId &domain,
                                     const Composition &composition,
                                     const ServerMap &servers,
                                     TimePoint now)
{
    if (!mayLoad(service, composition.coldMembers, servers, now)) {
        return false;
    }
    if (hasTraffic_) {
        pacer_.addStarts(composition.coldMembers, now);
    }
    ReplicaPlan plan;
    plan.epoch = (term_ << EpochsPerTermBits) + ++serial_;
    plan.id = ReplicaId("r" + std::to_string(plan.epoch));
    plan.service = service.id;
    plan.domain = domain;
    plan.model = composition.model;
    plan.phaseSince = now;
    for (const auto &id : composition.members) {
        const auto &server = servers.at(id);
        plan.members.push_back(
            {.id = id, .address = server.address, .startedAt = server.startedAt, .isCold = freeServer(server).warmthFor(composition.model) == Warmth::Cold});
    }
    auto &stored = plans_[plan.id] = std::move(plan);
    for (auto &member : stored.members) {
        orderJoin(stored, member, now);
    }
    notes_.push_back({stored.id, PlanPhase::Joining, composition.coldMembers == 0 ? "members hold the weights" : "members load the weights"});
    return true;
}

void ReplicaController::stageSpares(const ServiceSpec &service,
                                    const FabricDomainId &domain,
                                    std::span<const FreeServer> spares,
                                    const ServerMap &servers,
                                    TimePoint now)
{
    std::map<ModelId, unsigned> exposed;
    for (const auto &model : service.engine->models) {
        exposed[model.id] = 0;
    }
    for (const auto &[id, plan] : plans_) {
        if (plan.service == service.id && plan.domain == domain && plan.phase != PlanPhase::Retired) {
            exposed[plan.model] += static_cast<unsigned>(plan.members.size());
        }
    }
    std::map<ModelId, unsigned> staged;
    for (const auto &spare : spares) {
        for (const auto &[model, count] : exposed) {
            staged[model] += spare.warmthFor(model) == Warmth::Cold ? 0 : 1;
        }
    }
    for (const auto &[id, staging] : stagings_) {
        const auto server = servers.find(id);
        staged[staging.model] += server != servers.end() && server->second.domain == domain ? 1 : 0;
    }
    for (const auto &spare : spares) {
        const auto model = chooseStaging(spare, staged, exposed);
        if (model.isEmpty() || stagings_.contains(spare.id) || !mayLoad(service, 1, servers, now)) {
            continue;
        }
        const auto &server = servers.at(spare.id);
        stagings_[spare.id] = {model, server.startedAt, now};
        if (hasTraffic_) {
            pacer_.addStarts(1, now);
        }
        ++staged[model];
        orders_.push_back({OrderKind::Stage, spare.id, server.address, ReplicaId(), 0, model, {}});
    }
}

void ReplicaController::endStagings(const ServerMap &servers, TimePoint now)
{
    std::erase_if(stagings_, [&](const auto &entry) {
        const auto &[id, staging] = entry;
        const auto server = servers.find(id);
        if (server == servers.end() || server->second.startedAt != staging.serverStartedAt) {
            return true;
        }
        const auto &held = server->second.stagedModels;
        if (std::find(held.begin(), held.end(), staging.model) != held.end()) {
            return true;
        }
        const auto service = config_->services.find(server->second.service);
        const auto *model = service == config_->services.end() || !service->second.engine ? nullptr : service->second.engine->findModel(staging.model);
        return model == nullptr || now - staging.since > StagingTimeFactor * model->loadTime;
    });
}

}
