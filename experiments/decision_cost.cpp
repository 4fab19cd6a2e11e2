#include "experiments/experiments.h"
#include "routing/dispatcher.h"

#include <chrono>
#include <iostream>
#include <malloc.h>
#include <memory>

namespace carawaypoint::experiments
{

namespace
{

constexpr std::uint32_t Slots = 48;
constexpr std::uint32_t MembersPerReplica = 4;
constexpr int Decisions = 20000;
constexpr int Ticks = 200;

RoutingSnapshotPtr makeSnapshot(const Clock &clock, std::size_t replicas, std::size_t customers)
{
    auto snapshot = std::make_shared<RoutingSnapshot>();
    snapshot->generation = 1;
    snapshot->zone = ZoneId("z1");
    snapshot->daemonsInZone = 83;
    snapshot->isPeerExchangeFresh = true;
    for (std::size_t i = 0; i < replicas; ++i) {
        ReplicaView &view = snapshot->replicas.emplace_back();
        view.id = ReplicaId("replica-" + std::to_string(i));
        view.incarnation = 1;
        view.model = ModelId("m");
        view.zone = snapshot->zone;
        view.leader = {"127.0.0.1", 9000};
        view.expectedMembers = MembersPerReplica;
        view.slots = Slots;
        for (std::uint32_t member = 0; member < MembersPerReplica; ++member) {
            ReplicaMemberView &vm = view.members.emplace_back();
            vm.vm = VmId("vm-" + std::to_string(i) + "-" + std::to_string(member));
            vm.isLoaded = true;
            vm.lastSeen = clock.now();
        }
    }
    for (std::size_t i = 0; i < customers; ++i) {
        snapshot->customers.emplace_back().id = CustomerId("customer-" + std::to_string(i));
    }
    return snapshot;
}

/// CPU time and memory of a dispatcher.
struct Cost {
    double decisionMicroseconds = 0; // of submit() and finish()
    double tickMicroseconds = 0;
    double kilobytes = 0; // heap memory of the dispatcher and its snapshot
};

double allocatedKilobytes()
{
    return static_cast<double>(mallinfo2().uordblks) / 1024;
}

double microsecondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count();
}

Cost measure(std::size_t replicas, std::size_t customers)
{
    const ManualClock clock;
    Cost cost;
    const double before = allocatedKilobytes();
    const auto dispatcher = makeDispatcher(clock, 1);
    dispatcher->setSnapshot(makeSnapshot(clock, replicas, customers));
    ModelRequest request;
    request.model = ModelId("m");
    request.promptTokens = 100;
    request.maxTokens = 100;
    request.deadline = clock.now() + seconds(2);
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < Decisions; ++i) {
        request.customer = CustomerId("customer-" + std::to_string(static_cast<std::size_t>(i) % customers));
        request.prefixHashes = {static_cast<std::uint64_t>(i % 10), static_cast<std::uint64_t>(1000 + i % 5000)};
        const auto ticket = dispatcher->submit(request, [](const DispatchDecision &) {});
        dispatcher->finish(ticket, AttemptOutcome::Completed, 50);
    }
    cost.decisionMicroseconds = microsecondsSince(start) / Decisions;
    const auto tickStart = std::chrono::steady_clock::now();
    for (int i = 0; i < Ticks; ++i) {
        dispatcher->tick();
    }
    cost.tickMicroseconds = microsecondsSince(tickStart) / Ticks;
    cost.kilobytes = allocatedKilobytes() - before;
    return cost;
}

void printSlope(const char *unit, double first, double second, double count)
{
    std::cout << (second - first) / count << ' ' << unit;
}

}

void printDecisionCost()
{
    std::cout << "| replicas | customers | submit and finish, us | tick, us | memory, KB |\n|---|---|---|---|---|\n";
    const auto row = [](std::size_t replicas, std::size_t customers) {
        const Cost cost = measure(replicas, customers);
        std::cout << "| " << replicas << " | " << customers << " | " << cost.decisionMicroseconds << " | " << cost.tickMicroseconds << " | " << cost.kilobytes
                  << " |\n";
        return cost;
    };
    row(16, 10); // not used: warms the processor caches
    const Cost fewReplicas = row(16, 10);
    row(40, 10);
    row(160, 10);
    const Cost manyReplicas = row(325, 10);
    const Cost manyCustomers = row(325, 100);
    std::cout << "\nper replica: ";
    printSlope("us a decision, ", fewReplicas.decisionMicroseconds, manyReplicas.decisionMicroseconds, 309);
    printSlope("us a tick, ", fewReplicas.tickMicroseconds, manyReplicas.tickMicroseconds, 309);
    printSlope("KB\n", fewReplicas.kilobytes, manyReplicas.kilobytes, 309);
    std::cout << "per customer: ";
    printSlope("us a decision, ", manyReplicas.decisionMicroseconds, manyCustomers.decisionMicroseconds, 90);
    printSlope("us a tick, ", manyReplicas.tickMicroseconds, manyCustomers.tickMicroseconds, 90);
    printSlope("KB\n", manyReplicas.kilobytes, manyCustomers.kilobytes, 90);
}

}
