#include "experiments/capacity.h"
#include "experiments/experiments.h"
#include "experiments/fleet.h"
#include "experiments/statistics.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace carawaypoint::experiments
{

namespace
{

constexpr double Load = 0.5;
constexpr std::size_t Replicas = 16;
constexpr std::size_t Straggler = 3;
constexpr double Slowdown = 5; // factor of the step time
constexpr Duration SlowdownStart = seconds(60);
constexpr Duration SlowdownEnd = seconds(100);
constexpr Duration DetectionTime = seconds(5);
constexpr Duration End = seconds(180);
constexpr Duration Window = seconds(2); // of the shares after recovery

struct Figures {
    double slowShare = 0; // the straggler's share of the requests while it is slow, relative to its share before
    double restoredShare = 0; // its share at the end, relative to its share before
    double steps = 0; // number of distinct levels of the share, in quarters, between ejection and full return
};

/// Returns the straggler's share of the requests granted in [from, to).
double shareIn(const std::vector<Outcome> &outcomes, TimePoint from, TimePoint to)
{
    double all = 0;
    double slow = 0;
    for (const Outcome &outcome : outcomes) {
        if (outcome.attempts > 0 && outcome.decidedAt >= from && outcome.decidedAt < to) {
            all += 1;
            slow += outcome.replica == Straggler ? 1 : 0;
        }
    }
    return slow / std::max(1.0, all);
}

Figures runOnce(const std::string &choice, const Workload &workload, TimePoint start, std::uint64_t seed)
{
    FleetSettings settings;
    settings.replicas = Replicas;
    settings.policy.replicaChoice = choice;
    Fleet fleet(settings, seed);
    fleet.loop().scheduleAt(start + SlowdownStart, [&fleet] { fleet.engine(Straggler).setSlowdown(Slowdown); });
    fleet.loop().scheduleAt(start + SlowdownEnd, [&fleet] { fleet.engine(Straggler).setSlowdown(1); });
    const std::vector<Outcome> outcomes = fleet.run(workload, start + End);
    const double before = shareIn(outcomes, start + seconds(20), start + SlowdownStart);
    std::set<long> levels;
    for (TimePoint at = start + SlowdownEnd; at + Window <= start + End; at += Window) {
        levels.insert(std::lround(4 * shareIn(outcomes, at, at + Window) / before));
    }
    const auto between = std::count_if(levels.begin(), levels.end(), [](long level) { return level > 0 && level < 4; });
    return {shareIn(outcomes, start + SlowdownStart + DetectionTime, start + SlowdownEnd) / before,
            shareIn(outcomes, start + End - seconds(30), start + End) / before, static_cast<double>(between)};
}

}

std::vector<Measure> measureStraggler(const RunOptions &options)
{
    const TimePoint start = EventLoop().now();
    const std::string workload = "50% load, one replica of 16 slower by 5 from 60 s to 100 s";
    Measure slow{.name = "5a straggler's share of requests from 5 s on, relative to before", .workload = workload, .target = "<= 0.1", .isMet = [](double r) {
                     return r <= 0.1;
                 }};
    Measure restored{.name = "5b its share 50 s after recovery, relative to before", .workload = workload, .target = ">= 0.9", .isMet = [](double r) {
                         return r >= 0.9;
                     }};
    Measure steps{.name = "5c levels between ejection and return, of 4", .workload = workload, .target = ">= 2", .isMet = [](double r) {
                      return r >= 2;
                  }};
    for (const std::uint64_t seed : options.seeds) {
        RandomGenerator random(seed);
        const double capacity = Replicas * saturatedRate(EngineSettings(), mixedLengths(random, 20, 0, start, start + seconds(100)));
        const Workload requests = mixedLengths(random, Load * capacity, 0, start, start + End);
        const Figures first = runOnce("round_robin", requests, start, seed);
        const Figures second = runOnce("corrected_two_choices", requests, start, seed);
        const auto add = [](Measure &measure, double a, double b) {
            measure.baseline.push_back(a);
            measure.chosen.push_back(b);
            measure.ratio.push_back(b);
        };
        add(slow, first.slowShare, second.slowShare);
        add(restored, first.restoredShare, second.restoredShare);
        add(steps, first.steps, second.steps);
    }
    return {slow, restored, steps};
}

}
