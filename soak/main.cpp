// Randomized fault soak: real gateway processes in front of stand-ins of the users' store and servers, with faults injected from
// outside. Exits with 0 when no guarantee was violated.

#include "soak/callers.h"
#include "soak/gateway_process.h"
#include "soak/model_servers.h"
#include "soak/object_service.h"
#include "soak/tcp_proxy.h"

#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <unistd.h>

namespace carawaypoint::soak
{

namespace
{

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using namespace std::chrono_literals;

struct Options {
    std::string binary;
    std::string workDir;
    std::uint64_t seed = 1;
    unsigned gateways = 4;
    unsigned domains = 2;
    unsigned callers = 24;
    unsigned rounds = 3;
    std::string defect = "none";
};

constexpr unsigned ServersPerDomain = 6;
constexpr auto StartDelay = 5s;
constexpr auto FaultPhaseTime = 6s;
/// All guarantees must hold again this long after the last fault.
constexpr auto RecoveryTime = 8s;
constexpr auto CalmPhaseTime = 7s; // the drain time of the gateways and a second more
constexpr std::size_t MaxStoppedGateways = 3;
constexpr auto StopInterval = 1300ms; // between the signals to gateways that are stopped in turn
constexpr auto ConfigApplyTime = 2200ms;
constexpr auto OperatorDelay = 100ms; // before the operator writes again what a restored store has lost
constexpr unsigned OtherWrites = 200;
constexpr auto CopyAge = 1500ms;
constexpr auto ContactTime = 3000ms; // after an outage of the store, until the time for a configuration to be in force counts again
constexpr double MinServedFraction = 0.95;

Defect parseDefect(const std::string &name)
{
    static const std::map<std::string, Defect> Names{{"none", Defect::None},
                                                     {"runs-twice", Defect::RunsTwice},
                                                     {"false-not-run", Defect::FalseNotRun},
                                                     {"short-stream", Defect::ShortStream},
                                                     {"early-open", Defect::EarlyOpen}};
    return Names.at(name);
}

json::object makeRoute(const std::string &prefix, const std::string &kind, const std::string &service, bool isResumable)
{
    return {{"name", prefix}, {"hostname", "soak.example"}, {"path_prefix", prefix}, {"kind", kind},    {"timeout_ms", 3500},      {"target_latency_ms", 400},
            {"priority", 1},  {"service", service},         {"max_attempts", 2},     {"public", false}, {"resumable", isResumable}};
}

json::object makeConfig(std::uint64_t version, const std::string &readService)
{
    json::object engine{{"slots", 8},
                        {"read_per_s", 50000.0},
                        {"loads_per_s", 20.0},
                        {"loads_at_once", 12},
                        {"form_ms", 60.0},
                        {"models", json::array{json::object{{"name", "small"}, {"size", 2}, {"share", 1.0}, {"pace", 1.0}, {"load_s", 0.9}, {"warm_s", 0.3}}}}};
    return {{"version", version},
            {"routes",
             json::array{makeRoute("/s/", "streaming", "drafting", true), makeRoute("/r/", "idempotent", readService, false),
                         makeRoute("/b/", "non_idempotent", "booking", false)}},
            {"services",
             json::array{json::object{{"name", "drafting"}, {"max_conns", 300}, {"engine", engine}}, json::object{{"name", "booking"}, {"max_conns", 300}},
                         json::object{{"name", "archive"}, {"max_conns", 300}}}},
            {"limits", json::object{{"max_header_bytes", 16384}, {"max_body_bytes", 65536}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}},
            {"tenants", json::array{json::object{{"name", "soak"}, {"api_keys", json::array{"soak-key"}}}}}};
}

/// Runs gateways, stand-ins, callers and faults on one thread.
class SoakRun
{
public:
    explicit SoakRun(const Options &options)
        : options_(options)
        , random_(options.seed)
        , addressPrefix_("127." + std::to_string(100 + ::getpid() % 100) + "." + std::to_string(1 + ::getpid() / 100 % 200) + ".")
        , store_(io_.get_executor(), endpointAt(250, 9100), options.seed)
        , servers_(io_.get_executor(), store_, violations_, addressPrefix_, parseDefect(options.defect))
        , callers_(io_.get_executor(), servers_, violations_, options.seed + 1)
    {
    }

    int run()
    {
        std::filesystem::create_directories(options_.workDir);
        store_.start();
        publishConfig("booking");
        addServers();
        addGateways();
        asio::co_spawn(
            io_, [this] { return servers_.heartbeat(); }, asio::detached);
        asio::co_spawn(
            io_, [this] { return runScript(); }, asio::detached);
        io_.run();
        callers_.checkRuns();
        std::cout << "seed " << options_.seed << ": " << violations_.entries().size() << " violations" << std::endl;
        return violations_.entries().empty() ? 0 : 1;
    }

private:
    tcp::endpoint endpointAt(unsigned host, std::uint16_t port) const
    {
        return {asio::ip::make_address(addressPrefix_ + std::to_string(host)), port};
    }

    void publishConfig(const std::string &readService)
    {
        configVersion_ += 1 + random_() % 5;
        configuredService_ = readService;
        store_.put("config", "main", makeConfig(configVersion_, readService));
    }

    void addServers()
    {
        const auto add = [this](const std::string &service, const std::string &domain) {
            const auto number = static_cast<unsigned>(proxies_.size() + 1);
            const auto listen = endpointAt(number, 9200);
            const auto id = servers_.addServer(service, domain, listen.address().to_string() + ":9200");
            auto proxy = std::make_shared<TcpProxy>(io_.get_executor(), listen, servers_.endpointOf(id));
            proxy->start();
            proxies_.push_back(proxy);
        };
        for (unsigned domain = 0; domain < options_.domains; ++domain) {
            for (unsigned count = 0; count < ServersPerDomain; ++count) {
                add("drafting", "d" + std::to_string(domain));
            }
        }
        for (const auto *service : {"booking", "booking", "archive", "archive"}) {
            add(service, "");
        }
    }

    void addGateways()
    {
        for (unsigned number = 0; number < options_.gateways; ++number) {
            const auto host = 150 + number;
            auto proxy = std::make_shared<TcpProxy>(io_.get_executor(), endpointAt(host, 9300), endpointAt(250, 9100));
            proxy->start();
            storeProxies_.push_back(proxy);
            const auto address = addressPrefix_ + std::to_string(host);
            const auto path = options_.workDir + "/gateway-" + std::to_string(number);
            std::ofstream(path + ".ini") << "[process]\nid = gateway-" << number << "\nzone = a\n[listen]\ncallers = " << address
                                         << ":8000\nreadiness = " << address << ":8001\nmetrics = " << address << ":8002\npeer = " << address
                                         << ":8003\nchanges = " << address << ":8004\n[store]\naddress = " << address
                                         << ":9300\n[serving]\ndrain_time = 6s\nstall_time = 2s\nretry_slack = 400\n";
            gateways_.push_back(std::make_unique<GatewayProcess>(options_.binary, path + ".ini", path + ".log"));
            gateways_.back()->start();
            callers_.addGateway(endpointAt(host, 8000));
        }
    }

    asio::awaitable<void> runScript()
    {
        co_await standins::sleepFor(StartDelay);
        callers_.start(options_.callers);
        for (unsigned round = 0; round < options_.rounds; ++round) {
            co_await injectFaults();
            co_await standins::sleepFor(RecoveryTime);
            co_await runCalmPhase(round);
        }
        callers_.stop();
        co_await standins::sleepFor(1s);
        io_.stop();
    }

    /// Starts overlapping faults at random moments for FaultPhaseTime. Each lasts at most 3.3 s.
    asio::awaitable<void> injectFaults()
    {
        const auto end = std::chrono::steady_clock::now() + FaultPhaseTime;
        while (std::chrono::steady_clock::now() < end) {
            asio::co_spawn(
                io_, [this] { return injectRandomFault(); }, asio::detached);
            co_await standins::sleepFor(std::chrono::milliseconds(150 + random_() % 700));
            restartEndedGateways();
        }
    }

    asio::awaitable<void> injectRandomFault()
    {
        using Action = asio::awaitable<void> (SoakRun::*)(std::chrono::milliseconds);
        static constexpr Action Actions[] = {&SoakRun::killGateway,           &SoakRun::pauseGateway,         &SoakRun::stopGateway,
                                             &SoakRun::reloadGateway,         &SoakRun::injectStoreFault,     &SoakRun::injectServerLinkFault,
                                             &SoakRun::injectServerLinkFault, &SoakRun::injectStoreLinkFault, &SoakRun::makeServerUnreachable,
                                             &SoakRun::makeServerUnreachable, &SoakRun::drainServer,          &SoakRun::expireServerRegistration,
                                             &SoakRun::changeConfig,          &SoakRun::forgetHistory,        &SoakRun::restoreStore};
        const std::chrono::milliseconds duration(300 + random_() % 3000);
        const auto action = Actions[random_() % std::size(Actions)];
        co_await (this->*action)(duration);
    }

    GatewayProcess &randomGateway()
    {
        return *gateways_[random_() % gateways_.size()];
    }

    asio::awaitable<void> killGateway(std::chrono::milliseconds)
    {
        randomGateway().sendSignal(SIGKILL);
        co_return;
    }

    asio::awaitable<void> pauseGateway(std::chrono::milliseconds duration)
    {
        auto &gateway = randomGateway();
        gateway.sendSignal(SIGSTOP);
        co_await standins::sleepFor(duration);
        gateway.sendSignal(SIGCONT);
    }

    asio::awaitable<void> stopGateway(std::chrono::milliseconds)
    {
        auto &gateway = randomGateway();
        // SIGTERM before the process has installed its handlers ends it by the default action, which would count as a crash.
        if (!gateway.wasJustStarted()) {
            gateway.sendSignal(SIGTERM);
        }
        co_return;
    }

    asio::awaitable<void> reloadGateway(std::chrono::milliseconds)
    {
        auto &gateway = randomGateway();
        if (!gateway.wasJustStarted()) {
            gateway.sendSignal(SIGHUP);
        }
        co_return;
    }

    asio::awaitable<void> injectStoreFault(std::chrono::milliseconds duration)
    {
        static constexpr StoreFault Faults[] = {StoreFault::Busy, StoreFault::NoAnswer, StoreFault::LosesAnswers, StoreFault::Slow};
        store_.setFault(Faults[random_() % std::size(Faults)]);
        co_await standins::sleepFor(duration);
        store_.setFault(StoreFault::None);
    }

    asio::awaitable<void> injectServerLinkFault(std::chrono::milliseconds duration)
    {
        return injectLinkFault(proxies_[random_() % proxies_.size()], duration);
    }

    asio::awaitable<void> injectStoreLinkFault(std::chrono::milliseconds duration)
    {
        return injectLinkFault(storeProxies_[random_() % storeProxies_.size()], duration);
    }

    asio::awaitable<void> injectLinkFault(std::shared_ptr<TcpProxy> proxy, std::chrono::milliseconds duration)
    {
        static constexpr LinkFault Faults[] = {LinkFault::Delay, LinkFault::Reset, LinkFault::DropForward, LinkFault::DropAll};
        proxy->setFault(Faults[random_() % std::size(Faults)]);
        co_await standins::sleepFor(duration);
        // Data that was dropped during the fault stays lost on open connections; new ones work.
        proxy->setFault(LinkFault::None);
    }

    std::string randomModelServer()
    {
        const auto ids = servers_.serverIds("drafting");
        return ids[random_() % ids.size()];
    }

    asio::awaitable<void> makeServerUnreachable(std::chrono::milliseconds duration)
    {
        const auto id = randomModelServer();
        servers_.setUnreachable(id);
        co_await standins::sleepFor(duration);
        servers_.restart(id);
    }

    asio::awaitable<void> drainServer(std::chrono::milliseconds duration)
    {
        const auto id = randomModelServer();
        servers_.setDraining(id, true);
        co_await standins::sleepFor(duration);
        servers_.setDraining(id, false);
    }

    asio::awaitable<void> expireServerRegistration(std::chrono::milliseconds duration)
    {
        const auto id = randomModelServer();
        servers_.setIsolatedFromStore(id, true);
        co_await standins::sleepFor(duration);
        servers_.setIsolatedFromStore(id, false);
    }

    asio::awaitable<void> changeConfig(std::chrono::milliseconds)
    {
        publishConfig(random_() % 2 == 0 ? "booking" : "archive");
        co_return;
    }

    asio::awaitable<void> forgetHistory(std::chrono::milliseconds)
    {
        store_.forgetHistory();
        co_return;
    }

    /// Writes of others, so that the store passes the revisions that are watched from.
    void makeOtherWrites()
    {
        for (unsigned write = 0; write < OtherWrites; ++write) {
            store_.put("others", "writer", ++lastOtherWrite_);
        }
    }

    /// The store is away for a moment and comes back as it was @p age ago.
    asio::awaitable<void> goBack(std::chrono::milliseconds age)
    {
        const auto copy = store_.copy();
        makeOtherWrites();
        co_await standins::sleepFor(age);
        store_.setFault(StoreFault::Away);
        co_await standins::sleepFor(std::chrono::milliseconds(random_() % 500));
        store_.restore(*copy);
        store_.setFault(StoreFault::None);
    }

    /// The servers and, after a while, the operator write again what the restored store has lost.
    asio::awaitable<void> restoreStore(std::chrono::milliseconds age)
    {
        co_await goBack(age);
        if (random_() % 2 == 0) {
            makeOtherWrites();
        }
        co_await standins::sleepFor(OperatorDelay);
        store_.put("config", "main", makeConfig(configVersion_, configuredService_));
    }

    /// Publishes a configuration right after the store went back, at a revision below those that gateways have seen.
    asio::awaitable<void> publishConfigAfterRestoration(const std::string &service)
    {
        co_await goBack(CopyAge);
        publishConfig(service);
        makeOtherWrites();
        makeOtherWrites();
        co_await standins::sleepFor(ContactTime);
    }

    void restartEndedGateways()
    {
        int status = 0;
        for (auto &gateway : gateways_) {
            const bool wasRunning = gateway->isRunning();
            if (!gateway->hasEnded(status)) {
                continue;
            }
            const bool isKill = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
            const bool isPlanned = WIFEXITED(status) && WEXITSTATUS(status) == 0;
            if (wasRunning && !isKill && !isPlanned) {
                violations_.add("processes do not end by themselves", "status " + std::to_string(status));
            }
            gateway->start();
        }
    }

    /// Stops gateways in turn, so that the stops overlap. Callers use them until they no longer accept connections.
    asio::awaitable<void> stopGatewaysInSeries()
    {
        const std::size_t count = std::clamp<std::size_t>(gateways_.size() / 2, 1, MaxStoppedGateways);
        const auto first = random_();
        for (std::size_t number = 0; number < count; ++number) {
            gateways_[(first + number) % gateways_.size()]->sendSignal(SIGTERM);
            co_await standins::sleepFor(StopInterval);
        }
        co_await standins::sleepFor(CalmPhaseTime);
    }

    /// Checks, without faults, that nearly all requests are served, that a configuration change is in force in time, and that
    /// planned stops interrupt no request.
    asio::awaitable<void> runCalmPhase(unsigned round)
    {
        restartEndedGateways();
        co_await standins::sleepFor(RecoveryTime / 2);
        restartEndedGateways();
        const std::string service = round % 2 == 0 ? "archive" : "booking";
        if (random_() % 2 == 0) {
            co_await publishConfigAfterRestoration(service);
        } else {
            publishConfig(service);
            co_await standins::sleepFor(ConfigApplyTime);
        }
        callers_.takeCounts();
        callers_.expectReadService(service);
        callers_.expectNoInterruptions(true);
        co_await stopGatewaysInSeries();
        callers_.expectNoInterruptions(false);
        callers_.expectReadService("");
        const auto counts = callers_.takeCounts();
        std::cout << "calm " << round << ": sent " << counts.sent << ", served " << counts.served << ", refused " << counts.refused << ", failed "
                  << counts.failed << ", open replicas " << servers_.openReplicas() << std::endl;
        const double answered = counts.served + counts.refused + counts.failed;
        if (answered == 0 || counts.served < MinServedFraction * answered) {
            violations_.add("service returns after faults", "only " + std::to_string(counts.served) + " of " + std::to_string(counts.sent) + " were served");
        }
        co_await standins::sleepFor(4s);
        restartEndedGateways();
    }

    Options options_;
    std::mt19937_64 random_;
    std::string addressPrefix_;
    asio::io_context io_{1};
    Violations violations_;
    ObjectService store_;
    ModelServers servers_;
    Callers callers_;
    std::vector<std::shared_ptr<TcpProxy>> proxies_; // in front of each server
    std::vector<std::shared_ptr<TcpProxy>> storeProxies_; // between each gateway and the store
    std::vector<std::unique_ptr<GatewayProcess>> gateways_;
    std::uint64_t configVersion_ = 0;
    std::uint64_t lastOtherWrite_ = 0;
    std::string configuredService_; // that the read route of the newest configuration names
};

}

}

int main(int argc, char **argv)
{
    carawaypoint::soak::Options options;
    CLI::App app("Randomized fault soak of the gateway");
    app.add_option("--binary", options.binary, "carawaypoint program")->required();
    app.add_option("--work-dir", options.workDir, "directory for settings and logs")->required();
    app.add_option("--seed", options.seed, "seed of faults and callers");
    app.add_option("--gateways", options.gateways, "gateway processes")->check(CLI::Range(1, 90));
    app.add_option("--domains", options.domains, "fabric domains of six servers each")->check(CLI::Range(1, 20));
    app.add_option("--callers", options.callers, "callers with persistent connections")->check(CLI::Range(1, 2000));
    app.add_option("--rounds", options.rounds, "rounds of faults and calm")->check(CLI::Range(1, 1000));
    app.add_option("--defect", options.defect, "defect injected into the servers: none, runs-twice, false-not-run, short-stream, early-open");
    CLI11_PARSE(app, argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    return carawaypoint::soak::SoakRun(options).run();
}
