#pragma once

#include "core/connection.h"
#include "core/ids.h"
#include "core/request_reader.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <string>
#include <system_error>

namespace carawaypoint
{

/// Serves the load balancer's readiness checks and the metrics over HTTP. Used on the control thread only.
class StatusServer
{
public:
    explicit StatusServer(asio::io_context &io);

    std::error_code listenReadiness(const Endpoint &endpoint, const std::string &path);
    std::error_code listenMetrics(const Endpoint &endpoint);
    void setReady(bool isReady)
    {
        isReady_ = isReady;
    }

private:
    struct Answer {
        unsigned status = 200;
        std::string body;
    };
    using Handler = std::function<Answer()>;
    struct Page {
        std::string path;
        Handler handler;
    };

    std::error_code listen(const Endpoint &endpoint, Page page);
    asio::awaitable<void> acceptAll(asio::ip::tcp::acceptor acceptor, Page page);
    asio::awaitable<void> serve(ConnectionPtr connection, Page page);

    asio::io_context &io_;
    RequestMemory requestMemory_;
    unsigned connectionCount_ = 0;
    bool isReady_ = false;
};

}
