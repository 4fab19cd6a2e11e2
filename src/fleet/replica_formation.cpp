// The part of ReplicaController that forms replicas from free servers and stages weights on spares.

#include "fleet/replica_controller.h"

#include <algorithm>
#include <set>

namespace carawaypoint
{

namespace
{

/// Low bits of an epoch, which number the replicas of a term; the bits above hold the term.
constexpr unsigned EpochsPerTermBits = 20;
/// Minimum number of fabric domains per model for running one model per domain. With fewer, the loss of a domain would cost its model
/// too much capacity.
constexpr std::size_t DomainsPerModel = 3;
/// Multiple of the load time after which staging that a server has not reported is ordered again.
constexpr unsigned StagingTimeFactor = 4;

}

std::set<VmId> ReplicaController::assignedServers() const
{
    std::set<VmId> assigned;
    for (const auto &[id, plan] : plans_) {
        if (plan.phase == PlanPhase::Retired) {
            continue;
        }
        for (const auto &member : plan.members) {
            assigned.insert(member.id);
        }
    }
    return assigned;
}

FreeServer ReplicaController::makeFreeServer(const BackendServer &server) const
{
    const auto last = lastModels_.find(server.id);
    return {server.id, last == lastModels_.end() ? ModelId() : last->second.second, server.stagedModels};
}

ReplicaController::FreeByDomain ReplicaController::findFreeServers(const ServerMap &servers, TimePoint now) const
{
    const auto assigned = assignedServers();
    FreeByDomain free;
    for (const auto &[id, server] : servers) {
        const bool hasEngine = config_->findEngine(server.service) != nullptr;
        if (!hasEngine || server.isLeaving || server.isRegistrationLapsed || assigned.contains(id) || !hasPossibleRank(server)) {
            continue;
        }
        if (hasTraffic_ && now - registeredSince_.at(id) < settings_.minRegistrationAge) {
            continue;
        }
        // A server may report a replica whose plan does not include it, if it was not registered when the plan was made.
        const auto plan = server.membership ? plans_.find(server.membership->replica) : plans_.end();
        if (plan != plans_.end() && plan->second.phase != PlanPhase::Retired) {
            continue;
        }
        free[{server.service, server.domain}].push_back(makeFreeServer(server));
    }
    return free;
}

std::vector<ModelDemand> ReplicaController::modelDemands(const ServiceSpec &service, const ServerMap &servers) const
{
    auto result = neededServers(service, servers);
    for (const auto &[domain, reservation] : reservations_) {
        for (auto &demand : result) {
            demand.servers += domain.first == service.id && demand.model == reservation.model ? reservation.servers : 0;
        }
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
            count += member.loadsFromStore && !isReady ? 1 : 0;
        }
    }
    return count;
}

bool ReplicaController::mayLoad(const ServiceSpec &service, unsigned count, const ServerMap &servers, TimePoint now)
{
    if (!hasTraffic_) {
        return loadsInProgress(servers) + count <= settings_.maxLoadsBeforeTraffic;
    }
    const auto &engine = *service.engine;
    loadLimiter_.setLimits(engine.loadsPerSecond, engine.maxConcurrentLoads);
    return loadLimiter_.mayStart(count, loadsInProgress(servers), now);
}

/// Whether replicas may be formed now. While a fleet starts, its servers register over some seconds; forming replicas from the first
/// ones would leave too few servers in a domain for the larger models.
bool ReplicaController::mayFormReplicas(const ServerMap &servers, TimePoint now)
{
    if (hasTraffic_) {
        return true;
    }
    if (servers.size() > knownServerCount_) {
        lastServerAt_ = now;
        firstServersAt_ = knownServerCount_ == 0 ? now : firstServersAt_;
    }
    knownServerCount_ = servers.size();
    return now - lastServerAt_ >= settings_.formationQuietPeriod || now - firstServersAt_ >= settings_.maxFormationDelay;
}

/// Ends replicas whose members still load weights when enough free servers already have them. Returns whether there was one.
bool ReplicaController::retireLoadingPlans(const FreeByDomain &free, const ServerMap &servers, TimePoint now)
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
            return member.loadsFromStore && !isReady;
        });
        const auto withWeights = std::count_if(available->second.begin(), available->second.end(), [&plan](const FreeServer &server) {
            return server.weightLocation(plan.model) != WeightLocation::InWeightStore;
        });
        if (loading > 0 && withWeights >= loading) {
            enterPhase(plan, PlanPhase::Retired, now, "servers that hold the weights are free");
            isAnyRetired = true;
        }
    }
    return isAnyRetired;
}

void ReplicaController::formReplicas(const ServerMap &servers, TimePoint now)
{
    auto free = findFreeServers(servers, now);
    if (retireLoadingPlans(free, servers, now)) {
        free = findFreeServers(servers, now);
    }
    moveCapacity(free, servers, now);
    // Sorted by availability zone, so that consecutive domains, which tend to get different models, are in the same zone.
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
            bool isStarted = formReplica(*domain, servers, now);
            isAnyStarted = isAnyStarted || isStarted;
            // After traffic has started, one replica is formed per domain in turn, so that the limit on loads does not leave some domains
            // empty. Before, each domain is filled completely, so that its capacity counts when the model of the next one is chosen.
            while (isStarted && !hasTraffic_) {
                isStarted = formReplica(*domain, servers, now);
            }
        }
    }
    for (const auto &[key, spares] : free) {
        const auto &service = config_->services.at(key.first);
        const auto count = spares.size();
        const bool canFormReplica = std::any_of(service.engine->models.begin(), service.engine->models.end(),
                                                [count](const ModelSpec &model) { return model.size > 0 && model.size <= count; });
        if (!canFormReplica) {
            stageSpares(service, key.second, spares, servers, now);
            preloadSpares(spares, servers, now);
        }
    }
    preloader_.expire(now);
}

/// Starts the next replica of a domain and removes its members from the free servers. Returns false when no replica fits or the limit
/// on loads is reached.
bool ReplicaController::formReplica(FreeByDomain::value_type &domain, const ServerMap &servers, TimePoint now)
{
    auto &[key, available] = domain;
    std::erase_if(available, [this](const FreeServer &server) {
        const auto staging = stagings_.find(server.id);
        return staging != stagings_.end() && !staging->second.isOnMember;
    });
    const auto &service = config_->services.at(key.first);
    auto models = service.engine->models;
    const auto reservation = reservations_.find(key);
    if (reservation != reservations_.end()) {
        std::erase_if(models, [&](const ModelSpec &model) { return model.id != reservation->second.model; });
    }
    const auto demands = modelDemands(service, servers);
    // After traffic has started, the choice depends on the weights that servers hold and then on the demand for each model. If a
    // domain kept its model, the larger model would lose its replicas, since each loss frees more servers for the smaller one.
    const bool keepsDomainUniform = !hasTraffic_ && hasDomainsForEachModel(service, servers);
    const auto composition = composeReplica(available, models, demands, keepsDomainUniform ? modelsInDomain(key) : std::set<ModelId>());
    const bool isReserved = reservation != reservations_.end();
    if (!composition || (hasTraffic_ && !isReserved && convertsNeedlessly(*composition, demands, servers))
        || !startReplica(service, key.second, *composition, servers, now)) {
        return false;
    }
    std::erase_if(available, [&composition](const FreeServer &server) {
        return std::find(composition->members.begin(), composition->members.end(), server.id) != composition->members.end();
    });
    reservations_.erase(key);
    return true;
}

bool ReplicaController::hasDomainsForEachModel(const ServiceSpec &service, const ServerMap &servers)
{
    std::set<FabricDomainId> domains;
    for (const auto &[id, server] : servers) {
        if (server.service == service.id) {
            domains.insert(server.domain);
        }
    }
    return domains.size() >= DomainsPerModel * service.engine->models.size();
}

std::set<ModelId> ReplicaController::modelsInDomain(const DomainKey &domain) const
{
    std::set<ModelId> models;
    for (const auto &[id, plan] : plans_) {
        if (plan.service == domain.first && plan.domain == domain.second && plan.phase <= PlanPhase::Serving) {
            models.insert(plan.model);
        }
    }
    return models;
}

std::uint64_t ReplicaController::nextEpoch()
{
    return (term_ << EpochsPerTermBits) + ++lastSerial_;
}

bool ReplicaController::startReplica(const ServiceSpec &service,
                                     const FabricDomainId &domain,
                                     const Composition &composition,
                                     const ServerMap &servers,
                                     TimePoint now)
{
    if (!mayLoad(service, composition.loadsFromStoreCount, servers, now)) {
        return false;
    }
    if (hasTraffic_) {
        loadLimiter_.recordStarts(composition.loadsFromStoreCount, now);
    }
    ReplicaPlan plan;
    plan.epoch = nextEpoch();
    plan.id = ReplicaId("r" + std::to_string(plan.epoch));
    plan.service = service.id;
    plan.domain = domain;
    plan.model = composition.model;
    plan.phaseSince = now;
    for (const auto &id : composition.members) {
        const auto &server = servers.at(id);
        plan.members.push_back({.id = id,
                                .address = server.address,
                                .startedAt = server.startedAt,
                                .loadsFromStore = makeFreeServer(server).weightLocation(composition.model) == WeightLocation::InWeightStore});
    }
    auto &stored = plans_[plan.id] = std::move(plan);
    for (auto &member : stored.members) {
        queueJoin(stored, member, now);
    }
    planChanges_.push_back({stored.id, PlanPhase::Joining, composition.loadsFromStoreCount == 0 ? "members hold the weights" : "members load the weights"});
    return true;
}

void ReplicaController::stageSpares(const ServiceSpec &service,
                                    const FabricDomainId &domain,
                                    std::span<const FreeServer> spares,
                                    const ServerMap &servers,
                                    TimePoint now)
{
    std::map<ModelId, unsigned> servingServers;
    for (const auto &model : service.engine->models) {
        servingServers[model.id] = 0;
    }
    for (const auto &[id, plan] : plans_) {
        if (plan.service == service.id && plan.domain == domain && plan.phase != PlanPhase::Retired) {
            servingServers[plan.model] += static_cast<unsigned>(plan.members.size());
        }
    }
    std::map<ModelId, unsigned> staged;
    for (const auto &spare : spares) {
        for (const auto &[model, count] : servingServers) {
            staged[model] += spare.weightLocation(model) == WeightLocation::InWeightStore ? 0 : 1;
        }
    }
    for (const auto &[id, staging] : stagings_) {
        const auto server = servers.find(id);
        staged[staging.model] += server != servers.end() && server->second.domain == domain ? 1 : 0;
    }
    for (const auto &spare : spares) {
        const auto model = chooseStaging(spare, staged, servingServers);
        if (model.isEmpty() || stagings_.contains(spare.id) || !mayLoad(service, 1, servers, now)) {
            continue;
        }
        const auto &server = servers.at(spare.id);
        stagings_[spare.id] = {model, server.startedAt, now, false};
        if (hasTraffic_) {
            loadLimiter_.recordStarts(1, now);
        }
        ++staged[model];
        orders_.push_back({OrderKind::Stage, spare.id, server.address, ReplicaId(), 0, model, {}, term_});
    }
}

void ReplicaController::preloadSpares(std::span<const FreeServer> spares, const ServerMap &servers, TimePoint now)
{
    for (const auto &spare : spares) {
        const auto &server = servers.at(spare.id);
        const auto model = stagings_.contains(spare.id) ? ModelId() : preloader_.takeDue(spare, server, now);
        if (!model.isEmpty()) {
            const auto epoch = nextEpoch();
            orders_.push_back({OrderKind::Join, spare.id, server.address, SparePreloader::replicaId(epoch), epoch, model, {spare.id}, term_});
        }
    }
}

void ReplicaController::removeEndedStagings(const ServerMap &servers, TimePoint now)
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
        const auto *model = config_->findModel(server->second.service, staging.model);
        return model == nullptr || now - staging.since > StagingTimeFactor * model->loadTime;
    });
}

}
