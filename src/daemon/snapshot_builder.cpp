#include "daemon/snapshot_builder.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{

std::vector<ModelView> modelViews(const EffectiveConfig &config)
{
    std::vector<ModelView> views;
    for (const auto &model : config.models) {
        ModelView view;
        view.id = model.id;
        view.version = model.version;
        view.adapters = model.adapters;
        view.slotsPerReplica = model.slotsPerReplica;
        view.maxPromptTokens = model.maxPromptTokens;
        view.maxOutputTokens = model.maxOutputTokens;
        view.firstTokenDeadline = model.firstTokenDeadline;
        views.push_back(std::move(view));
    }
    return views;
}

std::vector<CustomerView> customerViews(const SnapshotInputs &inputs)
{
    std::vector<CustomerView> views;
    for (const auto &customer : inputs.config->customers) {
        CustomerView view;
        view.id = customer.id;
        view.weight = customer.share;
        view.models = customer.models;
        view.globalDemand = inputs.peerDemand ? inputs.peerDemand(customer.id) : 0;
        views.push_back(std::move(view));
    }
    return views;
}

std::vector<ServiceView> serviceViews(const SnapshotInputs &inputs, TimePoint now)
{
    std::vector<ServiceView> views;
    for (const auto &service : inputs.config->services) {
        ServiceView view;
        view.id = service.id;
        view.isRepeatable = service.isRepeatable;
        view.timeout = service.timeout;
        for (const auto &vm : inputs.vms) {
            if (vm.pool == service.pool) {
                view.servers.push_back({vm.id, vm.address, vm.zone, now, vm.isLeaving || inputs.leavingVms.contains(vm.id)});
            }
        }
        // Servers of the daemon's own zone come first, so that calls cross zones only when necessary.
        std::stable_partition(view.servers.begin(), view.servers.end(), [&inputs](const ServiceServerView &server) { return server.zone == inputs.zone; });
        views.push_back(std::move(view));
    }
    return views;
}

std::vector<ReplicaView> replicaViews(const SnapshotInputs &inputs)
{
    std::vector<ReplicaView> views = inputs.replicas;
    for (auto &replica : views) {
        if (const auto *model = inputs.config->findModel(replica.model)) {
            replica.slots = model->slotsPerReplica;
            replica.expectedMembers = std::max(replica.expectedMembers, model->vmsPerReplica);
        }
        replica.peerInFlight = inputs.peerInFlight ? inputs.peerInFlight(replica.id) : 0;
        for (auto &member : replica.members) {
            member.isLeaving = member.isLeaving || inputs.leavingVms.contains(member.vm);
        }
    }
    return views;
}

}

RoutingSnapshotPtr buildRoutingSnapshot(const SnapshotInputs &inputs, TimePoint now)
{
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->builtAt = now;
    snapshot->zone = inputs.zone;
    snapshot->isPeerExchangeFresh = inputs.isPeerExchangeFresh;
    snapshot->isPlatformReachable = inputs.isPlatformReachable;
    if (inputs.config == nullptr) {
        return snapshot;
    }
    snapshot->generation = inputs.generation;
    // While peers are unreachable, dividing by the configured number of daemons keeps their shares of the capacity disjoint.
    snapshot->daemonsInZone = inputs.isPeerExchangeFresh ? std::max(1U, inputs.liveDaemonsInZone) : std::max(1U, inputs.config->siteSettings.daemons);
    snapshot->policy = inputs.config->routing;
    snapshot->models = modelViews(*inputs.config);
    snapshot->customers = customerViews(inputs);
    snapshot->services = serviceViews(inputs, now);
    snapshot->replicas = replicaViews(inputs);
    return snapshot;
}

}
