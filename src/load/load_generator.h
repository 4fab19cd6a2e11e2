#pragma once

#include "core/ids.h"
#include "load/load_report.h"
#include "load/workload.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace carawaypoint
{

/// Entry daemons and connection settings of the load generator.
struct LoadTarget {
    std::vector<Endpoint> entries; // entry daemons, which get the requests in turn
    bool skipsUnreadyEntries = true; // leave out entries whose /readyz fails, as the platform's balancer does
    Duration timeout = seconds(60); // of one request
    unsigned threads = 2; // that send requests
};

/// Sends an open-loop workload: requests are sent at their planned times, whether or not earlier ones have been answered.
LoadReport runLoad(const WorkloadOptions &workload, const LoadTarget &target);

/// Workload of calls to a non-idempotent service. A call without a successful answer is sent again with the same key through
/// the next entry.
struct BookingOptions {
    std::uint64_t seed = 1;
    std::uint32_t calls = 100;
    std::uint32_t callers = 8; // concurrent callers, one thread each
    std::uint32_t sends = 3; // largest number of times that one call is sent
    std::string path = "/services/booking/shifts";
};

/// Outcomes of a booking workload, as its callers were told.
struct BookingReport {
    std::map<std::string, std::uint64_t> outcomes; // number of calls by the last answer, "<status> <result code> <run state>"
    std::vector<std::string> keysToldCompleted;
    std::vector<std::string> keysToldNotRun;
    std::vector<std::string> keysToldUnknown;
};

BookingReport runBookings(const BookingOptions &options, const LoadTarget &target);

}
