#include "fleet/replica_view.h"

#include <algorithm>
#include <tuple>

namespace carawaypoint
{

namespace
{

constexpr unsigned MaxReplicaSize = 1024; // VMs; more than any fabric domain has

}

const BackendServer *ReplicaMembers::head() const
{
    const auto found = members.find(0);
    return found == members.end() ? nullptr : found->second;
}

bool ReplicaMembers::isComplete(unsigned size) const
{
    if (members.size() != size || members.rbegin()->first != size - 1) {
        return false;
    }
    return std::all_of(members.begin(), members.end(), [](const auto &member) {
        const BackendServer &server = *member.second;
        const auto state = server.membership->state;
        return !server.isLeaving && state != MembershipState::Joining && state != MembershipState::Broken;
    });
}

bool hasPossibleRank(const BackendServer &server)
{
    return !server.membership || server.membership->rank < MaxReplicaSize;
}

std::vector<ReplicaMembers> groupByReplica(const ServerMap &servers, const ServiceConfig &config)
{
    std::map<std::tuple<ServiceId, ReplicaId, std::uint64_t>, ReplicaMembers> views;
    for (const auto &[id, server] : servers) {
        if (!server.membership || config.findEngine(server.service) == nullptr || !hasPossibleRank(server)) {
            continue;
        }
        auto &view = views[{server.service, server.membership->replica, server.membership->epoch}];
        view.id = server.membership->replica;
        view.epoch = server.membership->epoch;
        view.service = server.service;
        view.domain = server.domain;
        if (!server.loadedModel.isEmpty()) {
            view.model = server.loadedModel;
        }
        view.members[server.membership->rank] = &server;
    }
    std::vector<ReplicaMembers> result;
    result.reserve(views.size());
    for (auto &[key, view] : views) {
        result.push_back(std::move(view));
    }
    return result;
}

FleetSnapshot::FleetSnapshot(ServiceConfigPtr config, const ServerMap &servers, std::set<ZoneId> evacuatedZones)
    : config_(std::move(config))
    , evacuatedZones_(std::move(evacuatedZones))
{
    if (config_) {
        addReplicas(servers);
        addPlainServers(servers);
    }
}

const ServingTargets &FleetSnapshot::targets(const ServiceId &service, const ModelId &model) const
{
    static const ServingTargets None;
    const auto found = targets_.find({service, model});
    return found == targets_.end() ? None : found->second;
}

ServingTargets FleetSnapshot::allTargets() const
{
    ServingTargets all;
    for (const auto &[pool, targets] : targets_) {
        all.insert(all.end(), targets.begin(), targets.end());
    }
    return all;
}

const ServingTarget *FleetSnapshot::findTarget(const Endpoint &address) const
{
    for (const auto &[pool, targets] : targets_) {
        const auto found = std::find_if(targets.begin(), targets.end(), [&address](const ServingTarget &target) { return target.address == address; });
        if (found != targets.end()) {
            return &*found;
        }
    }
    return nullptr;
}

void FleetSnapshot::addReplicas(const ServerMap &servers)
{
    for (const auto &view : groupByReplica(servers, *config_)) {
        const auto &engine = *config_->findEngine(view.service);
        const auto *model = engine.findModel(view.model);
        const auto *head = view.head();
        if (model == nullptr || head == nullptr || head->membership->state != MembershipState::Open || !view.isComplete(model->size)) {
            continue;
        }
        // A request makes all members work, not only the head.
        if (std::any_of(view.members.begin(), view.members.end(), [this](const auto &member) { return isEvacuated(*member.second); })) {
            continue;
        }
        const double prefillRate = model->pace > 0 ? engine.prefillTokensPerSecond / model->pace : 0;
        targets_[{view.service, view.model}].push_back({head->id, head->address, head->zone, engine.slots, head->startedAt, view.id, view.epoch, prefillRate});
    }
}

void FleetSnapshot::addPlainServers(const ServerMap &servers)
{
    for (const auto &[id, server] : servers) {
        const auto service = config_->services.find(server.service);
        if (service == config_->services.end() || service->second.engine || server.isLeaving || isEvacuated(server)) {
            continue;
        }
        targets_[{server.service, ModelId()}].push_back({server.id, server.address, server.zone, server.slots, server.startedAt, ReplicaId(), 0, 0});
    }
}

}
