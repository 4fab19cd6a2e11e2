#include "tests/fleet/support/simulated_servers.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{

const ServiceId Service("drafting");
constexpr Duration RejoinTime = milliseconds(200);

}

ServiceConfigPtr makeTwoModelConfig(unsigned stagedModelsPerHost)
{
    auto config = std::make_shared<ServiceConfig>();
    config->version = 1;
    EngineSpec engine;
    engine.slots = 26;
    engine.stagedModelsPerHost = stagedModelsPerHost;
    engine.loadsPerSecond = 5.5;
    engine.maxConcurrentLoads = 8;
    engine.models.push_back({ModelId("large"), 6, 0.67, 1.0, seconds(16), milliseconds(1600)});
    engine.models.push_back({ModelId("small"), 3, 0.33, 0.6, seconds(12), milliseconds(1100)});
    config->services[Service] = {Service, 304, engine};
    return config;
}

SimulatedServers::SimulatedServers(ServiceConfigPtr config, unsigned domains, unsigned serversPerDomain)
    : config_(std::move(config))
{
    for (unsigned domain = 0; domain < domains; ++domain) {
        for (unsigned i = 0; i < serversPerDomain; ++i) {
            addServer(FabricDomainId("d" + std::to_string(domain)));
        }
    }
}

VmId SimulatedServers::addServer(const FabricDomainId &domain)
{
    Server server;
    const auto number = nextId_++;
    server.record.id = VmId("vm-" + std::to_string(number));
    server.record.service = Service;
    server.record.address = {"10.0.0.1", static_cast<std::uint16_t>(1000 + number)};
    server.record.zone = ZoneId("a");
    server.record.domain = domain;
    server.record.slots = 26;
    server.record.startedAt = nextStart_++;
    auto id = server.record.id;
    servers_.emplace(id, std::move(server));
    return id;
}

ServerMap SimulatedServers::listed(TimePoint now) const
{
    ServerMap result;
    for (const auto &[id, server] : servers_) {
        if (server.fault == ServerFault::None || now - server.faultAt < LapseTime) {
            result.emplace(id, server.record);
        }
    }
    return result;
}

std::vector<VmId> SimulatedServers::ids() const
{
    std::vector<VmId> result;
    for (const auto &[id, server] : servers_) {
        result.push_back(id);
    }
    return result;
}

const BackendServer &SimulatedServers::state(const VmId &server) const
{
    return servers_.at(server).record;
}

OrderOutcome SimulatedServers::carryOut(const ReplicaOrder &order, TimePoint now)
{
    auto &server = servers_.at(order.server);
    if (server.fault != ServerFault::None) {
        return OrderOutcome::NoAnswer;
    }
    if (order.kind == OrderKind::Join) {
        return join(server, order, now);
    }
    if (order.kind == OrderKind::Stage) {
        ++loads_;
        server.staging = order.model;
        server.stagedAt = now + config_->services.at(Service).engine->findModel(order.model)->loadTime;
        return OrderOutcome::Done;
    }
    auto &membership = server.record.membership;
    if (!membership || membership->replica != order.replica || membership->epoch != order.epoch) {
        return OrderOutcome::Refused;
    }
    switch (order.kind) {
    case OrderKind::Open:
        if (membership->state != MembershipState::Ready) {
            return OrderOutcome::Refused;
        }
        server.opensAt = now + milliseconds(300);
        break;
    case OrderKind::Close:
        server.opensAt.reset();
        if (membership->state == MembershipState::Open) {
            membership->state = MembershipState::Closing;
            server.closedAt = now + CloseDuration;
        }
        break;
    default:
        server.opensAt.reset();
        server.closedAt.reset();
        server.joinedAt.reset();
        membership.reset();
        server.record.loadedModel = ModelId();
        break;
    }
    return OrderOutcome::Done;
}

OrderOutcome SimulatedServers::join(Server &server, const ReplicaOrder &order, TimePoint now)
{
    const bool isSame = server.record.membership && server.record.membership->replica == order.replica && server.record.membership->epoch == order.epoch;
    if (order.epoch < server.highestEpoch || (isSame && server.members != order.members)) {
        return OrderOutcome::Stale;
    }
    if (isSame) {
        return OrderOutcome::Done;
    }
    checkJoin(server, order);
    const auto &model = *config_->services.at(Service).engine->findModel(order.model);
    const auto &staged = server.record.stagedModels;
    const bool isStaged = std::find(staged.begin(), staged.end(), order.model) != staged.end();
    Duration time = model.loadTime;
    if (server.lastModel == order.model) {
        time = RejoinTime;
    } else if (isStaged) {
        time = model.stagedLoadTime;
    } else {
        ++loads_;
    }
    server.highestEpoch = order.epoch;
    server.members = order.members;
    server.joining = order.model;
    server.joinedAt = now + time;
    server.opensAt.reset();
    server.closedAt.reset();
    server.stalledAt.reset();
    const auto rank = static_cast<unsigned>(std::find(order.members.begin(), order.members.end(), order.server) - order.members.begin());
    server.record.membership = ReplicaMembership{order.replica, order.epoch, rank, MembershipState::Joining};
    server.record.loadedModel = order.model;
    return OrderOutcome::Done;
}

/// Records a violation if a server joins another replica while the head of its replica may still have requests.
void SimulatedServers::checkJoin(const Server &server, const ReplicaOrder &order)
{
    if (!server.record.membership || server.members.empty()) {
        return;
    }
    const auto &head = servers_.at(server.members.front());
    const auto &membership = head.record.membership;
    const bool isHeadInReplica = membership && membership->replica == server.record.membership->replica && membership->epoch == server.record.membership->epoch;
    const bool isActive = isHeadInReplica && (membership->state == MembershipState::Open || membership->state == MembershipState::Closing);
    if (isActive && head.fault != ServerFault::PoweredOff) {
        violations_.push_back(order.server.str() + " joins " + order.replica.str() + " while " + membership->replica.str() + " has requests");
    }
}

void SimulatedServers::checkOpen(const Server &head)
{
    const auto &replica = head.record.membership->replica;
    for (const auto &member : head.members) {
        if (!wasReady_.contains({replica, member})) {
            violations_.push_back(replica.str() + " opens although " + member.str() + " was never ready");
        }
        const auto &membership = servers_.at(member).record.membership;
        if (membership && membership->replica != replica) {
            violations_.push_back(replica.str() + " opens although " + member.str() + " has joined " + membership->replica.str());
        }
    }
}

bool SimulatedServers::isMemberPresent(const Server &head, const VmId &member) const
{
    const auto &server = servers_.at(member);
    const auto &membership = server.record.membership;
    return server.fault == head.fault && membership && membership->replica == head.record.membership->replica
        && membership->epoch == head.record.membership->epoch;
}

bool SimulatedServers::hasAllMembers(const Server &head) const
{
    return std::all_of(head.members.begin(), head.members.end(), [this, &head](const VmId &member) { return isMemberPresent(head, member); });
}

/// Adds the model to those that the host keeps, and drops the oldest ones beyond its limit.
void SimulatedServers::keepStaged(Server &server, const ModelId &model) const
{
    auto &staged = server.record.stagedModels;
    std::erase(staged, model);
    staged.push_back(model);
    const auto limit = config_->services.at(Service).engine->stagedModelsPerHost;
    if (staged.size() > limit) {
        staged.erase(staged.begin(), staged.end() - limit);
    }
}

void SimulatedServers::advance(TimePoint now)
{
    for (auto &[id, server] : servers_) {
        if (server.fault == ServerFault::PoweredOff) {
            continue;
        }
        auto &membership = server.record.membership;
        if (server.joinedAt && *server.joinedAt <= now) {
            server.joinedAt.reset();
            server.lastModel = server.joining;
            keepStaged(server, server.joining);
            membership->state = MembershipState::Ready;
            wasReady_[{membership->replica, id}] = true;
        }
        if (server.stagedAt && *server.stagedAt <= now) {
            server.stagedAt.reset();
            keepStaged(server, server.staging);
        }
        if (server.closedAt && *server.closedAt <= now) {
            server.closedAt.reset();
            membership->state = MembershipState::Ready;
        }
        if (server.opensAt && *server.opensAt <= now) {
            server.opensAt.reset();
            membership->state = MembershipState::Open;
            checkOpen(server);
        }
        if (!membership || membership->state != MembershipState::Open) {
            server.stalledAt.reset();
            continue;
        }
        if (hasAllMembers(server)) {
            server.stalledAt.reset();
        } else if (!server.stalledAt) {
            server.stalledAt = now;
        } else if (now - *server.stalledAt >= StallTime) {
            membership->state = MembershipState::Broken;
        }
    }
}

void SimulatedServers::fail(const VmId &id, ServerFault fault, TimePoint now)
{
    auto &server = servers_.at(id);
    // A powered-off server has to restart before a partition can affect it.
    if (server.fault == ServerFault::PoweredOff && fault == ServerFault::Partitioned) {
        return;
    }
    server.fault = fault;
    server.faultAt = now;
}

void SimulatedServers::recover(const VmId &id, TimePoint)
{
    auto &server = servers_.at(id);
    if (server.fault == ServerFault::PoweredOff) {
        const auto record = server.record;
        server = Server{};
        server.record = record;
        server.record.membership.reset();
        server.record.loadedModel = ModelId();
        server.record.startedAt = nextStart_++;
    }
    server.fault = ServerFault::None;
}

void SimulatedServers::setLeaving(const VmId &server)
{
    servers_.at(server).record.isLeaving = true;
}

unsigned SimulatedServers::servingReplicas(const ModelId &model) const
{
    unsigned count = 0;
    for (const auto &[id, server] : servers_) {
        const auto &membership = server.record.membership;
        const bool isOpenHead = server.fault == ServerFault::None && membership && membership->rank == 0 && membership->state == MembershipState::Open;
        if (!isOpenHead || server.record.loadedModel != model) {
            continue;
        }
        count += hasAllMembers(server) ? 1 : 0;
    }
    return count;
}

}
