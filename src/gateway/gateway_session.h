#pragma once

#include "gateway/forward_call.h"

#include <memory>
#include <optional>

namespace carawaypoint
{

class GatewayServer;

/// One connection of a caller: reads its requests in sequence and forwards them.
class GatewaySession : public std::enable_shared_from_this<GatewaySession>
{
public:
    GatewaySession(GatewayContext &context, GatewayServer &server, asio::ip::tcp::socket socket);

    asio::awaitable<void> run();
    /// Closes the connection unless a request is in progress or has partly arrived.
    void closeIfIdle();
    TimePoint idleSince() const
    {
        return idleSince_;
    }
    bool isIdle() const
    {
        return isIdle_;
    }
    /// Whether a request is in progress, or bytes of one have arrived.
    bool isBusy()
    {
        return !isIdle_ || (connection_->hasInput() && !connection_->isPeerClosed());
    }
    /// Writes the log entry of the request in progress, if any, which the end of the process cuts.
    void logCutRequest()
    {
        if (const auto call = call_.lock()) {
            call->logCut();
        }
    }
    /// Whether the connection has been used for a request. The first request of a new connection may be on its way.
    bool hasServedRequest() const
    {
        return hasServedRequest_;
    }

private:
    asio::awaitable<void> serveRequests();
    CallerLimits limits() const;
    asio::awaitable<bool> waitForRequest();
    asio::awaitable<void> waitWhileIdle();
    asio::awaitable<bool> readRequest(RequestReader &reader);
    asio::awaitable<void> refuse(const boost::system::error_code &error, const RequestReader &reader);
    asio::awaitable<bool> forward(const std::shared_ptr<ForwardCall> &call);
    asio::awaitable<void> sendErrorResponse(ResultCode code);
    void watchCaller(const std::shared_ptr<ForwardCall> &call);
    asio::awaitable<void> waitForPeerToClose();

    GatewayContext &context_;
    GatewayServer &server_;
    ConnectionPtr connection_;
    std::weak_ptr<ForwardCall> call_; // the latest
    TimePoint idleSince_;
    TimePoint receivedAt_{};
    bool isIdle_ = true;
    bool hasServedRequest_ = false;
    bool isWatching_ = false;
};

}
