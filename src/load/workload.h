#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace carawaypoint
{

/// Parameters of a workload of chat requests. Rates are in requests per second.
struct WorkloadOptions {
    std::uint64_t seed = 1;
    double rate = 20;
    Duration duration = seconds(10);
    double peakRate = 0; // rate during the peak; 0 for no peak
    Duration peakStart = seconds(3);
    Duration peakDuration = seconds(3);
    Duration peakRampTime = seconds(2); // time in which the rate rises linearly to peakRate
    std::uint32_t customers = 10;
    double peakCustomerShare = 0.7; // fraction of the requests added by the peak that come from the first customer
    double longShare = 0.1; // fraction of long requests
    std::uint32_t shortTokens = 20; // tokens of a short answer
    std::uint32_t longTokens = 1000; // tokens of a long answer
    std::uint32_t sharedPrefixes = 20; // number of different prompt prefixes
    std::string model = "assistant";
};

/// One request of a workload.
struct PlannedRequest {
    Duration at{}; // planned time since the start of the workload
    CustomerId customer;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    bool isLong = false;
};

/// Generates the requests of @p options in order of time: Poisson arrivals, the same for the same seed.
std::vector<PlannedRequest> planWorkload(const WorkloadOptions &options);

/// Builds a UUID version 7 from @p unixTime and the random bits @p randomHigh and @p randomLow.
std::string makeTimeOrderedUuid(std::chrono::milliseconds unixTime, std::uint64_t randomHigh, std::uint64_t randomLow);

}
