#pragma once

#include "fleet/backend_server.h"
#include "fleet/service_config.h"

#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace carawaypoint
{

using ServerMap = std::map<VmId, BackendServer>;

/// Where a request can be sent: the head of a complete replica, or a server of a plain service.
struct ServingTarget {
    VmId server;
    Endpoint address;
    ZoneId zone;
    unsigned slots = 1;
    std::uint64_t startedAt = 0; // of the server
    ReplicaId replica; // empty for plain services
    std::uint64_t epoch = 0;
    double prefillTokensPerSecond = 0; // prefill rate of the replica; 0 when not known
};

using ServingTargets = std::vector<ServingTarget>;

/// Members of one replica as reported by the servers.
struct ReplicaMembers {
    ReplicaId id;
    std::uint64_t epoch = 0;
    ServiceId service;
    FabricDomainId domain;
    ModelId model;
    std::map<unsigned, const BackendServer *> members; // by rank; points into the ServerMap

    const BackendServer *head() const;
    /// Whether ranks 0 to @p size - 1 are present, joined and not leaving.
    bool isComplete(unsigned size) const;
};

/// Whether a replica can have a member with the rank that the server reports, if it reports one. A registration of another writer may contain
/// any number, for example the largest one for "no rank".
bool hasPossibleRank(const BackendServer &server);

/// Groups servers of services with an engine by service, replica and epoch. The result refers to @p servers. Servers whose service @p config
/// does not name, and those with an impossible rank, are left out.
std::vector<ReplicaMembers> groupByReplica(const ServerMap &servers, const ServiceConfig &config);

/// Immutable snapshot of the configuration and the eligible targets, shared with the traffic thread.
class FleetSnapshot
{
public:
    /// @param evacuatedZones availability zones whose servers must get no requests, whatever they report.
    FleetSnapshot(ServiceConfigPtr config, const ServerMap &servers, std::set<ZoneId> evacuatedZones = {});

    const ServiceConfigPtr &config() const
    {
        return config_;
    }
    /// Eligible targets of @p service; for services with replicas, the heads of those that run @p model.
    const ServingTargets &targets(const ServiceId &service, const ModelId &model) const;
    ServingTargets allTargets() const;
    /// The eligible target at @p address; null when there is none.
    const ServingTarget *findTarget(const Endpoint &address) const;
    const std::set<ZoneId> &evacuatedZones() const
    {
        return evacuatedZones_;
    }

private:
    bool isEvacuated(const BackendServer &server) const
    {
        return evacuatedZones_.contains(server.zone);
    }
    void addReplicas(const ServerMap &servers);
    void addPlainServers(const ServerMap &servers);

    ServiceConfigPtr config_;
    std::set<ZoneId> evacuatedZones_;
    std::map<std::pair<ServiceId, ModelId>, ServingTargets> targets_;
};

using FleetSnapshotPtr = std::shared_ptr<const FleetSnapshot>;

}
