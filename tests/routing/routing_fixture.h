#pragma once

#include "routing/dispatcher.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carawaypoint
{

/// A dispatcher on a manual clock with a snapshot that a test changes and publishes.
class RoutingFixture
{
public:
    explicit RoutingFixture(std::uint64_t seed = 1)
        : dispatcher(makeDispatcher(clock, seed))
    {
        snapshot.generation = 1;
        snapshot.zone = ZoneId("z1");
        snapshot.isPeerExchangeFresh = true;
        snapshot.models.emplace_back().id = ModelId("m");
    }

    ReplicaView &addReplica(const std::string &name, std::uint32_t slots = 4, const std::string &zone = "z1")
    {
        ReplicaView view;
        view.id = ReplicaId(name);
        view.incarnation = 1;
        view.model = ModelId("m");
        view.zone = ZoneId(zone);
        view.leader = {"127.0.0.1", 9000};
        view.expectedMembers = 2;
        view.slots = slots;
        for (const char *member : {"a", "b"}) {
            view.members.push_back({.vm = VmId(name + member), .address = view.leader, .lastSeen = clock.now(), .isLoaded = true});
        }
        snapshot.replicas.push_back(view);
        return snapshot.replicas.back();
    }

    void publish()
    {
        snapshot.builtAt = clock.now();
        dispatcher->setSnapshot(std::make_shared<RoutingSnapshot>(snapshot));
    }

    /// Marks every member as seen at this moment and publishes.
    void refresh()
    {
        for (ReplicaView &replica : snapshot.replicas) {
            for (ReplicaMemberView &member : replica.members) {
                member.lastSeen = clock.now();
            }
        }
        publish();
    }

    ModelRequest request(const std::string &customer = "c") const
    {
        ModelRequest request;
        request.customer = CustomerId(customer);
        request.model = ModelId("m");
        request.promptTokens = 10;
        request.maxTokens = 10;
        request.deadline = clock.now() + seconds(2);
        return request;
    }

    Dispatcher::Ticket submit(const ModelRequest &request)
    {
        const auto index = decisions.size();
        decisions.emplace_back();
        const auto ticket = dispatcher->submit(request, [this, index](const DispatchDecision &decision) { decisions[index].push_back(decision); });
        decisionIndexes[ticket] = index;
        return ticket;
    }

    Dispatcher::Ticket resubmit(Dispatcher::Ticket failed, std::vector<ReplicaId> excluded)
    {
        const auto index = decisions.size();
        decisions.emplace_back();
        const auto ticket = dispatcher->resubmit(failed, excluded, [this, index](const DispatchDecision &decision) { decisions[index].push_back(decision); });
        decisionIndexes[ticket] = index;
        return ticket;
    }

    /// Decisions that the handler of @p ticket received; a correct dispatcher makes at most one.
    const std::vector<DispatchDecision> &decisionsOf(Dispatcher::Ticket ticket)
    {
        return decisions[decisionIndexes.at(ticket)];
    }

    bool isGranted(Dispatcher::Ticket ticket)
    {
        return decisionsOf(ticket).size() == 1 && decisionsOf(ticket)[0].code == ResultCode::Ok;
    }

    ResultCode codeOf(Dispatcher::Ticket ticket)
    {
        return decisionsOf(ticket).empty() ? ResultCode::Internal : decisionsOf(ticket)[0].code;
    }

    ManualClock clock;
    RoutingSnapshot snapshot;
    std::unique_ptr<Dispatcher> dispatcher;
    std::vector<std::vector<DispatchDecision>> decisions;
    std::map<Dispatcher::Ticket, std::size_t> decisionIndexes; // into decisions
};

}
