#include "gateway/backend_connection_pool.h"

#include <boost/asio/this_coro.hpp>

namespace carawaypoint
{

namespace
{

/// A server that does not acknowledge data for this long counts as unreachable.
constexpr Duration UserTimeout = seconds(3);
constexpr std::size_t MaxIdlePerServer = 32;
/// Received bytes that the parser of a response has not consumed yet. Exceeds the longest header; a chunk header or trailers without end
/// would otherwise use memory without limit.
constexpr std::size_t MaxUnparsedBytes = std::size_t{64} * 1024;

}

BackendConnectionPool::BackendConnectionPool(const Clock &clock)
    : clock_(clock)
{
}

ConnectionPtr BackendConnectionPool::takeIdle(const ServingTarget &target)
{
    const auto found = idle_.find(target.server);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto &kept = found->second;
    while (!kept.empty()) {
        auto last = std::move(kept.back());
        kept.pop_back();
        const bool isUsable = last.expiresAt > clock_.now() && last.link.serverStartedAt == target.startedAt && !last.link.connection->hasInput();
        if (isUsable) {
            return last.link.connection;
        }
        last.link.connection->close();
    }
    return nullptr;
}

asio::awaitable<std::error_code> BackendConnectionPool::acquire(const ServingTarget &target, Duration timeout, BackendLink &link)
{
    link.server = target.server;
    link.serverStartedAt = target.startedAt;
    link.connection = takeIdle(target);
    link.isReused = link.connection != nullptr;
    if (link.isReused) {
        co_return std::error_code{};
    }
    co_return co_await connect(target, timeout, link);
}

asio::awaitable<std::error_code> BackendConnectionPool::connect(const ServingTarget &target, Duration timeout, BackendLink &link)
{
    link.server = target.server;
    link.serverStartedAt = target.startedAt;
    link.connection = nullptr;
    link.isReused = false;
    boost::system::error_code error;
    const auto address = asio::ip::make_address(target.address.address, error);
    if (error) {
        co_return std::make_error_code(std::errc::invalid_argument);
    }
    const auto executor = co_await asio::this_coro::executor;
    auto connection = std::make_shared<Connection>(asio::ip::tcp::socket(executor));
    connection->buffer().max_size(MaxUnparsedBytes);
    const asio::ip::tcp::endpoint endpoint(address, target.address.port);
    connection->limit(timeout);
    const auto [failure] = co_await connection->socket().async_connect(endpoint, UseResult);
    connection->unlimit();
    if (failure) {
        const bool isTimedOut = connection->isTimedOut();
        connection->close();
        co_return isTimedOut ? std::make_error_code(std::errc::timed_out) : std::error_code(failure);
    }
    connection->socket().set_option(asio::ip::tcp::no_delay(true), error);
    connection->setUserTimeout(UserTimeout);
    link.connection = std::move(connection);
    co_return std::error_code{};
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
