#pragma once

#include "fleet/order_client.h"
#include "fleet/replica_view.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace carawaypoint
{

/// Failure injected into a simulated server.
enum class ServerFault : std::uint8_t {
    None,
    PoweredOff, // does not answer, and its registration lapses
    Partitioned, // serves, but cannot reach the store or receive orders
};

/// Simulates backend servers that execute orders, on a virtual clock, and records every violation of the replica rules.
///
/// Registrations are visible immediately and lapse after LapseTime without contact to the store. A head that has lost a member
/// breaks after StallTime.
class SimulatedServers
{
public:
    static constexpr Duration LapseTime = milliseconds(3600);
    static constexpr Duration StallTime = seconds(6);
    /// Time in which a closing head finishes its requests.
    static constexpr Duration CloseDuration = seconds(2);

    SimulatedServers(ServiceConfigPtr config, unsigned domains, unsigned serversPerDomain);

    /// Registrations in the store at @p now.
    ServerMap listed(TimePoint now) const;
    /// Executes an order, unless the server cannot be reached.
    OrderOutcome carryOut(const ReplicaOrder &order, TimePoint now);
    /// Completes joins, stagings, opens and closes that are due, and breaks heads that have stalled for StallTime.
    void advance(TimePoint now);

    void fail(const VmId &server, ServerFault fault, TimePoint now);
    /// Makes a partitioned server reachable again, or restarts a powered-off one under its id.
    void recover(const VmId &server, TimePoint now);
    void setLeaving(const VmId &server);
    VmId addServer(const FabricDomainId &domain);

    const std::vector<std::string> &violations() const
    {
        return violations_;
    }
    unsigned loads() const
    {
        return loads_;
    }
    /// Replicas that serve with all members present.
    unsigned servingReplicas(const ModelId &model) const;
    std::vector<VmId> ids() const;
    const BackendServer &state(const VmId &server) const;

private:
    struct Server {
        BackendServer record;
        ServerFault fault = ServerFault::None;
        TimePoint faultAt{};
        std::uint64_t highestEpoch = 0;
        std::vector<VmId> members; // of its replica, by rank
        ModelId lastModel;
        std::optional<TimePoint> joinedAt; // when the join in progress completes
        ModelId joining;
        std::optional<TimePoint> opensAt; // when the open in progress completes
        std::optional<TimePoint> closedAt; // when the requests of a closing head end
        std::optional<TimePoint> stalledAt; // of a head: since when it lacks a member
        ModelId staging;
        std::optional<TimePoint> stagedAt;
    };

    void keepStaged(Server &server, const ModelId &model) const;
    OrderOutcome join(Server &server, const ReplicaOrder &order, TimePoint now);
    bool isMemberPresent(const Server &head, const VmId &member) const;
    bool hasAllMembers(const Server &head) const;
    void checkJoin(const Server &server, const ReplicaOrder &order);
    void checkOpen(const Server &head);

    ServiceConfigPtr config_;
    std::map<VmId, Server> servers_;
    std::vector<std::string> violations_;
    std::map<std::pair<ReplicaId, VmId>, bool> wasReady_;
    unsigned loads_ = 0;
    unsigned nextId_ = 0;
    std::uint64_t nextStart_ = 1000;
};

/// A service with a large model of six servers per replica and a small one of three.
ServiceConfigPtr makeTwoModelConfig(unsigned stagedModelsPerHost = 1);

}
