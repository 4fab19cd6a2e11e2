#include "experiments/capacity.h"
#include "experiments/experiments.h"
#include "experiments/fleet.h"
#include "experiments/statistics.h"

#include <algorithm>

namespace carawaypoint::experiments
{

namespace
{

constexpr std::size_t Replicas = 16;
constexpr std::uint32_t SmallBatch = 8;
constexpr std::uint32_t LargeBatch = 32; // at which a step takes about the 45 ms between tokens of design section 1.7
constexpr double BaseLoad = 0.4;
constexpr double PeakLoad = 2.5;
constexpr Duration Calm = seconds(60); // before the peak
constexpr Duration Ramp = seconds(2);
constexpr Duration Peak = seconds(30);
constexpr Duration Recovery = seconds(3);
constexpr Duration Afterwards = seconds(30);
constexpr const char *FloodingCustomer = "customer-0";
constexpr std::uint32_t ShortestAnswer = 20; // tokens
constexpr std::uint32_t LongestAnswer = 180; // drafts of a few sentences
constexpr double MeanTokens = (ShortestAnswer + LongestAnswer) / 2.0;

struct Figures {
    double goodput = 0; // useful tokens over the tokens of permanently full engines, during the peak
    double calmP95 = 0; // seconds to the first token of the other customers before the peak
    double peakP95 = 0; // during it; a refused or late request counts as its deadline
    double refused = 0; // part of the other customers' requests that got no useful answer during the peak
    double afterP95 = 0; // all customers, from the recovery time on
    double pastDeadline = 0; // requests decided later than their deadline and one tick
    double retries = 0; // attempts beyond the first per request
};

Workload makeWorkload(std::uint64_t seed, double capacity, TimePoint start)
{
    RandomGenerator random(seed);
    Workload workload;
    const TimePoint end = start + Calm + Ramp + Peak + Afterwards;
    for (const TimePoint at : poisson(random, BaseLoad * capacity, start, end)) {
        workload.push_back(shortQuestion(random, at));
    }
    const TimePoint peakStart = start + Calm;
    for (const TimePoint at : poisson(random, (PeakLoad - BaseLoad) * capacity, peakStart, peakStart + Ramp + Peak)) {
        const double risen = std::chrono::duration<double>(at - peakStart) / std::chrono::duration<double>(Ramp);
        if (std::uniform_real_distribution<double>(0, 1)(random) < risen) {
            workload.push_back(shortQuestion(random, at));
            workload.back().customer = FloodingCustomer;
        }
    }
    for (Arrival &arrival : workload) {
        arrival.outputTokens = uniform(random, ShortestAnswer, LongestAnswer);
        arrival.maxTokens = 256;
    }
    sortByTime(workload);
    return workload;
}

double waitOf(const Outcome &outcome)
{
    const double limit = std::chrono::duration<double>(outcome.arrival->firstTokenLimit).count();
    return outcome.hasFirstToken() ? outcome.firstTokenSeconds() : limit;
}

/// Tokens of a useful answer that were generated in [from, to), at an even pace. Whole answers would be counted by their
/// end, which puts the work of the first seconds of a peak before it.
double usefulTokensIn(const Outcome &outcome, TimePoint from, TimePoint to)
{
    if (!outcome.isUseful()) {
        return 0;
    }
    const auto length = static_cast<double>(std::max<Duration::rep>(1, (outcome.doneAt - outcome.firstTokenAt).count()));
    const auto inside = static_cast<double>((std::min(outcome.doneAt, to) - std::max(outcome.firstTokenAt, from)).count());
    return outcome.tokens * std::clamp(inside / length, 0.0, 1.0);
}

Figures figuresOf(const std::vector<Outcome> &outcomes, double capacity, TimePoint start)
{
    const TimePoint peakStart = start + Calm;
    const TimePoint full = peakStart + Ramp;
    const TimePoint end = full + Peak;
    Figures figures;
    std::vector<double> calm;
    std::vector<double> peak;
    std::vector<double> after;
    double useful = 0;
    double others = 0;
    double attempts = 0;
    double granted = 0;
    for (const Outcome &outcome : outcomes) {
        const TimePoint at = outcome.arrival->at;
        const bool isFlood = outcome.arrival->customer == FloodingCustomer;
        useful += usefulTokensIn(outcome, full, end);
        if (at >= start + seconds(10) && at < peakStart && !isFlood) {
            calm.push_back(waitOf(outcome));
        }
        if (at >= peakStart && at < end && !isFlood) {
            peak.push_back(waitOf(outcome));
            others += 1;
            figures.refused += outcome.isUseful() ? 0 : 1;
        }
        if (at >= end + Recovery && at < end + Afterwards - seconds(5)) {
            after.push_back(waitOf(outcome));
        }
        if (outcome.decidedAt > at + outcome.arrival->firstTokenLimit + milliseconds(10)) {
            figures.pastDeadline += 1;
        }
        attempts += outcome.attempts;
        granted += outcome.attempts > 0 ? 1 : 0;
    }
    figures.goodput = useful / (capacity * MeanTokens * std::chrono::duration<double>(Peak).count());
    figures.calmP95 = quantile(std::move(calm), 0.95);
    figures.peakP95 = quantile(std::move(peak), 0.95);
    figures.afterP95 = quantile(std::move(after), 0.95);
    figures.refused /= std::max(1.0, others);
    figures.retries = (attempts - granted) / std::max(1.0, granted);
    return figures;
}

Figures runOnce(const RoutingPolicy &policy, const EngineSettings &engine, const Workload &workload, double capacity, TimePoint start, std::uint64_t seed)
{
    FleetSettings settings;
    settings.replicas = Replicas;
    settings.engine = engine;
    settings.policy = policy;
    Fleet fleet(settings, seed);
    return figuresOf(fleet.run(workload, start + Calm + Ramp + Peak + Afterwards), capacity, start);
}

std::vector<Measure> measureWithSlots(const RunOptions &options, std::uint32_t slots)
{
    EngineSettings engine;
    engine.slots = slots;
    RoutingPolicy baseline;
    baseline.replicaChoice = "round_robin";
    baseline.queueOrder = "fifo";
    baseline.admission = "unbounded";
    const RoutingPolicy chosen;
    const TimePoint start = EventLoop().now();
    const std::string workload = "40% to 250% within 2 s for 30 s, one customer of ten floods, " + std::to_string(slots) + " slots a replica";
    Measure goodput{.name = "2a useful tokens over capacity", .workload = workload, .target = ">= 0.95", .isMet = [](double r) {
                        return r >= 0.95;
                    }};
    Measure others{
        .name = "2b p95 time to first token of the other customers, s, against before", .workload = workload, .target = "<= 1.2", .isMet = [](double r) {
            return r <= 1.2;
        }};
    Measure refused{.name = "2c part of the other customers' requests without useful answer", .workload = workload};
    Measure late{.name = "2d requests queued past their deadline", .workload = workload, .target = "0", .isMet = [](double r) {
                     return r == 0;
                 }};
    Measure after{.name = "2e p95 3 s after the peak, s, against before", .workload = workload, .target = "<= 1.2", .isMet = [](double r) {
                      return r <= 1.2;
                  }};
    Measure retries{.name = "2f retries per request", .workload = workload, .target = "<= 0.1", .isMet = [](double r) {
                        return r <= 0.1;
                    }};
    for (const std::uint64_t seed : options.seeds) {
        const Workload mix = makeWorkload(seed + 500, 20, start);
        const double capacity = Replicas * saturatedRate(engine, mix);
        const Workload requests = makeWorkload(seed, capacity, start);
        const Figures first = runOnce(baseline, engine, requests, capacity, start, seed);
        const Figures second = runOnce(chosen, engine, requests, capacity, start, seed);
        const auto add = [](Measure &measure, double a, double b, double ratio) {
            measure.baseline.push_back(a);
            measure.chosen.push_back(b);
            measure.ratio.push_back(ratio);
        };
        add(goodput, first.goodput, second.goodput, second.goodput);
        add(others, first.peakP95, second.peakP95, second.peakP95 / second.calmP95);
        add(refused, first.refused, second.refused, second.refused);
        add(late, first.pastDeadline, second.pastDeadline, second.pastDeadline);
        add(after, first.afterP95, second.afterP95, second.afterP95 / second.calmP95);
        add(retries, first.retries, second.retries, second.retries);
    }
    return {goodput, others, refused, late, after, retries};
}

}

std::vector<Measure> measurePeakDemand(const RunOptions &options)
{
    std::vector<Measure> measures = measureWithSlots(options, SmallBatch);
    const std::vector<Measure> more = measureWithSlots(options, LargeBatch);
    measures.insert(measures.end(), more.begin(), more.end());
    return measures;
}

}
