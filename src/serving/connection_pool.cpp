#include "serving/connection_pool.h"

#include <algorithm>

namespace carawaypoint
{

ConnectionPool::ConnectionPool(asio::io_context &io, const FrontEndSettings &settings, const Clock &clock)
    : io_(io)
    , settings_(settings)
    , clock_(clock)
{
}

bool ConnectionPool::isUsable(const IdleConnection &idle) const
{
    const auto now = clock_.now();
    return now - idle.upstream.connectedAt < settings_.upstreamMaxAge && now - idle.idleSince < settings_.upstreamIdleTimeout
        && !idle.upstream.connection->hasInput();
}

UpstreamConnection ConnectionPool::takeIdle(const Endpoint &server)
{
    const auto found = idle_.find(server);
    if (found == idle_.end()) {
        return {};
    }
    auto &list = found->second;
    while (!list.empty()) {
        auto idle = std::move(list.back());
        list.pop_back();
        if (isUsable(idle)) {
            idle.upstream.isReused = true;
            return idle.upstream;
        }
    }
    idle_.erase(found);
    return {};
}

asio::awaitable<UpstreamConnection> ConnectionPool::connect(Endpoint server)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(server.address, error);
    if (error) {
        co_return UpstreamConnection{};
    }
    const auto connection = std::make_shared<Connection>(asio::ip::tcp::socket(io_));
    connection->limit(settings_.connectTimeout);
    std::tie(error) = co_await connection->socket().async_connect({address, server.port}, UseResult);
    if (error) {
        connection->close();
        co_return UpstreamConnection{};
    }
    connection->unlimit();
    boost::system::error_code ignored;
    connection->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    connection->setUserTimeout(settings_.tcpUserTimeout);
    co_return UpstreamConnection{connection, clock_.now(), false};
}

void ConnectionPool::release(const Endpoint &server, UpstreamConnection upstream)
{
    // Bytes after the end of the answer would be parsed as the answer to the next request.
    if (upstream.connection->buffer().size() != 0 || upstream.connection->isInterrupted()) {
        return;
    }
    upstream.connection->unlimit();
    auto &list = idle_[server];
    list.push_back({std::move(upstream), clock_.now()});
    if (list.size() > settings_.upstreamMaxIdleCount) {
        list.pop_front();
    }
}

void ConnectionPool::purge(const Endpoint &server)
{
    idle_.erase(server);
}

void ConnectionPool::sweep()
{
    for (auto entry = idle_.begin(); entry != idle_.end();) {
        std::erase_if(entry->second, [this](const IdleConnection &idle) { return !isUsable(idle); });
        entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
    }
}

}
