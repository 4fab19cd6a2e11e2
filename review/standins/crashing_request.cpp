// Case: a request crashes each server that begins to run it, just after its first event, and comes again.
#include "fleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <random>

namespace review
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t Gateways = 3;
constexpr unsigned Servers = 5;
constexpr unsigned ClientsOfGateway = 4;
/// The request comes this often, each time at any gateway.
constexpr unsigned Comings = 10;
constexpr auto ComingInterval = 4s;
/// A crashed server is back after this.
constexpr auto RestartTime = 2500ms;
constexpr auto ContactTime = 3000ms;
constexpr unsigned AllowedRetries = 3;
constexpr unsigned Events = 30;
constexpr auto EventInterval = 50ms;
constexpr auto Poison = "{\"shift\":\"deadly\"}";

struct State {
    bool isStopped = false;
    unsigned nextId = 0;
    unsigned served = 0;
    unsigned cut = 0; // others' streams that ended early
    unsigned crashes = 0;
    unsigned late = 0; // arrivals of the request later than the contact time after the third crash
    Clock::time_point thirdCrashAt = Clock::time_point::max();
    std::mt19937 random{1};
};

asio::awaitable<void> runClient(Fleet &fleet, State &state, std::size_t gateway)
{
    ClientConnection connection(fleet, fleet.callersOf(gateway));
    while (!state.isStopped) {
        if (!connection.isOpen()) {
            const bool isOpen = co_await connection.open();
            if (!isOpen) {
                connection.close();
                co_await sleepFor(200ms);
                continue;
            }
        }
        Request request;
        request.id = "q" + std::to_string(++state.nextId);
        request.path = "/draft/x";
        request.body = "{\"shift\":" + std::to_string(state.nextId) + "}";
        const auto answer = co_await connection.send(request);
        state.served += answer.isComplete && answer.status == 200 ? 1 : 0;
        state.cut += !answer.isComplete ? 1 : 0;
        co_await sleepFor(milliseconds(100 + state.random() % 100));
    }
}

asio::awaitable<void> restart(Fleet &fleet, PlainServer &server)
{
    co_await sleepFor(RestartTime);
    server.start();
    fleet.record().note("server " + server.id() + " is back");
}

/// Counts the arrivals later than the contact time after the third crash.
void checkArrivals(Fleet &fleet, State &state, const std::string &request)
{
    for (const auto &run : fleet.runsOf(request)) {
        const bool isLate = state.crashes >= 3 && run.arrivedAt > state.thirdCrashAt + ContactTime;
        state.late += isLate ? 1 : 0;
        fleet.record().note(request + " reached server " + run.server + (isLate ? ", counted" : ""));
    }
}

/// The request comes some times, at any gateway, with the same path, caller and body.
asio::awaitable<void> sendPoison(Fleet &fleet, State &state)
{
    for (unsigned coming = 1; coming <= Comings; ++coming) {
        ClientConnection connection(fleet, fleet.callersOf(state.random() % Gateways));
        const bool isOpen = co_await connection.open();
        if (isOpen) {
            Request request;
            request.id = "deadly-" + std::to_string(coming);
            request.path = "/draft/x";
            request.body = Poison;
            co_await connection.send(request);
            checkArrivals(fleet, state, request.id);
        }
        co_await sleepFor(ComingInterval);
    }
}

}

asio::awaitable<Verdict> crashingRequest(Fleet &fleet, bool hasTrouble)
{
    fleet.store().put(
        "config", "main",
        makeConfig(7, {makeRoute("/draft/", "streaming", "assistant", 8000, true)}, {json::object{{"name", "assistant"}, {"max_conns", 324}}}, {"key-one"}));
    State state;
    for (unsigned number = 0; number < Servers; ++number) {
        auto &server = fleet.addServer("i-" + std::to_string(number + 1), "assistant", std::string(1, static_cast<char>('a' + number % 3)), 0ms, 26);
        server.stream(Events, EventInterval);
        if (hasTrouble) {
            server.crashOn(Poison, [&fleet, &state, &server] {
                if (++state.crashes == 3) {
                    state.thirdCrashAt = Clock::now();
                }
                fleet.record().note("crash " + std::to_string(state.crashes) + ": server " + server.id() + " ends");
                asio::co_spawn(fleet.io(), restart(fleet, server), asio::detached);
            });
        }
        server.start();
    }
    for (const auto *zone : {"a", "b", "c"}) {
        fleet.startGateway(zone, fleet.storeEndpoint());
    }
    const bool isReady = co_await fleet.waitUntilReady(10s);
    if (!isReady) {
        co_return Verdict::NotRun;
    }
    for (std::size_t gateway = 0; gateway < Gateways; ++gateway) {
        for (unsigned client = 0; client < ClientsOfGateway; ++client) {
            asio::co_spawn(fleet.io(), runClient(fleet, state, gateway), asio::detached);
        }
    }
    co_await sleepFor(ContactTime + 500ms);
    co_await sendPoison(fleet, state);
    state.isStopped = true;
    co_await sleepFor(3s);
    fleet.record().note("served " + std::to_string(state.served) + ", others' streams cut " + std::to_string(state.cut) + ", servers crashed "
                        + std::to_string(state.crashes) + ", arrivals later than 3 s after the third crash " + std::to_string(state.late) + ", allowed "
                        + std::to_string(AllowedRetries));
    if (state.served == 0) {
        co_return Verdict::NotRun;
    }
    co_return state.late > AllowedRetries ? Verdict::Broken : Verdict::Held;
}

}
