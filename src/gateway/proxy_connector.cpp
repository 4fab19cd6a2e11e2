#include "gateway/proxy_connector.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace carawaypoint
{

namespace http = boost::beast::http;

namespace
{

constexpr std::size_t MaxProxies = 3; // that are asked for one connection
/// A gateway accepts within milliseconds, unless it is gone or cut off.
constexpr Duration ProxyTimeout = milliseconds(250);
/// A gateway through which a connection failed is tried after the others for this long.
constexpr Duration FailureMemory = seconds(2);

std::error_code errorOf(unsigned status)
{
    switch (status) {
    case 200:
        return {};
    case 502:
        return std::make_error_code(std::errc::connection_refused);
    case 504:
        return std::make_error_code(std::errc::timed_out);
    default:
        return std::make_error_code(std::errc::host_unreachable);
    }
}

/// Asks the gateway at the other end of @p connection to connect to @p server.
asio::awaitable<std::error_code> requestTunnel(Connection &connection, const Endpoint &server, Duration timeout)
{
    http::request<http::empty_body> request(http::verb::connect, server.toString(), 11);
    request.set(http::field::host, server.toString());
    connection.limit(timeout);
    auto [error, count] = co_await http::async_write(connection.socket(), request, UseResult);
    http::response_parser<http::empty_body> response;
    response.skip(true);
    if (!error) {
        std::tie(error, count) = co_await http::async_read_header(connection.socket(), connection.buffer(), response, UseResult);
    }
    connection.unlimit();
    if (error) {
        co_return connection.isTimedOut() ? std::make_error_code(std::errc::timed_out) : std::make_error_code(std::errc::connection_reset);
    }
    co_return errorOf(response.get().result_int());
}

}

void ProxyConnector::setPeers(std::span<const PeerGateway> peers, const ZoneId &ownZone)
{
    peers_.assign(peers.begin(), peers.end());
    ownZone_ = ownZone;
}

/// The gateways to ask, in order: those that worked before those that failed recently, then those near to the server or to this gateway.
std::vector<PeerGateway> ProxyConnector::candidates(const ServingTarget &target)
{
    std::erase_if(failedAt_, [now = clock_.now()](const auto &entry) { return now - entry.second >= FailureMemory; });
    auto ordered = peers_;
    std::shuffle(ordered.begin(), ordered.end(), random_);
    const auto cost = [&](const PeerGateway &peer) {
        const unsigned distance = peer.zone == target.zone ? 0U : peer.zone == ownZone_ ? 1U : 2U;
        return (failedAt_.contains(peer.id) ? 3U : 0U) + distance;
    };
    std::stable_sort(ordered.begin(), ordered.end(), [&](const PeerGateway &left, const PeerGateway &right) { return cost(left) < cost(right); });
    ordered.resize(std::min(ordered.size(), MaxProxies));
    return ordered;
}

asio::awaitable<std::error_code> ProxyConnector::connect(const ServingTarget &target, Duration timeout, BackendLink &link)
{
    const auto end = clock_.now() + timeout;
    auto error = std::make_error_code(std::errc::host_unreachable);
    for (const auto &peer : candidates(target)) {
        const auto left = end - clock_.now();
        if (left <= Duration{}) {
            break;
        }
        link.isProxied = true;
        error = co_await openConnection(peer.address, std::min(left, ProxyTimeout), link.connection);
        if (!error) {
            error = co_await requestTunnel(*link.connection, target.address, std::min(left, ProxyTimeout));
        }
        if (!error) {
            failedAt_.erase(peer.id);
            co_return error;
        }
        if (link.connection) {
            link.connection->close();
            link.connection = nullptr;
        }
        // Otherwise the gateway works and has not reached the server.
        if (error != std::errc::connection_refused) {
            failedAt_[peer.id] = clock_.now();
        }
    }
    co_return error;
}

}
