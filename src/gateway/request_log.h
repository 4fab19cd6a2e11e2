#pragma once

#include "core/clock.h"
#include "core/result_code.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace carawaypoint
{

/// What is logged about one request at its end.
struct RequestEntry {
    std::string id; // of the caller's try
    std::string_view route;
    std::string customer;
    std::string_view model;
    ResultCode code = ResultCode::Ok;
    unsigned status = 0; // sent to the caller; 0 when none was
    std::string_view reason;
    std::string server; // that was asked last
    std::string replica;
    unsigned attempts = 0;
    double load = 0; // of the last server when it was chosen, in requests for each slot
    double room = 0; // requests that the servers of the pool could take then
    double expected = 0; // requests of all gateways that competed for that room; zero where counts are fresh
    std::uint64_t configVersion = 0;
    Duration total{};
    Duration firstEvent{}; // zero when there was none
};

/// Writes request lines and counts them, at a bounded rate: lines over it are counted and left out, failures last.
class RequestLog
{
public:
    void write(const RequestEntry &entry, TimePoint now);
    /// A decision about a request that is not its end, such as a retry.
    void writeStep(std::string_view id, std::string_view step, std::string_view reason, std::string_view server, TimePoint now);

private:
    bool mayWrite(bool isFailure, TimePoint now);

    TimePoint second_{};
    unsigned lines_ = 0;
    std::uint64_t omitted_ = 0;
};

}
