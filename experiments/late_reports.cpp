#include "experiments/capacity.h"
#include "experiments/experiments.h"
#include "experiments/fleet.h"
#include "experiments/statistics.h"

#include <algorithm>

namespace carawaypoint::experiments
{

namespace
{

constexpr double Load = 0.7;
constexpr std::size_t Replicas = 16;
constexpr Duration WarmUp = seconds(100);
constexpr Duration Measured = seconds(200);

struct Figures {
    double p99 = 0; // seconds to the first token
    double imbalance = 0; // p99 over time of the coefficient of variation of the replicas' loads
    double reuse = 0; // fraction of the prompt tokens that came from a prefix cache
};

FleetSettings lateInformation()
{
    FleetSettings settings;
    settings.replicas = Replicas;
    return settings;
}

FleetSettings perfectInformation()
{
    FleetSettings settings = lateInformation();
    settings.reportInterval = milliseconds(10);
    settings.reportLag = Duration::zero();
    settings.cacheEventLag = Duration::zero();
    settings.cacheEventLoss = 0;
    return settings;
}

Figures runOnce(FleetSettings settings, const std::string &choice, const Workload &workload, TimePoint start, std::uint64_t seed)
{
    settings.policy.replicaChoice = choice;
    Fleet fleet(settings, seed);
    const TimePoint from = start + WarmUp;
    const TimePoint to = from + Measured;
    const std::vector<Outcome> outcomes = fleet.run(workload, to + seconds(20));
    std::vector<double> waits;
    for (const Outcome &outcome : outcomes) {
        if (outcome.arrival->at >= from && outcome.arrival->at < to) {
            const double limit = std::chrono::duration<double>(outcome.arrival->firstTokenLimit).count();
            waits.push_back(outcome.hasFirstToken() ? outcome.firstTokenSeconds() : limit);
        }
    }
    double prompt = 0;
    double reused = 0;
    for (std::size_t i = 0; i < fleet.replicas(); ++i) {
        prompt += static_cast<double>(fleet.engine(i).promptTokens());
        reused += static_cast<double>(fleet.engine(i).reusedTokens());
    }
    return {quantile(std::move(waits), 0.99), quantile(fleet.imbalance(), 0.99), reused / prompt};
}

}

std::vector<Measure> measureLateReports(const RunOptions &options)
{
    const TimePoint start = EventLoop().now();
    const std::string workload = "conversations at 70% load, reports 1 s late, 7 daemons";
    Measure p99{.name = "3a p99 time to first token, s, against perfect information", .workload = workload, .target = "<= 1.3", .isMet = [](double r) {
                    return r <= 1.3;
                }};
    Measure herding{.name = "3b imbalance of the replicas, p99, against perfect information", .workload = workload, .target = "<= 1.3", .isMet = [](double r) {
                        return r <= 1.3;
                    }};
    Measure reuse{.name = "3c prefix reuse against a single router with perfect information",
                  .workload = workload + ", cache events 1 s late, 5% lost",
                  .target = ">= 0.8",
                  .isMet = [](double r) {
                      return r >= 0.8;
                  }};
    Measure leastRequestsP99{.name = "3d p99 of least_requests, s, against corrected_two_choices", .workload = workload};
    Measure roundRobinP99{.name = "3e p99 of round_robin, s, against corrected_two_choices", .workload = workload};
    for (const std::uint64_t seed : options.seeds) {
        RandomGenerator random(seed);
        // Prompts with a cached prefix cost less. The load is relative to the capacity without reuse.
        const double capacity = Replicas * saturatedRate(EngineSettings(), conversations(random, 20, start, start + seconds(100)));
        const Workload requests = conversations(random, Load * capacity, start, start + WarmUp + Measured + seconds(20));
        FleetSettings single = perfectInformation();
        single.daemons = 1;
        const Figures late = runOnce(lateInformation(), "corrected_two_choices", requests, start, seed);
        const Figures perfect = runOnce(perfectInformation(), "corrected_two_choices", requests, start, seed);
        const Figures one = runOnce(single, "corrected_two_choices", requests, start, seed);
        const Figures leastRequests = runOnce(lateInformation(), "least_requests", requests, start, seed);
        const Figures roundRobin = runOnce(lateInformation(), "round_robin", requests, start, seed);
        const auto add = [](Measure &measure, double a, double b) {
            measure.baseline.push_back(a);
            measure.chosen.push_back(b);
            measure.ratio.push_back(b / a);
        };
        add(p99, perfect.p99, late.p99);
        add(herding, perfect.imbalance, late.imbalance);
        add(reuse, one.reuse, late.reuse);
        add(leastRequestsP99, leastRequests.p99, late.p99);
        add(roundRobinP99, roundRobin.p99, late.p99);
    }
    return {p99, herding, reuse, leastRequestsP99, roundRobinP99};
}

}
