// Case: two of the three gateways of a zone are stopped by SIGTERM, one shortly after the other, while clients open new connections.
#include "fleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <csignal>
#include <random>

namespace review
{

namespace
{

using namespace std::chrono_literals;

constexpr std::size_t Gateways = 3; // those of one zone
constexpr unsigned Servers = 3;
constexpr auto CalmTime = 3s;
/// Pause between the two signals, as in the site's roll_term.
constexpr auto StopGap = 1300ms;
/// Bounds of the site.
constexpr auto GraceTime = 8000ms;
constexpr auto CountedAfter = 3000ms; // a request that was sent sooner after the signal isn't counted if its runner is still at work
/// Longest stream of the site: 77 events of 6 tokens, 9 ms a token.
constexpr unsigned Events = 77;
constexpr auto EventInterval = 54ms;
constexpr auto RequestInterval = 25ms;

/// The platform's balancer for one zone: asks each gateway once a second whether it is ready, takes it out after two misses, and uses all
/// while fewer than half are in.
struct Balancer {
    std::vector<unsigned> misses = std::vector<unsigned>(Gateways, 0);
    std::mt19937 random{7};

    std::size_t choose()
    {
        std::vector<std::size_t> in;
        for (std::size_t number = 0; number < Gateways; ++number) {
            if (misses[number] < 2) {
                in.push_back(number);
            }
        }
        if (2 * in.size() < Gateways) {
            return random() % Gateways;
        }
        return in[random() % in.size()];
    }
};

struct State {
    bool isStopped = false;
    unsigned nextId = 0;
    unsigned complete = 0;
    unsigned lost = 0;
    Balancer balancer;
    std::vector<Clock::time_point> stoppedAt = std::vector<Clock::time_point>(Gateways, Clock::time_point::max());
};

asio::awaitable<void> checkReadiness(Fleet &fleet, State &state, std::size_t number)
{
    while (!state.isStopped) {
        const bool isReady = co_await fleet.isReady(number);
        auto &misses = state.balancer.misses[number];
        misses = isReady ? 0 : misses + 1;
        if (misses == 2) {
            fleet.record().note("the balancer takes gateway " + std::to_string(number + 1) + " out");
        }
        co_await sleepFor(1s);
    }
}

asio::awaitable<void> sendOne(Fleet &fleet, State &state)
{
    const auto number = state.balancer.choose();
    ClientConnection connection(fleet, fleet.callersOf(number));
    const bool isOpen = co_await connection.open();
    if (!isOpen) {
        co_return;
    }
    Request request;
    request.id = "q" + std::to_string(++state.nextId);
    request.path = "/draft/x";
    const auto answer = co_await connection.send(request);
    state.complete += answer.isComplete && answer.status == 200 ? 1 : 0;
    const auto signal = state.stoppedAt[number];
    const bool isCounted = signal != Clock::time_point::max() && answer.sentAt > signal + CountedAfter && answer.endedAt < signal + GraceTime;
    if (isCounted && !answer.isComplete && !fleet.runsOf(request.id).empty()) {
        ++state.lost;
        const auto ms = [signal](Clock::time_point time) {
            return std::to_string(std::chrono::duration_cast<milliseconds>(time - signal).count());
        };
        fleet.record().note("lost  " + request.id + ": sent to gateway " + std::to_string(number + 1) + " " + ms(answer.sentAt)
                            + " ms after its SIGTERM, run by a server, connection ended " + ms(answer.endedAt) + " ms after it in the middle of the answer");
    }
}

}

asio::awaitable<Verdict> requestDuringStop(Fleet &fleet, bool hasTrouble)
{
    fleet.store().put(
        "config", "main",
        makeConfig(7, {makeRoute("/draft/", "streaming", "assistant", 8000, true)}, {json::object{{"name", "assistant"}, {"max_conns", 324}}}, {"key-one"}));
    for (unsigned number = 0; number < Servers; ++number) {
        auto &server = fleet.addServer("i-" + std::to_string(number + 1), "assistant", "a", 0ms, 100);
        server.stream(Events, EventInterval);
        server.start();
    }
    for (std::size_t number = 0; number < Gateways; ++number) {
        fleet.startGateway("a", fleet.storeEndpoint());
    }
    const bool isReady = co_await fleet.waitUntilReady(10s);
    if (!isReady) {
        co_return Verdict::NotRun;
    }
    State state;
    for (std::size_t number = 0; number < Gateways; ++number) {
        asio::co_spawn(fleet.io(), checkReadiness(fleet, state, number), asio::detached);
    }
    const auto start = Clock::now();
    const auto end = start + 20s;
    bool isFirstStopped = false;
    bool isSecondStopped = false;
    while (Clock::now() < end) {
        asio::co_spawn(fleet.io(), sendOne(fleet, state), asio::detached);
        co_await sleepFor(RequestInterval);
        const auto elapsed = Clock::now() - start;
        const auto stopGateway = [&](std::size_t number) {
            fleet.gateway(number).sendSignal(SIGTERM);
            state.stoppedAt[number] = Clock::now();
            fleet.record().note("SIGTERM for gateway " + std::to_string(number + 1));
        };
        if (hasTrouble && elapsed >= CalmTime && !std::exchange(isFirstStopped, true)) {
            stopGateway(0);
        }
        if (hasTrouble && elapsed >= CalmTime + StopGap && !std::exchange(isSecondStopped, true)) {
            stopGateway(1);
        }
    }
    co_await sleepFor(9s);
    state.isStopped = true;
    co_await sleepFor(2s);
    fleet.record().note("sent " + std::to_string(state.nextId) + ", complete " + std::to_string(state.complete)
                        + ", sent more than 3 s after a SIGTERM, run and cut before the grace time was over: " + std::to_string(state.lost));
    if (state.complete == 0) {
        co_return Verdict::NotRun;
    }
    co_return state.lost > 0 ? Verdict::Broken : Verdict::Held;
}

}
