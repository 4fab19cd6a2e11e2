#include "gateway/backend_connection_pool.h"

#include <utility>

namespace carawaypoint
{

namespace
{

constexpr std::size_t MaxIdlePerServer = 32;

}

BackendConnectionPool::BackendConnectionPool(const Clock &clock, ServerConnector &connector)
    : clock_(clock)
    , connector_(connector)
{
}

std::optional<BackendLink> BackendConnectionPool::takeIdle(const ServingTarget &target)
{
    const auto found = idle_.find(target.server);
    if (found == idle_.end()) {
        return std::nullopt;
    }
    auto &kept = found->second;
    while (!kept.empty()) {
        auto last = std::move(kept.back());
        kept.pop_back();
        const bool isUsable = last.expiresAt > clock_.now() && last.link.serverStartedAt == target.startedAt && !last.link.connection->hasInput();
        if (isUsable) {
            return std::move(last.link);
        }
        last.link.connection->close();
    }
    return std::nullopt;
}

asio::awaitable<std::error_code> BackendConnectionPool::acquire(const ServingTarget &target, Duration timeout, BackendLink &link)
{
    if (auto idle = takeIdle(target)) {
        link = *std::move(idle);
        link.isReused = true;
        link.isLost = false;
        co_return std::error_code{};
    }
    link.server = target.server;
    link.serverStartedAt = target.startedAt;
    link.isReused = false;
    co_return co_await connector_.connect(target, timeout, link);
}

void BackendConnectionPool::release(BackendLink link, Duration keepAlive)
{
    auto &kept = idle_[link.server];
    if (kept.size() >= MaxIdlePerServer) {
        link.connection->close();
        return;
    }
    kept.push_back({std::move(link), clock_.now() + keepAlive});
}

std::vector<VmId> BackendConnectionPool::connectedServers() const
{
    std::vector<VmId> servers;
    for (const auto &[server, kept] : idle_) {
        if (!kept.empty() && kept.back().expiresAt > clock_.now()) {
            servers.push_back(server);
        }
    }
    return servers;
}

void BackendConnectionPool::closeIdle(const VmId &server)
{
    const auto found = idle_.find(server);
    if (found == idle_.end()) {
        return;
    }
    for (const auto &idle : found->second) {
        idle.link.connection->close();
    }
    idle_.erase(found);
}

void BackendConnectionPool::closeAllIdle()
{
    for (const auto &[server, kept] : std::exchange(idle_, {})) {
        for (const auto &idle : kept) {
            idle.link.connection->close();
        }
    }
}

void BackendConnectionPool::closeExpired()
{
    const auto now = clock_.now();
    for (auto &[server, kept] : idle_) {
        std::erase_if(kept, [now](const Idle &idle) {
            const bool isExpired = idle.expiresAt <= now;
            if (isExpired) {
                idle.link.connection->close();
            }
            return isExpired;
        });
    }
    std::erase_if(idle_, [](const auto &entry) { return entry.second.empty(); });
}

}
