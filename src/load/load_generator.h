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

/// Where and how long the load generator sends.
struct LoadTarget {
    std::vector<Endpoint> entries; // requests go to them in turn
    bool isBalanced = true; // leave out entries that are not ready, as the platform's balancer does
    Duration timeout = seconds(60); // of one request
    unsigned threads = 2;
};

/// Sends an open-loop workload: requests leave at their planned times, whatever became of the earlier ones.
LoadReport runLoad(const WorkloadOptions &workload, const LoadTarget &target);

/// Calls to a non-idempotent service, each re-sent with its key through the other entries until the caller knows the outcome.
struct BookingOptions {
    std::uint64_t seed = 1;
    std::uint32_t calls = 100;
    std::uint32_t callers = 8; // threads
    std::uint32_t sends = 3; // most sends of one call
    std::string path = "/services/booking/shifts";
};

struct BookingReport {
    std::map<std::string, std::uint64_t> outcomes; // of the last send, "<status> <code> <run state>"
    std::vector<std::string> keysToldCompleted;
    std::vector<std::string> keysToldNotRun;
    std::vector<std::string> keysToldUnknown;
};

BookingReport runBookings(const BookingOptions &options, const LoadTarget &target);

}
