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

/// Accepts connections of callers. Used on the traffic thread only.
///
/// Limits the connections of callers, so that descriptors remain for backend servers and the store, and by the memory of the process. At the limit,
/// a new connection replaces the one that has been idle for longest, or else the one whose request has been incomplete for longest. When all
/// connections wait for an answer, a new one is closed without being read, which tells its caller that its request has not run.
class GatewayServer
{
public:
    explicit GatewayServer(GatewayContext &context);

    std::error_code listen(const Endpoint &endpoint);
    /// The address that callers connect to; valid after listen().
    Endpoint localEndpoint() const;
    /// Closes idle connections and responds to further requests with `Connection: close`. New connections are accepted until
    /// stopAccepting(), since the load balancer detects the stop only after some time.
    void drain();
    void stopAccepting();
    /// Ends the I/O context, which cuts all requests in progress, and writes their log entries.
    void cutRequests();
    /// Ends the I/O context, so that no further request is read, unless some caller waits for an answer. Returns whether it was ended.
    bool stopIfIdle();
    void remove(GatewaySession &session);

private:
    asio::awaitable<void> acceptAll();
    void startSession(asio::ip::tcp::socket socket);
    asio::awaitable<bool> makeRoom();
    bool closeOldestIdle();

    GatewayContext &context_;
    asio::ip::tcp::acceptor acceptor_;
    std::map<GatewaySession *, std::shared_ptr<GatewaySession>> sessions_;
    std::size_t maxSessions_;
};

}
