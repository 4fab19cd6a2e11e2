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

/// Stand-in of a plain service (booking or registry application) on several VMs, in one process. Every `POST` counts as an
/// execution of its idempotency key; `GET` is repeatable.
///
/// `POST /standin/faults` on the control address injects faults. For all VMs: `delay_ms`, `cut_before` and `cut_after` (number of
/// calls that lose their connection before or after the execution). For one VM: `{"action":"kill|restart|drain|undrain","vm":ID}`.
/// `GET /standin/executions` returns the number of executions by key.
class ServiceFleet
{
public:
    ServiceFleet(boost::asio::any_io_executor executor, std::string pool);

    void addVm(std::string id, std::string zone, const boost::asio::ip::tcp::endpoint &endpoint);
    void start(const boost::asio::ip::tcp::endpoint &control);
    /// Returns the VMs as entries of the platform's VM list.
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
    std::map<std::string, std::uint64_t> executions_; // by idempotency key
    std::chrono::milliseconds delay_{0};
    std::uint64_t cutsBefore_ = 0; // calls that will lose their connection before the execution
    std::uint64_t cutsAfter_ = 0; // calls that will lose it after the execution
};

}
