#pragma once

#include "gateway/gateway_context.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <set>
#include <system_error>

namespace carawaypoint
{

/// Answers HTTP CONNECT of other gateways, whose own links to the backend servers are lost: connects to the server and forwards bytes both ways. Used on
/// the traffic thread only.
///
/// Connects only to servers that get requests, and only directly. When either side ends or fails, the other one is closed, so that a cancelled request
/// is cancelled at its server too.
class ConnectProxy
{
public:
    explicit ConnectProxy(GatewayContext &context);

    std::error_code listen(const Endpoint &endpoint);
    /// The address that other gateways connect to; valid after listen().
    Endpoint localEndpoint() const;
    /// Accepts no further connections; those that exist go on.
    void drain();
    /// Whether a request may be in progress on some connection.
    bool isBusy() const;

private:
    struct Tunnel;
    using TunnelPtr = std::shared_ptr<Tunnel>;

    asio::awaitable<void> acceptAll();
    asio::awaitable<void> serve(TunnelPtr tunnel);
    /// Reads the request and connects to its server. Returns the status of the answer.
    asio::awaitable<unsigned> connectToServer(Tunnel &tunnel);
    asio::awaitable<void> forwardAnswers(TunnelPtr tunnel);
    asio::awaitable<void> forwardRequests(Tunnel &tunnel);

    GatewayContext &context_;
    asio::ip::tcp::acceptor acceptor_;
    DirectConnector direct_;
    std::set<TunnelPtr> tunnels_;
    std::size_t maxTunnels_;
};

}
