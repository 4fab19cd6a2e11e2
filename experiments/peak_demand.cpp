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
constexpr std::uint32_t LargeBatch = 32; // with a step of about 45 ms, the time between tokens in design section 1.7
constexpr double BaseLoad = 0.4;
constexpr double PeakLoad = 2.5;
constexpr Duration TimeBeforePeak = seconds(60);
constexpr Duration Ramp = seconds(2);
constexpr Duration Peak = seconds(30);
constexpr Duration Recovery = seconds(3);
constexpr Duration TimeAfterPeak = seconds(30);
constexpr const char *FloodingCustomer = "customer-0";
constexpr std::uint32_t ShortestAnswer = 20; // tokens
constexpr std::uint32_t LongestAnswer = 180; // drafts of a few sentences
constexpr double MeanTokens = (ShortestAnswer + LongestAnswer) / 2.0;

struct Figures {
    double goodput = 0; // useful tokens during the peak, divided by the tokens of engines whose batches are always full
    double p95BeforePeak = 0; // seconds to the first token of the other customers before the peak
    double peakP95 = 0; // the same during the peak; a request without a first token counts with its deadline
    double refused = 0; // fraction of the other customers' requests without a useful answer during the peak
    double p95AfterPeak = 0; // seconds to the first token of all customers, after the recovery time
    double pastDeadline = 0; // requests decided later than their deadline and one tick
    double retries = 0; // attempts beyond the first per request
};

Workload makeWorkload(std::uint64_t seed, double capacity, TimePoint start)
{
    RandomGenerator random(seed);
    Workload workload;
    const TimePoint end = start + TimeBeforePeak + Ramp + Peak + TimeAfterPeak;
    for (const TimePoint at : poisson(random, BaseLoad * capacity, start, end)) {
        workload.push_back(shortQuestion(random, at));
    }
    const TimePoint peakStart = start + TimeBeforePeak;
    for (const TimePoint at : poisson(random, (PeakLoad - BaseLoad) * capacity, peakStart, peakStart + Ramp + Peak)) {
        const double rampFraction = std::chrono::duration<double>(at - peakStart) / std::chrono::duration<double>(Ramp);
        if (std::uniform_real_distribution<double>(0, 1)(random) < rampFraction) {
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

double firstTokenWait(const Outcome &outcome)
{
    const double limit = std::chrono::duration<double>(outcome.arrival->firstTokenLimit).count();
    return outcome.hasFirstToken() ? outcome.firstTokenSeconds() : limit;
}

/// Returns the tokens of a useful answer that were generated in [from, to), assuming a constant rate. Counting complete answers
/// at their end would attribute the work before the peak to its first seconds.
double usefulTokensIn(const Outcome &outcome, TimePoint from, TimePoint to)
{
    if (!outcome.isUseful()) {
        return 0;
    }
    const auto length = static_cast<double>(std::max<Duration::rep>(1, (outcome.doneAt - outcome.firstTokenAt).count()));
    const auto inside = static_cast<double>((std::min(outcome.doneAt, to) - std::max(outcome.firstTokenAt, from)).count());
    return outcome.tokens * std::clamp(inside / length, 0.0, 1.0);
}

Figures computeFigures(const std::vector<Outcome> &outcomes, double capacity, TimePoint start)
{
    const TimePoint peakStart = start + TimeBeforePeak;
    const TimePoint full = peakStart + Ramp;
    const TimePoint end = full + Peak;
    Figures figures;
    std::vector<double> beforePeak;
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
            beforePeak.push_back(firstTokenWait(outcome));
        }
        if (at >= peakStart && at < end && !isFlood) {
            peak.push_back(firstTokenWait(outcome));
            others += 1;
            figures.refused += outcome.isUseful() ? 0 : 1;
        }
        if (at >= end + Recovery && at < end + TimeAfterPeak - seconds(5)) {
            after.push_back(firstTokenWait(outcome));
        }
        if (outcome.decidedAt > at + outcome.arrival->firstTokenLimit + milliseconds(10)) {
            figures.pastDeadline += 1;
        }
        attempts += outcome.attempts;
        granted += outcome.attempts > 0 ? 1 : 0;
    }
    figures.goodput = useful / (capacity * MeanTokens * std::chrono::duration<double>(Peak).count());
    figures.p95BeforePeak = quantile(std::move(beforePeak), 0.95);
    figures.peakP95 = quantile(std::move(peak), 0.95);
    figures.p95AfterPeak = quantile(std::move(after), 0.95);
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
    return computeFigures(fleet.run(workload, start + TimeBeforePeak + Ramp + Peak + TimeAfterPeak), capacity, start);
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
        add(others, first.peakP95, second.peakP95, second.peakP95 / second.p95BeforePeak);
        add(refused, first.refused, second.refused, second.refused);
        add(late, first.pastDeadline, second.pastDeadline, second.pastDeadline);
        add(after, first.p95AfterPeak, second.p95AfterPeak, second.p95AfterPeak / second.p95BeforePeak);
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
