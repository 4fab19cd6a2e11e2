#include "gateway/server_links.h"

#include "observe/log.h"
#include "observe/metrics.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>

namespace carawaypoint
{

namespace
{

/// A server that can be reached accepts within milliseconds.
constexpr Duration CheckTimeout = milliseconds(350);

/// Outcome of connections to several servers that are opened at the same time.
struct Attempts {
    explicit Attempts(const asio::any_io_executor &executor)
        : ended(executor)
    {
    }
    std::size_t left = 0;
    bool hasSucceeded = false;
    asio::steady_timer ended; // cancelled when the outcome is known
};

asio::awaitable<void> attemptConnect(ServerConnector &connector, ServingTarget target, std::shared_ptr<Attempts> attempts)
{
    BackendLink link;
    const auto error = co_await connector.connect(target, CheckTimeout, link);
    if (!error) {
        link.connection->close();
    }
    attempts->hasSucceeded = attempts->hasSucceeded || !error;
    --attempts->left;
    if (attempts->hasSucceeded || attempts->left == 0) {
        attempts->ended.cancel();
    }
}

std::string_view linkCheckResultName(LinkCheckResult result)
{
    switch (result) {
    case LinkCheckResult::Sound:
        return "sound";
    case LinkCheckResult::Lost:
        return "lost";
    default:
        return "unknown";
    }
}

/// One server of each availability zone, chosen at random.
std::vector<ServingTarget> chooseServers(const FleetSnapshot &snapshot, std::mt19937_64 &random)
{
    auto targets = snapshot.allTargets();
    std::shuffle(targets.begin(), targets.end(), random);
    std::set<ZoneId> zones;
    std::erase_if(targets, [&zones](const ServingTarget &target) { return !zones.insert(target.zone).second; });
    return targets;
}

}

void ServerLinks::tick(asio::io_context &io, const FleetSnapshotPtr &snapshot)
{
    const auto now = clock_.now();
    if (!snapshot || !proxies_.hasPeers() || !monitor_.isCheckDue(now)) {
        return;
    }
    auto targets = chooseServers(*snapshot, random_);
    if (targets.empty()) {
        return;
    }
    monitor_.recordCheckStart(now);
    asio::co_spawn(io, check(std::move(targets)), asio::detached);
}

asio::awaitable<bool> ServerLinks::canReachAny(ServerConnector &connector, const std::vector<ServingTarget> &targets)
{
    const auto executor = co_await asio::this_coro::executor;
    auto attempts = std::make_shared<Attempts>(executor);
    attempts->left = targets.size();
    attempts->ended.expires_after(2 * CheckTimeout); // cancelled before
    for (const auto &target : targets) {
        asio::co_spawn(executor, attemptConnect(connector, target, attempts), asio::detached);
    }
    co_await attempts->ended.async_wait(UseResult);
    co_return attempts->hasSucceeded;
}

asio::awaitable<void> ServerLinks::check(std::vector<ServingTarget> targets)
{
    auto result = LinkCheckResult::Sound;
    bool isReached = co_await canReachAny(*direct_, targets);
    if (!isReached) {
        result = LinkCheckResult::Lost;
    }
    // Other gateways were asked when the cut began.
    if (!isReached && !monitor_.isCutOff()) {
        isReached = co_await canReachAny(proxies_, targets);
        result = isReached ? LinkCheckResult::Lost : LinkCheckResult::Unknown;
    }
    logLine(LogLevel::Info, "server links checked",
            {{"servers", static_cast<std::uint64_t>(targets.size())}, {"result", linkCheckResultName(result)}, {"was_cut_off", monitor_.isCutOff()}});
    const bool wasCutOff = monitor_.isCutOff();
    const bool isChanged = monitor_.recordCheckResult(result, clock_.now());
    if (!isChanged) {
        co_return;
    }
    metricsRegistry().set(GaugeMetric::ServerLinksLost, {}, monitor_.isCutOff() ? 1 : 0);
    logDecision("routing", "server links", wasCutOff ? "direct" : "proxied",
                wasCutOff ? "a server accepts connections from this gateway again" : "no server accepts connections from this gateway, others reach some",
                {{"servers", static_cast<std::uint64_t>(targets.size())}});
    if (onChange_) {
        onChange_(monitor_.isCutOff());
    }
}

asio::awaitable<std::error_code> ServerLinks::connect(const ServingTarget &target, Duration timeout, BackendLink &link)
{
    if (monitor_.isCutOff()) {
        co_return co_await proxies_.connect(target, timeout, link);
    }
    const auto error = co_await direct_->connect(target, timeout, link);
    monitor_.recordConnect(!error);
    co_return error;
}

asio::awaitable<std::error_code> ServerLinks::probe(const ServingTarget &target, Duration timeout, BackendLink &link)
{
    auto error = co_await connect(target, timeout, link);
    if (error && !monitor_.isCutOff() && proxies_.hasPeers()) {
        error = co_await proxies_.connect(target, timeout, link);
    }
    co_return error;
}

}
