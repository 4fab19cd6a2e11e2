// Case: the open connections between the gateways and the store go silent for good, while new ones work. Then a key is taken away and a
// route moves.
#include "fleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <cstdlib>
#include <random>

namespace review
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t Gateways = 7;
constexpr auto CalmTime = 8s;
/// Bounds of the site.
constexpr auto ContactTime = 3000ms;
constexpr auto ConfigApplyTime = 2000ms;
/// Added to each bound, so that nothing is counted that is only just late.
constexpr auto Margin = 100ms;
constexpr auto RequestInterval = 100ms;

struct State {
    bool isStopped = false;
    unsigned nextId = 0;
    unsigned answered = 0;
    unsigned stale = 0; // handled as only the older version allows
    Clock::time_point silencedAt = Clock::time_point::max();
    Clock::time_point acknowledgedAt = Clock::time_point::max();
};

/// Sends requests to one gateway in turn on a kept connection, with the key that stays and with the one that is taken away.
asio::awaitable<void> runClient(Fleet &fleet, State &state, std::size_t gateway)
{
    ClientConnection connection(fleet, fleet.callersOf(gateway));
    bool isOpen = co_await connection.open();
    while (!state.isStopped && isOpen) {
        Request request;
        request.id = "q" + std::to_string(++state.nextId);
        request.path = "/look/x";
        request.key = state.nextId % 2 == 0 ? "key-one" : "key-two";
        request.deadlineMs = 3000;
        const auto answer = co_await connection.send(request);
        state.answered += answer.status == 200 ? 1 : 0;
        const bool isInTouch = answer.sentAt > state.silencedAt + ContactTime + Margin;
        const bool isBound = state.acknowledgedAt != Clock::time_point::max() && answer.sentAt > state.acknowledgedAt + ConfigApplyTime + Margin;
        for (const auto &run : fleet.runsOf(request.id)) {
            if (!isInTouch || !isBound) {
                break;
            }
            const bool hasDroppedKey = request.key == "key-two";
            if (hasDroppedKey || run.service == "rota-app") {
                ++state.stale;
                fleet.record().note("stale " + request.id + " was run by " + run.service + (hasDroppedKey ? " with a key that was taken away" : "")
                                    + ", gateway " + std::to_string(gateway + 1) + ", sent "
                                    + std::to_string(std::chrono::duration_cast<milliseconds>(answer.sentAt - state.acknowledgedAt).count())
                                    + " ms after the acknowledgement");
            }
        }
        if (!connection.isOpen()) {
            isOpen = co_await connection.open();
        }
        co_await sleepFor(RequestInterval);
    }
}

json::object config(std::uint64_t version, const std::string &service, const std::vector<std::string> &keys)
{
    return makeConfig(version, {makeRoute("/look/", "idempotent", service, 1500)},
                      {json::object{{"name", "rota-app"}, {"max_conns", 49}}, json::object{{"name", "rota-next"}, {"max_conns", 49}}}, keys);
}

}

asio::awaitable<Verdict> silentConnections(Fleet &fleet, bool hasTrouble)
{
    fleet.store().put("config", "main", config(7, "rota-app", {"key-one", "key-two"}));
    for (const auto *zone : {"a", "b", "c"}) {
        fleet.addServer(std::string("i-app-") + zone, "rota-app", zone, 30ms).start();
        fleet.addServer(std::string("i-next-") + zone, "rota-next", zone, 30ms).start();
    }
    std::vector<std::shared_ptr<Link>> links;
    for (std::size_t number = 0; number < Gateways; ++number) {
        const auto address = fleet.endpoint(static_cast<unsigned>(number) + 201, 9300);
        links.push_back(std::make_shared<Link>(fleet.io().get_executor(), address, fleet.storeEndpoint()));
        links.back()->start();
        fleet.startGateway(number < 3 ? "a" : number < 5 ? "b" : "c", address);
    }
    const bool isReady = co_await fleet.waitUntilReady(10s);
    if (!isReady) {
        co_return Verdict::NotRun;
    }
    State state;
    for (std::size_t gateway = 0; gateway < Gateways; ++gateway) {
        asio::co_spawn(fleet.io(), runClient(fleet, state, gateway), asio::detached);
    }
    co_await sleepFor(CalmTime);
    state.silencedAt = Clock::now();
    if (hasTrouble) {
        for (std::size_t number = 0; number < Gateways; ++number) {
            const auto count = links[number]->silenceOpenConnections();
            fleet.record().note(std::to_string(count) + " open connections of gateway " + std::to_string(number + 1) + " to the store are silent from now on");
        }
    }
    const char *delay = std::getenv("ACK_MS");
    co_await sleepFor(delay ? milliseconds(std::atoi(delay)) : ContactTime + Margin);
    fleet.store().put("config", "main", config(8, "rota-next", {"key-one"}));
    state.acknowledgedAt = Clock::now();
    fleet.record().note("version 8 is acknowledged: /look/ goes to rota-next, key-two is taken away");
    co_await sleepFor(9s);
    state.isStopped = true;
    co_await sleepFor(1s);
    fleet.record().note("answered 200: " + std::to_string(state.answered) + ", handled as only version 7 allows, too late and by gateways in touch: "
                        + std::to_string(state.stale));
    if (state.answered == 0) {
        co_return Verdict::NotRun;
    }
    co_return state.stale > 0 ? Verdict::Broken : Verdict::Held;
}

}
