#include "experiments/capacity.h"
#include "experiments/experiments.h"
#include "experiments/fleet.h"
#include "experiments/statistics.h"

#include <algorithm>

namespace carawaypoint::experiments
{

namespace
{

constexpr double Load = 0.85;
constexpr double IdleLoad = 0.1; // fraction of the capacity for the mix with long work, without long work: one or two requests at a time
constexpr double LongFraction = 0.1;
constexpr std::size_t Replicas = 4; // replicas of one model at one site
constexpr Duration WarmUp = seconds(200);
constexpr Duration Measured = seconds(800);
constexpr Duration NoDeadline = minutes(10); // so long that no request misses its deadline, which this experiment does not measure

struct Figures {
    double shortP99 = 0; // seconds to the first token
    double longTokens = 0; // tokens of long requests completed in the measured time
    double longestWait = 0; // seconds to the first token of a long request
    double longStarved = 0; // long requests that arrived in the measured time and have no first token two minutes after its end
};

Figures computeFigures(const std::vector<Outcome> &outcomes, TimePoint from, TimePoint to)
{
    Figures figures;
    std::vector<double> waits;
    for (const Outcome &outcome : outcomes) {
        const bool arrivedInTime = outcome.arrival->at >= from && outcome.arrival->at < to;
        if (!outcome.arrival->isLong) {
            if (arrivedInTime) {
                waits.push_back(outcome.hasFirstToken() ? outcome.firstTokenSeconds() : 1e3);
            }
            continue;
        }
        if (outcome.isDone() && outcome.doneAt >= from && outcome.doneAt < to) {
            figures.longTokens += outcome.tokens;
        }
        if (arrivedInTime && !outcome.hasFirstToken()) {
            figures.longStarved += 1;
        } else if (arrivedInTime) {
            figures.longestWait = std::max(figures.longestWait, outcome.firstTokenSeconds());
        }
    }
    figures.shortP99 = quantile(std::move(waits), 0.99);
    return figures;
}

Figures runOnce(const RoutingPolicy &policy, const Workload &workload, TimePoint start, std::uint64_t seed, FleetSettings settings = {})
{
    settings.replicas = Replicas;
    settings.policy = policy;
    Fleet fleet(settings, seed);
    const TimePoint from = start + WarmUp;
    const TimePoint to = from + Measured;
    return computeFigures(fleet.run(workload, to + minutes(2)), from, to);
}

Workload makeWorkload(std::uint64_t seed, double rate, double longFraction, TimePoint start)
{
    RandomGenerator random(seed);
    // The load continues after the measured time, so that the last measured requests have the same conditions.
    Workload workload = mixedLengths(random, rate, longFraction, start, start + WarmUp + Measured + minutes(2));
    for (Arrival &arrival : workload) {
        arrival.firstTokenLimit = NoDeadline;
    }
    return workload;
}

}

std::vector<Measure> measureShortBehindLong(const RunOptions &options)
{
    RoutingPolicy fifo;
    fifo.queueOrder = "fifo";
    fifo.admission = "unbounded";
    const RoutingPolicy chosen;
    const TimePoint start = EventLoop().now();
    Measure unloaded{.name = "1a p99 time to first token of short work, s, against unloaded",
                     .workload = "85% load, 10% of requests 50 times longer",
                     .target = "<= 2",
                     .isMet = [](double r) {
                         return r <= 2;
                     }};
    Measure against{.name = "1b the same, fifo over short_first", .workload = unloaded.workload, .target = ">= 5", .isMet = [](double r) {
                        return r >= 5;
                    }};
    Measure throughput{.name = "1c long work, thousand tokens completed", .workload = unloaded.workload, .target = ">= 0.85", .isMet = [](double r) {
                           return r >= 0.85;
                       }};
    Measure starved{.name = "1d long requests without a first token", .workload = unloaded.workload, .target = "0", .isMet = [](double r) {
                        return r == 0;
                    }};
    Measure longest{.name = "1e longest wait of long work, s", .workload = unloaded.workload};
    Measure perfect{.name = "1f as 1a, with reports without delay", .workload = unloaded.workload};
    for (const std::uint64_t seed : options.seeds) {
        RandomGenerator random(seed + 500);
        const double capacity = Replicas * saturatedRate(EngineSettings(), mixedLengths(random, 100, LongFraction, start, start + seconds(100)));
        const Workload workload = makeWorkload(seed, Load * capacity, LongFraction, start);
        const Workload idle = makeWorkload(seed, IdleLoad * capacity, 0, start);
        const Figures alone = runOnce(chosen, idle, start, seed);
        const Figures first = runOnce(fifo, workload, start, seed);
        const Figures second = runOnce(chosen, workload, start, seed);
        FleetSettings informed;
        informed.reportInterval = milliseconds(10);
        informed.reportLag = Duration::zero();
        const Figures third = runOnce(chosen, workload, start, seed, informed);
        perfect.baseline.push_back(alone.shortP99);
        perfect.chosen.push_back(third.shortP99);
        perfect.ratio.push_back(third.shortP99 / alone.shortP99);
        unloaded.baseline.push_back(alone.shortP99);
        unloaded.chosen.push_back(second.shortP99);
        unloaded.ratio.push_back(second.shortP99 / alone.shortP99);
        against.baseline.push_back(first.shortP99);
        against.chosen.push_back(second.shortP99);
        against.ratio.push_back(first.shortP99 / second.shortP99);
        throughput.baseline.push_back(first.longTokens / 1000);
        throughput.chosen.push_back(second.longTokens / 1000);
        throughput.ratio.push_back(second.longTokens / first.longTokens);
        starved.baseline.push_back(first.longStarved);
        starved.chosen.push_back(second.longStarved);
        starved.ratio.push_back(second.longStarved);
        longest.baseline.push_back(first.longestWait);
        longest.chosen.push_back(second.longestWait);
        longest.ratio.push_back(second.longestWait / std::max(1e-3, first.longestWait));
    }
    return {unloaded, against, throughput, starved, longest, perfect};
}

}
