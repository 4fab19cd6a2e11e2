// Case: the store is silent for a while. After it has been stable again for the contact time, a server leaves by removing its entry.
#include "fleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <random>

namespace review
{

namespace
{

using namespace std::chrono_literals;
using carawaypoint::soak::StoreFault;

constexpr std::size_t Gateways = 7;
constexpr unsigned ClientsOfGateway = 2;
constexpr unsigned Servers = 3;
constexpr auto OutageTime = 8000ms;
/// Bounds of the site.
constexpr auto ContactTime = 3000ms;
constexpr auto DrainTime = 2000ms;
/// Added to the contact time, and to the drain time in the check.
constexpr auto Margin = 50ms;
/// A server that leaves serves for the drain time and a little longer.
constexpr auto LittleLonger = 500ms;
/// Times from the last change of an entry to the start of an outage.
constexpr milliseconds Phases[] = {400ms, 1000ms, 1600ms, 2200ms};

struct State {
    bool isStopped = false;
    unsigned nextId = 0;
    unsigned served = 0;
    unsigned late = 0; // runs at a server later than the drain time after its removal
    unsigned lost = 0; // of these, those that its end cut off
    std::map<std::string, Clock::time_point> removedAt; // by server
    std::mt19937 random{1};
};

asio::awaitable<void> runClient(Fleet &fleet, State &state, std::size_t gateway)
{
    ClientConnection connection(fleet, fleet.callersOf(gateway));
    bool isOpen = co_await connection.open();
    while (!state.isStopped && isOpen) {
        Request request;
        request.id = "q" + std::to_string(++state.nextId);
        request.path = "/book/x";
        request.deadlineMs = 3000;
        const auto answer = co_await connection.send(request);
        state.served += answer.status == 200 ? 1 : 0;
        for (const auto &run : fleet.runsOf(request.id)) {
            const auto removed = state.removedAt.find(run.server);
            if (removed == state.removedAt.end() || run.arrivedAt <= removed->second + DrainTime + Margin) {
                continue;
            }
            ++state.late;
            state.lost += answer.status == 200 ? 0 : 1;
            fleet.record().note("late  " + request.id + " reached " + run.server + " from gateway " + std::to_string(gateway + 1) + " "
                                + std::to_string(std::chrono::duration_cast<milliseconds>(run.arrivedAt - removed->second).count())
                                + " ms after the store had acknowledged that it is gone, and ended with " + std::to_string(answer.status));
        }
        if (!connection.isOpen()) {
            isOpen = co_await connection.open();
        }
        co_await sleepFor(milliseconds(40 + state.random() % 40));
    }
}

}

asio::awaitable<Verdict> lateRemoval(Fleet &fleet, bool hasTrouble)
{
    fleet.store().put(
        "config", "main",
        makeConfig(7, {makeRoute("/book/", "non_idempotent", "rota-app", 1500)}, {json::object{{"name", "rota-app"}, {"max_conns", 49}}}, {"key-one"}));
    unsigned added = 0;
    const auto addServer = [&]() -> PlainServer & {
        auto &server = fleet.addServer("i-" + std::to_string(++added), "rota-app", std::string(1, static_cast<char>('a' + added % 3)), 150ms);
        server.start();
        fleet.record().note("server " + server.id() + " is registered");
        return server;
    };
    std::vector<PlainServer *> servers;
    for (unsigned number = 0; number < Servers; ++number) {
        servers.push_back(&addServer());
    }
    for (std::size_t number = 0; number < Gateways; ++number) {
        fleet.startGateway(number < 3 ? "a" : number < 5 ? "b" : "c", fleet.storeEndpoint());
    }
    const bool isReady = co_await fleet.waitUntilReady(10s);
    if (!isReady) {
        co_return Verdict::NotRun;
    }
    State state;
    for (std::size_t gateway = 0; gateway < Gateways; ++gateway) {
        for (unsigned client = 0; client < ClientsOfGateway; ++client) {
            asio::co_spawn(fleet.io(), runClient(fleet, state, gateway), asio::detached);
        }
    }
    co_await sleepFor(3s);
    for (const auto phase : Phases) {
        // A new server takes the place of the one that left.
        while (servers.size() <= Servers) {
            servers.push_back(&addServer());
        }
        co_await sleepFor(phase);
        if (hasTrouble) {
            fleet.store().setFault(StoreFault::NoAnswer);
            fleet.record().note("the store is silent");
        }
        co_await sleepFor(OutageTime);
        fleet.store().setFault(StoreFault::None);
        fleet.record().note("the store answers");
        co_await sleepFor(ContactTime + Margin);
        auto &leaving = *servers.front();
        servers.erase(servers.begin());
        leaving.unregister();
        state.removedAt[leaving.id()] = Clock::now();
        fleet.record().note("server " + leaving.id() + " is gone from the store: acknowledged");
        co_await sleepFor(DrainTime + LittleLonger);
        leaving.end();
        fleet.record().note("server " + leaving.id() + " has ended");
        co_await sleepFor(3s);
    }
    state.isStopped = true;
    co_await sleepFor(2s);
    fleet.record().note("served " + std::to_string(state.served) + ", reached a server that had left more than " + std::to_string((DrainTime + Margin).count())
                        + " ms before: " + std::to_string(state.late) + ", of these lost: " + std::to_string(state.lost));
    if (state.served == 0) {
        co_return Verdict::NotRun;
    }
    co_return state.late > 0 ? Verdict::Broken : Verdict::Held;
}

}
