#pragma once

#include "core/random.h"
#include "routing/dispatcher.h"

#include <string>
#include <vector>

namespace carawaypoint::experiments
{

/// A request of the workload, including properties that only the engine knows, such as the length of the answer.
struct Arrival {
    TimePoint at;
    std::size_t daemon = 0; // taken modulo the number of daemons
    std::string customer;
    std::string adapter;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0; // limit that the caller states
    std::uint32_t outputTokens = 0; // length of the answer
    bool isLong = false;
    Duration firstTokenLimit = seconds(2); // deadline of the first token after the arrival
    std::vector<std::uint64_t> prefixes; // hashes, shortest prefix first
    std::vector<std::uint32_t> prefixTokens; // length of each prefix in tokens
};

using Workload = std::vector<Arrival>; // sorted by time

/// Returns a uniformly distributed integer from @p low to @p high.
std::uint32_t uniform(RandomGenerator &random, std::uint32_t low, std::uint32_t high);

/// Returns the arrival times of a Poisson process with @p rate events per second in [from, to).
std::vector<TimePoint> poisson(RandomGenerator &random, double rate, TimePoint from, TimePoint to);

/// Generates a question with a short answer.
Arrival shortQuestion(RandomGenerator &random, TimePoint at);

/// Generates short questions, and with probability @p longFraction requests whose answers are 50 times longer. One in five long
/// requests and three in ten short ones look the same to a router.
Workload mixedLengths(RandomGenerator &random, double rate, double longFraction, TimePoint from, TimePoint to);

/// Generates conversations of a few turns over shared system prompts. The prompt of each turn repeats the conversation so far.
Workload conversations(RandomGenerator &random, double turnsPerSecond, TimePoint from, TimePoint to);

void sortByTime(Workload &workload);

}
