#pragma once

#include "core/ids.h"
#include "load/load_report.h"
#include "load/workload.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio
{
class io_context;
}

namespace carawaypoint
{

/// Sends one streamed chat request and checks every token of the answer. Keeps itself alive until the handler was called.
class LoadClient : public std::enable_shared_from_this<LoadClient>
{
public:
    using Handler = std::function<void(const LoadResult &)>;

    LoadClient(boost::asio::io_context &context, Endpoint entry, std::string model, PlannedRequest request);

    /// Sends the request now.
    /// @param planned time at which the workload wanted the request to be sent; latencies count from it.
    void run(TimePoint planned, Duration timeout, Handler handler);

private:
    struct Exchange;

    boost::asio::io_context &context_;
    Endpoint entry_;
    std::string model_;
    PlannedRequest request_;
};

/// Answer of one call to a plain service.
struct ServiceCallResult {
    unsigned status = 0; // HTTP status; 0: no answer arrived
    std::string resultCode;
    std::string runState;
};

/// Sends one call to a plain service and blocks until its answer. For the booking workload, which has a thread per caller.
ServiceCallResult
callService(const Endpoint &entry, const std::string &path, const std::string &customer, const std::string &key, const std::string &body, Duration timeout);

}
