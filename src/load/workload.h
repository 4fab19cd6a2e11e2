#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace carawaypoint
{

/// What the load generator sends. Rates are in requests a second.
struct WorkloadOptions {
    std::uint64_t seed = 1;
    double rate = 20;
    Duration duration = seconds(10);
    double crestRate = 0; // rate at the crest; 0 for none
    Duration crestStart = seconds(3);
    Duration crestLength = seconds(3);
    Duration crestRamp = seconds(2); // time in which the rate rises to crestRate
    std::uint32_t customers = 10;
    double crestCustomerShare = 0.7; // of the requests added by the crest that come from the first customer
    double longShare = 0.1;
    std::uint32_t shortTokens = 20;
    std::uint32_t longTokens = 1000;
    std::uint32_t sharedPrefixes = 20; // different beginnings of prompts
    std::string model = "assistant";
};

/// One request of a workload.
struct PlannedRequest {
    Duration at{}; // since the start
    CustomerId customer;
    std::string prompt;
    std::uint32_t maxTokens = 0;
    bool isLong = false;
};

/// The requests of @p options in order of time: Poisson arrivals, the same for the same seed.
std::vector<PlannedRequest> planWorkload(const WorkloadOptions &options);

/// A UUID version 7 for @p unixTime; @p random are its random bits.
std::string makeTimeOrderedUuid(std::chrono::milliseconds unixTime, std::uint64_t randomHigh, std::uint64_t randomLow);

}
