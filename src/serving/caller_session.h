#pragma once

#include "serving/caller_channel.h"
#include "serving/traffic_loop.h"

#include <memory>

namespace carawaypoint
{

struct ServiceCallContext;

/// Serves the requests of one caller connection, one after another. Keeps itself alive until the connection ends.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(TrafficLoop &loop, ServiceCallContext &serviceContext, ConnectionPtr connection);
    ~CallerSession();

    void start();

private:
    struct Request;

    asio::awaitable<void> run();
    /// Waits for the first byte of the next request; false when the connection ended or exceeded idleTimeout.
    asio::awaitable<bool> waitForInput();
    /// Null when the request was refused or the connection ended.
    asio::awaitable<std::unique_ptr<Request>> readRequest(RequestReader &reader);
    asio::awaitable<void> refuse(const boost::system::error_code &error);
    /// These functions answer the request; false when the connection must be closed afterwards.
    asio::awaitable<bool> handleRequest(const Request &request);
    asio::awaitable<bool> handleChat(const Request &request);
    asio::awaitable<bool> handleServiceCall(const Request &request);
    asio::awaitable<bool> sendReply(const Request &request, const Reply &reply);
    asio::awaitable<void> refuseAndClose(ResultCode code, std::string message, Duration retryAfter = {});
    RequestId nextRequestId();

    TrafficLoop &loop_;
    ServiceCallContext &serviceContext_;
    ConnectionPtr connection_;
    std::shared_ptr<CallerChannel> channel_;
    std::uint64_t requestSequence_ = 0; // sequence number of the current request
    TimePoint arrivedAt_{}; // arrival of the current request
};

}
