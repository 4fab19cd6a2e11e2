#include "experiments/workload.h"

#include <algorithm>

namespace carawaypoint::experiments
{

namespace
{
constexpr std::uint32_t Customers = 10;
constexpr std::uint32_t MaxDaemons = 7000; // Fleet takes it modulo its number of daemons
}

std::uint32_t uniform(RandomGenerator &random, std::uint32_t low, std::uint32_t high)
{
    return std::uniform_int_distribution<std::uint32_t>(low, high)(random);
}

std::vector<TimePoint> poisson(RandomGenerator &random, double rate, TimePoint from, TimePoint to)
{
    std::vector<TimePoint> times;
    if (rate <= 0) {
        return times;
    }
    std::exponential_distribution<double> gap(rate);
    for (double at = gap(random); from + Duration(static_cast<Duration::rep>(at * 1e6)) < to; at += gap(random)) {
        times.push_back(from + Duration(static_cast<Duration::rep>(at * 1e6)));
    }
    return times;
}

Arrival shortQuestion(RandomGenerator &random, TimePoint at)
{
    Arrival arrival;
    arrival.at = at;
    arrival.daemon = uniform(random, 0, MaxDaemons - 1);
    arrival.customer = "customer-" + std::to_string(uniform(random, 0, Customers - 1));
    arrival.adapter = "chat";
    arrival.promptTokens = std::min(1500U, 50 + static_cast<std::uint32_t>(std::lognormal_distribution<double>(5.5, 0.6)(random)));
    arrival.outputTokens = uniform(random, 20, 60);
    arrival.maxTokens = uniform(random, 0, 9) < 3 ? 4096 : 128;
    return arrival;
}

Workload mixedLengths(RandomGenerator &random, double rate, double longFraction, TimePoint from, TimePoint to)
{
    Workload workload;
    std::bernoulli_distribution isLong(longFraction);
    for (const TimePoint at : poisson(random, rate, from, to)) {
        Arrival arrival = shortQuestion(random, at);
        arrival.isLong = isLong(random);
        if (arrival.isLong) {
            arrival.outputTokens *= 50;
            arrival.maxTokens = 4096;
            arrival.adapter = uniform(random, 0, 4) == 0 ? "chat" : "rota";
        }
        workload.push_back(std::move(arrival));
    }
    return workload;
}

Workload conversations(RandomGenerator &random, double turnsPerSecond, TimePoint from, TimePoint to)
{
    constexpr std::uint32_t SystemPrompts = 20;
    constexpr std::uint32_t SystemTokens = 600;
    constexpr std::uint32_t MeanTurns = 6;
    Workload workload;
    std::uint64_t lastPrefix = 1000;
    for (const TimePoint start : poisson(random, turnsPerSecond / MeanTurns, from, to)) {
        const std::uint32_t system = uniform(random, 1, SystemPrompts);
        const std::uint32_t turns = uniform(random, 1, 2 * MeanTurns - 1);
        std::vector<std::uint64_t> prefixes{system};
        std::vector<std::uint32_t> prefixTokens{SystemTokens};
        TimePoint at = start;
        for (std::uint32_t turn = 0; turn < turns && at < to; ++turn) {
            Arrival arrival = shortQuestion(random, at);
            arrival.customer = "customer-" + std::to_string(system % Customers);
            prefixes.push_back(++lastPrefix);
            prefixTokens.push_back(prefixTokens.back() + uniform(random, 50, 250));
            arrival.promptTokens = prefixTokens.back();
            arrival.prefixes = prefixes;
            arrival.prefixTokens = prefixTokens;
            workload.push_back(std::move(arrival));
            at += milliseconds(uniform(random, 5000, 25000));
        }
    }
    sortByTime(workload);
    return workload;
}

void sortByTime(Workload &workload)
{
    std::stable_sort(workload.begin(), workload.end(), [](const Arrival &a, const Arrival &b) { return a.at < b.at; });
}

}
