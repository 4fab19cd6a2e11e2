// Case: an entry of another writer, for a service that isn't named, stands among the servers' entries in the store.
#include "fleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <random>
#include <sys/wait.h>

namespace review
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t Gateways = 3;
constexpr std::size_t ClientsOfGateway = 8;
constexpr auto CalmTime = 4s;
constexpr auto TroubleTime = 25s;
/// A process that exits is started again after a short delay.
constexpr auto RestartDelay = 1s;
constexpr unsigned AllowedLosses = 3;

struct State {
    bool isStopped = false;
    unsigned sent = 0;
    unsigned served = 0;
    unsigned lost = 0; // passed on to a server, and the kept connection ended without an answer
    unsigned ends = 0; // of processes, by themselves
    unsigned nextId = 0;
    std::mt19937 random{1};
};

asio::awaitable<void> runClient(Fleet &fleet, State &state, std::size_t gateway)
{
    while (!state.isStopped) {
        ClientConnection connection(fleet, fleet.callersOf(gateway));
        const bool isOpen = co_await connection.open();
        if (!isOpen) {
            co_await sleepFor(200ms);
            continue;
        }
        for (bool isFirst = true; connection.isOpen() && !state.isStopped; isFirst = false) {
            const auto id = "q" + std::to_string(++state.nextId);
            ++state.sent;
            Request request;
            request.id = id;
            request.path = "/book/x";
            request.deadlineMs = 3000;
            const auto answer = co_await connection.send(request);
            if (answer.isComplete) {
                state.served += answer.status == 200 ? 1 : 0;
            } else {
                const bool hasRun = !fleet.runsOf(id).empty();
                fleet.record().note("cut   " + id + (hasRun ? ", a server runs it" : ", no server has it") + (isFirst ? "" : ", on a kept connection"));
                state.lost += hasRun && !isFirst ? 1 : 0;
            }
            co_await sleepFor(milliseconds(80 + state.random() % 100));
        }
    }
}

/// Starts gateways again that have ended, as the platform does.
asio::awaitable<void> watchProcesses(Fleet &fleet, State &state)
{
    while (!state.isStopped) {
        for (std::size_t number = 0; number < fleet.gatewayCount(); ++number) {
            auto &gateway = fleet.gateway(number);
            int status = 0;
            if (!gateway.isRunning() || !gateway.hasEnded(status)) {
                continue;
            }
            ++state.ends;
            fleet.record().note("gateway " + std::to_string(number + 1) + " ended by itself, "
                                + (WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status)) : "exit code " + std::to_string(WEXITSTATUS(status))));
            co_await sleepFor(RestartDelay);
            fleet.restartGateway(number);
        }
        co_await sleepFor(20ms);
    }
}

}

asio::awaitable<Verdict> foreignEntry(Fleet &fleet, bool hasTrouble)
{
    fleet.store().put(
        "config", "main",
        makeConfig(7, {makeRoute("/book/", "non_idempotent", "rota-app", 1500)}, {json::object{{"name", "rota-app"}, {"max_conns", 49}}}, {"key-one"}));
    for (const auto *zone : {"a", "b", "c"}) {
        fleet.addServer(std::string("i-") + zone, "rota-app", zone, 60ms).start();
    }
    for (const auto *zone : {"a", "b", "c"}) {
        fleet.startGateway(zone, fleet.storeEndpoint());
    }
    const bool isReady = co_await fleet.waitUntilReady(10s);
    if (!isReady) {
        co_return Verdict::NotRun;
    }
    State state;
    for (std::size_t gateway = 0; gateway < Gateways; ++gateway) {
        for (std::size_t client = 0; client < ClientsOfGateway; ++client) {
            asio::co_spawn(fleet.io(), runClient(fleet, state, gateway), asio::detached);
        }
    }
    asio::co_spawn(fleet.io(), watchProcesses(fleet, state), asio::detached);
    co_await sleepFor(CalmTime);
    if (hasTrouble) {
        // 4294967295 is what a writer with 32-bit ranks stores for "no rank".
        fleet.store().put("servers", "w-31",
                          json::object{{"service", "ledger"},
                                       {"address", "127.0.0.1:9"},
                                       {"zone", "a"},
                                       {"version", "v1"},
                                       {"slots", 1},
                                       {"state", "ready"},
                                       {"cold_ms", 0},
                                       {"seq", 1},
                                       {"born", 1},
                                       {"group", json::object{{"name", "none"}, {"epoch", 0}, {"rank", 4294967295U}, {"state", "ready"}}}});
        fleet.record().note("entry w-31 of another writer, service ledger, is in the store");
    }
    co_await sleepFor(TroubleTime);
    state.isStopped = true;
    co_await sleepFor(2s);
    fleet.record().note("sent " + std::to_string(state.sent) + ", served " + std::to_string(state.served) + ", processes ended by themselves "
                        + std::to_string(state.ends) + ", requests from kept connections passed on and cut " + std::to_string(state.lost) + ", allowed "
                        + std::to_string(AllowedLosses));
    if (state.served == 0) {
        co_return Verdict::NotRun;
    }
    co_return state.lost > AllowedLosses ? Verdict::Broken : Verdict::Held;
}

}
