#pragma once

#include "serving/caller_channel.h"
#include "serving/traffic_loop.h"

#include <memory>

namespace carawaypoint
{

struct ServiceShared;

/// One caller connection. Keeps itself alive until the connection ends.
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
    CallerSession(TrafficLoop &loop, ServiceShared &services, ConnectionPtr connection);
    ~CallerSession();

    void start();

private:
    struct Request;

    asio::awaitable<void> run();
    /// Waits for the first byte of the next request; false when the connection ended or stayed idle.
    asio::awaitable<bool> waitForInput();
    /// Null when the request was answered with a failure or the connection ended.
    asio::awaitable<std::unique_ptr<Request>> readRequest();
    asio::awaitable<bool> answer(const Request &request);
    asio::awaitable<bool> answerChat(const Request &request);
    asio::awaitable<bool> answerService(const Request &request);
    asio::awaitable<bool> reply(const Request &request, const Reply &reply);
    asio::awaitable<void> refuseAndClose(ResultCode code, std::string message);
    asio::awaitable<void> closeGently();
    RequestId nextRequestId();

    TrafficLoop &loop_;
    ServiceShared &services_;
    ConnectionPtr connection_;
    std::shared_ptr<CallerChannel> channel_;
    std::uint64_t sequence_ = 0; // of the present request
    TimePoint arrivedAt_{};
};

}
