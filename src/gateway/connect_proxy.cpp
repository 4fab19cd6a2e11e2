#include "gateway/connect_proxy.h"

#include "observe/log.h"
#include "observe/metrics.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <exception>
#include <string>

namespace carawaypoint
{

namespace http = boost::beast::http;

namespace
{

constexpr int Backlog = 256;
/// Share of the descriptors for connections of other gateways; each needs a second one for its server.
constexpr double DescriptorShare = 0.1;
/// Time for the request of a gateway, and for the connection to its server. The gateway waits for a little longer than the latter.
constexpr Duration RequestTimeout = seconds(1);
constexpr Duration ConnectTimeout = milliseconds(200);
/// A connection without bytes for this long is closed; gateways keep idle connections for seconds.
constexpr Duration IdleTimeout = minutes(2);
/// An answer that pauses for longer than this counts as complete when the gateway stops.
constexpr Duration AnswerPause = seconds(2);
/// Time for the other gateway to close its side after the server has closed its own.
constexpr Duration CloseTimeout = seconds(5);
/// Delay after a failed accept, for example when no descriptors are free.
constexpr Duration AcceptRetryDelay = milliseconds(50);
constexpr std::size_t BufferBytes = std::size_t{16} * 1024;

unsigned statusOf(std::error_code error)
{
    if (!error) {
        return 200;
    }
    return error == std::errc::timed_out ? 504 : 502;
}

/// Copies what @p from receives to @p to until either fails. @p onBytes is called for each piece.
template<typename OnBytes>
asio::awaitable<void> copyBytes(Connection &from, Connection &to, OnBytes onBytes)
{
    std::array<char, BufferBytes> space{};
    while (true) {
        const auto [readError, count] = co_await from.socket().async_read_some(asio::buffer(space), UseResult);
        if (readError) {
            co_return;
        }
        onBytes();
        const auto [writeError, written] = co_await asio::async_write(to.socket(), asio::buffer(space.data(), count), UseResult);
        if (writeError) {
            co_return;
        }
    }
}

}

/// A connection of another gateway and the one to its server.
struct ConnectProxy::Tunnel {
    explicit Tunnel(ConnectionPtr accepted)
        : gateway(std::move(accepted))
    {
    }

    ConnectionPtr gateway;
    BackendLink server;
    TimePoint lastBytesAt{};
    bool isRequestLast = false; // the last bytes were part of a request
};

ConnectProxy::ConnectProxy(GatewayContext &context)
    : context_(context)
    , acceptor_(context.io)
    , maxTunnels_(static_cast<std::size_t>(context.settings.maxDescriptors * DescriptorShare / 2))
{
}

std::error_code ConnectProxy::listen(const Endpoint &endpoint)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (!error) {
        acceptor_.open(asio::ip::tcp::v4(), error);
    }
    if (!error) {
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
        acceptor_.bind({address, endpoint.port}, error);
    }
    if (!error) {
        acceptor_.listen(Backlog, error);
    }
    if (!error) {
        asio::co_spawn(context_.io, acceptAll(), asio::detached);
    }
    return error;
}

Endpoint ConnectProxy::localEndpoint() const
{
    const auto endpoint = acceptor_.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
}

void ConnectProxy::drain()
{
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

bool ConnectProxy::isBusy() const
{
    const auto now = context_.now();
    return std::any_of(tunnels_.begin(), tunnels_.end(), [now](const TunnelPtr &tunnel) {
        return tunnel->server.connection && (tunnel->isRequestLast || now - tunnel->lastBytesAt < AnswerPause);
    });
}

asio::awaitable<void> ConnectProxy::acceptAll()
{
    while (acceptor_.is_open()) {
        auto [error, socket] = co_await acceptor_.async_accept(UseResult);
        if (error == asio::error::operation_aborted || error == asio::error::bad_descriptor) {
            break;
        }
        if (error) {
            asio::steady_timer pause(context_.io, AcceptRetryDelay);
            co_await pause.async_wait(UseResult);
            continue;
        }
        if (tunnels_.size() >= maxTunnels_) {
            continue; // the other gateway asks a further one
        }
        auto tunnel = std::make_shared<Tunnel>(std::make_shared<Connection>(std::move(socket)));
        tunnels_.insert(tunnel);
        asio::co_spawn(context_.io, serve(std::move(tunnel)), asio::detached);
    }
}

asio::awaitable<unsigned> ConnectProxy::connectToServer(Tunnel &tunnel)
{
    auto &gateway = *tunnel.gateway;
    http::request_parser<http::empty_body> request;
    gateway.limit(RequestTimeout);
    const auto [error, count] = co_await http::async_read_header(gateway.socket(), gateway.buffer(), request, UseResult);
    gateway.unlimit();
    if (error || request.get().method() != http::verb::connect) {
        co_return 400;
    }
    // A gateway that has lost its own links helps nobody.
    if (context_.links.isCutOff() || !context_.snapshot) {
        co_return 503;
    }
    const auto *target = context_.snapshot->findTarget(Endpoint::parse(request.get().target()));
    if (target == nullptr) {
        co_return 404;
    }
    const ServingTarget server = *target;
    const auto failure = co_await direct_.connect(server, ConnectTimeout, tunnel.server);
    context_.links.monitor().recordConnect(!failure);
    co_return statusOf(failure);
}

asio::awaitable<void> ConnectProxy::serve(TunnelPtr tunnel)
{
    auto &gateway = *tunnel->gateway;
    try {
        boost::system::error_code ignored;
        gateway.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
        const auto status = co_await connectToServer(*tunnel);
        metricsRegistry().count(CounterMetric::ProxiedConnections, std::to_string(status));
        http::response<http::empty_body> response(static_cast<http::status>(status), 11);
        const auto [error, count] = co_await http::async_write(gateway.socket(), response, UseResult);
        if (!error && status == 200) {
            tunnel->lastBytesAt = context_.now();
            asio::co_spawn(context_.io, forwardAnswers(tunnel), asio::detached);
            co_await forwardRequests(*tunnel);
        }
    } catch (const std::exception &error) {
        logLine(LogLevel::Error, "connection of another gateway closed after an unexpected error", {{"error", error.what()}});
    }
    gateway.close();
    if (tunnel->server.connection) {
        tunnel->server.connection->close();
    }
    tunnels_.erase(tunnel);
}

/// A gateway that closes its connection cancels its request.
asio::awaitable<void> ConnectProxy::forwardRequests(Tunnel &tunnel)
{
    auto &gateway = *tunnel.gateway;
    gateway.limit(IdleTimeout);
    co_await copyBytes(gateway, *tunnel.server.connection, [&] {
        gateway.limit(IdleTimeout);
        tunnel.lastBytesAt = context_.now();
        tunnel.isRequestLast = true;
    });
}

asio::awaitable<void> ConnectProxy::forwardAnswers(TunnelPtr tunnel)
{
    auto &gateway = *tunnel->gateway;
    co_await copyBytes(*tunnel->server.connection, gateway, [&] {
        gateway.limit(IdleTimeout);
        tunnel->lastBytesAt = context_.now();
        tunnel->isRequestLast = false;
    });
    // What was sent still arrives; the other gateway then closes its side, which ends the tunnel.
    boost::system::error_code ignored;
    gateway.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    gateway.limit(CloseTimeout);
}

}
