#pragma once

#include "standins/http_listener.h"

#include <boost/json/array.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carawaypoint::standins
{

/// A plain service (booking or registry application) on several VMs in one process. Every `POST` counts as an execution of
/// its idempotency key; `GET` is repeatable.
///
/// `POST /standin/faults` on the control address switches, for all VMs: `delay_ms`, `cut_before` and `cut_after` (so many calls
/// lose their connection before or after the execution), and per VM `{"action":"kill|restart|drain|undrain","vm":ID}`.
/// `GET /standin/executions` answers counts by key.
class ServiceFleet
{
public:
    ServiceFleet(boost::asio::any_io_executor executor, std::string pool);

    void addVm(std::string id, std::string zone, const boost::asio::ip::tcp::endpoint &endpoint);
    void start(const boost::asio::ip::tcp::endpoint &control);
    boost::json::array vmList() const;

private:
    struct Server {
        std::string id;
        std::string zone;
        std::shared_ptr<HttpListener> listener;
        bool isDraining = false;
    };

    boost::asio::awaitable<void> handle(HttpExchange &exchange, std::shared_ptr<Server> server);
    boost::asio::awaitable<void> handleControl(HttpExchange &exchange);

    boost::asio::any_io_executor executor_;
    std::string pool_;
    std::map<std::string, std::shared_ptr<Server>> servers_;
    std::shared_ptr<HttpListener> control_;
    std::map<std::string, std::uint64_t> executions_; // by key
    std::chrono::milliseconds delay_{0};
    std::uint64_t cutsBefore_ = 0;
    std::uint64_t cutsAfter_ = 0;
};

}
