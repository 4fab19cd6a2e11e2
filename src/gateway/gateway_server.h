#pragma once

#include "gateway/gateway_context.h"
#include "gateway/gateway_session.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <system_error>

namespace carawaypoint
{

/// Accepts callers. Only the traffic thread uses it.
///
/// Descriptors are bounded: a share stays for backend servers and the store, and a new caller beyond the bound takes the place
/// of the connection that has been idle for longest.
class GatewayServer
{
public:
    explicit GatewayServer(GatewayContext &context);

    std::error_code listen(const Endpoint &endpoint);
    /// The address that callers connect to, after listen().
    Endpoint localEndpoint() const;
    /// Closes idle connections and answers further requests with `Connection: close`; new connections are accepted until
    /// stopAccepting(), since the balancer learns of the stop only after a while.
    void drain();
    void stopAccepting();
    void remove(GatewaySession &session);

private:
    asio::awaitable<void> acceptAll();
    void closeOldestIdle();

    GatewayContext &context_;
    asio::ip::tcp::acceptor acceptor_;
    std::map<GatewaySession *, std::shared_ptr<GatewaySession>> sessions_;
    std::size_t maxSessions_;
};

}
