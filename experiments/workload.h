#pragma once

#include "core/random.h"
#include "routing/dispatcher.h"

#include <string>
#include <vector>

namespace carawaypoint::experiments
{

/// A request of the workload with what only the engine knows of it.
struct Arrival {
    TimePoint at;
    std::size_t daemon = 0;
    std::string customer;
    std::string adapter;
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0;
    std::uint32_t outputTokens = 0;
    bool isLong = false;
    Duration firstTokenLimit = seconds(2);
    std::vector<std::uint64_t> prefixes; // shortest first
    std::vector<std::uint32_t> prefixTokens;
};

using Workload = std::vector<Arrival>; // in the order of time

/// Uniform integers from @p low to @p high.
std::uint32_t uniform(RandomGenerator &random, std::uint32_t low, std::uint32_t high);

/// Moments of a Poisson process with @p rate events a second in [from, to).
std::vector<TimePoint> poisson(RandomGenerator &random, double rate, TimePoint from, TimePoint to);

/// A question with a short answer.
Arrival shortQuestion(RandomGenerator &random, TimePoint at);

/// Short questions, and among them work with answers 50 times longer with probability @p longPart. One in five long
/// requests and three in ten short ones look alike to a router.
Workload mixedLengths(RandomGenerator &random, double rate, double longPart, TimePoint from, TimePoint to);

/// Conversations of a few turns over shared system prompts; each turn's prompt repeats the conversation so far.
Workload conversations(RandomGenerator &random, double turnsPerSecond, TimePoint from, TimePoint to);

void sortByTime(Workload &workload);

}
