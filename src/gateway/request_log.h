#pragma once

#include "core/clock.h"
#include "core/result_code.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace carawaypoint
{

/// Log entry of one completed request.
struct RequestEntry {
    std::string id; // attempt id set by the caller
    std::string_view route;
    std::string customer;
    std::string_view model;
    ResultCode code = ResultCode::Ok;
    unsigned status = 0; // HTTP status sent to the caller; 0 when none was sent
    std::string_view reason;
    std::string server; // last server that the request was sent to
    std::string replica;
    unsigned attempts = 0;
    double load = 0; // of the last server when it was chosen, in requests per slot
    double freeCapacity = 0; // requests that the servers of the pool could accept at that time
    double expected = 0; // requests of all gateways that competed for freeCapacity; 0 when the counts were current
    Duration countAge{}; // of other gateways' requests; zero when the counts were current
    std::uint64_t configVersion = 0;
    Duration total{};
    Duration firstEvent{}; // zero when there was no event
};

/// Writes one line per request at a limited rate and counts omitted lines; successes are omitted before failures.
class RequestLog
{
public:
    void write(const RequestEntry &entry, TimePoint now);
    /// Writes a line about an intermediate step of a request, such as a retry.
    void writeStep(std::string_view id, std::string_view step, std::string_view reason, std::string_view server, TimePoint now);

private:
    bool mayWrite(bool isFailure, TimePoint now);

    TimePoint second_{};
    unsigned lines_ = 0;
    std::uint64_t omitted_ = 0;
};

}
