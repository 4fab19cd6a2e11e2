#include "gateway/target_selector.h"

#include "gateway/target_placement.h"
#include "gateway/target_rules.h"

#include <algorithm>
#include <numeric>

namespace carawaypoint
{

namespace
{

/// Maximum random addition to a score, so that gateways do not choose the same one of several equal servers.
constexpr double MaxJitter = 0.03;

using CandidateList = std::vector<const TargetCandidate *>;

CandidateList acceptedCandidates(const TargetCandidates &candidates, bool isInBackoff)
{
    CandidateList accepted;
    for (const auto &candidate : candidates) {
        if (candidate.isAccepted() && candidate.isInBackoff == isInBackoff) {
            accepted.push_back(&candidate);
        }
    }
    return accepted;
}

/// The lowest load of the candidates that are healthy; negative when there is none.
double lowestLoad(const TargetCandidates &candidates)
{
    double lowest = -1;
    for (const auto &candidate : candidates) {
        if (candidate.isAccepted() || candidate.isFull()) {
            lowest = lowest < 0 ? candidate.load : std::min(lowest, candidate.load);
        }
    }
    return lowest;
}

/// Whether this request is among those that fit into @p freeCapacity when all gateways want to send as many as @p query expects.
bool isAdmitted(const TargetQuery &query, double freeCapacity, std::mt19937_64 &random)
{
    const double started = query.staleness.startedRequests;
    const double share = started <= freeCapacity ? 1 : freeCapacity / started;
    return query.stage == RequestStage::StreamStarted || std::bernoulli_distribution(share)(random);
}

}

void TargetSelector::addRule(std::unique_ptr<TargetRule> rule)
{
    rules_.push_back(std::move(rule));
}

TargetCandidates TargetSelector::evaluate(const TargetQuery &query) const
{
    TargetCandidates candidates;
    candidates.reserve(query.targets.size());
    for (const auto &target : query.targets) {
        candidates.push_back({.target = &target});
    }
    for (const auto &rule : rules_) {
        rule->apply(query, candidates);
    }
    return candidates;
}

TargetChoice TargetSelector::choose(const TargetQuery &query, std::mt19937_64 &random) const
{
    auto candidates = evaluate(query);
    std::uniform_real_distribution<double> jitter(0, MaxJitter);
    for (auto &candidate : candidates) {
        candidate.score += candidate.isAccepted() ? jitter(random) : 0;
    }
    auto accepted = acceptedCandidates(candidates, false);
    if (accepted.empty()) {
        accepted = acceptedCandidates(candidates, true);
    }
    TargetChoice choice;
    choice.expected = query.staleness.startedRequests;
    choice.freeCapacity =
        std::accumulate(accepted.begin(), accepted.end(), 0.0, [](double sum, const TargetCandidate *each) { return sum + each->freeCapacity; });
    if (!isAdmitted(query, choice.freeCapacity, random) || accepted.empty()) {
        const double lowest = lowestLoad(candidates);
        choice.isFull = lowest >= 0;
        choice.load = std::max(0.0, lowest);
        return choice;
    }
    const auto &chosen = placeRequest(query, accepted, random);
    choice.target = chosen.target;
    choice.load = chosen.load;
    return choice;
}

TargetSelector makeTargetSelector(const BackendLoadTracker &loadTracker)
{
    TargetSelector selector;
    selector.addRule(std::make_unique<AvailabilityRule>(loadTracker));
    selector.addRule(std::make_unique<LoadLimitRule>(loadTracker));
    selector.addRule(std::make_unique<ZoneDistanceRule>());
    return selector;
}

}
