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

/// How a simulated server fails.
enum class ServerFault : std::uint8_t {
    None,
    Dark, // ended without a trace: no answers, and its registration lapses
    Cut, // lives and serves, but neither the store nor orders reach it
};

/// Backend servers that obey orders as real ones do, on a virtual clock, and report every breach of the replica rules.
///
/// Registrations appear at once and lapse after LapseTime without contact. A head without one of its members breaks after
/// StallTime.
class SimulatedServers
{
public:
    static constexpr Duration LapseTime = milliseconds(3600);
    static constexpr Duration StallTime = seconds(6);
    /// For which a head that closes goes on with its requests.
    static constexpr Duration CloseTime = seconds(2);

    SimulatedServers(ServiceConfigPtr config, unsigned domains, unsigned serversPerDomain);

    /// What the store lists now.
    ServerMap listed(TimePoint now) const;
    /// Carries an order out and answers it, unless the server cannot be reached.
    OrderOutcome carryOut(const ReplicaOrder &order, TimePoint now);
    /// Ends loads and opens that are due, and breaks heads that have stalled.
    void advance(TimePoint now);

    void fail(const VmId &server, ServerFault fault, TimePoint now);
    /// A cut server is reached again; a dark one starts anew under its id.
    void recover(const VmId &server, TimePoint now);
    void setLeaving(const VmId &server);
    VmId addServer(const FabricDomainId &domain);

    const std::vector<std::string> &breaches() const
    {
        return breaches_;
    }
    unsigned loads() const
    {
        return loads_;
    }
    /// Replicas that serve, with all members alive.
    unsigned servingReplicas(const ModelId &model) const;
    std::vector<VmId> ids() const;
    const BackendServer &state(const VmId &server) const;

private:
    struct Server {
        BackendServer record;
        ServerFault fault = ServerFault::None;
        TimePoint faultAt{};
        std::uint64_t highestEpoch = 0;
        std::vector<VmId> members; // of its replica
        ModelId lastModel;
        std::optional<TimePoint> joinedAt; // when the join that is under way ends
        ModelId joining;
        std::optional<TimePoint> opensAt;
        std::optional<TimePoint> closedAt; // when the requests of a head that closes have ended
        std::optional<TimePoint> stalledAt; // of a head: when it lost a member
        ModelId staging;
        std::optional<TimePoint> stagedAt;
    };

    OrderOutcome join(Server &server, const ReplicaOrder &order, TimePoint now);
    bool isMemberSound(const Server &head, const VmId &member) const;
    bool isSound(const Server &head) const;
    void checkJoin(const Server &server, const ReplicaOrder &order);
    void checkOpen(const Server &head);

    ServiceConfigPtr config_;
    std::map<VmId, Server> servers_;
    std::vector<std::string> breaches_;
    std::map<std::pair<ReplicaId, VmId>, bool> wasReady_;
    unsigned loads_ = 0;
    unsigned nextId_ = 0;
    std::uint64_t nextStart_ = 1000;
};

/// A service with a model of six and one of three servers a replica.
ServiceConfigPtr makeTwoModelConfig();

}
