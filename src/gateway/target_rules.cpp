#include "gateway/target_rules.h"

#include <algorithm>
#include <array>

namespace carawaypoint
{

void AvailabilityRule::apply(const TargetQuery &query, std::span<TargetCandidate> candidates) const
{
    for (auto &candidate : candidates) {
        const auto &server = candidate.target->server;
        candidate.isInBackoff = loadTracker_.isInBackoff(server, query.now);
        if (std::find(query.excluded.begin(), query.excluded.end(), server) != query.excluded.end()) {
            candidate.refusal = TargetRefusal::Excluded;
        } else if (loadTracker_.isStalled(server)) {
            candidate.refusal = TargetRefusal::Stalled;
        }
    }
}

void LoadLimitRule::apply(const TargetQuery &query, std::span<TargetCandidate> candidates) const
{
    for (auto &candidate : candidates) {
        const auto &target = *candidate.target;
        const double prefill = loadTracker_.prefillSeconds(target);
        const double prefillLoad = query.stage == RequestStage::StreamStarted ? 0 : settings_.prefillSlotShare * prefill;
        candidate.load = loadTracker_.loadOf(target) * (1 - query.staleness.endedShare);
        candidate.score = candidate.load + settings_.prefillWeight * prefill;
        candidate.freeCapacity = (loadLimit(target, query.stage) - candidate.load - prefillLoad) * target.slots;
        if (candidate.isAccepted() && candidate.freeCapacity <= 0) {
            candidate.refusal = TargetRefusal::AtLoadLimit;
        }
    }
}

double LoadLimitRule::loadLimit(const ServingTarget &target, RequestStage stage) const
{
    if (target.replica.isEmpty()) {
        return settings_.maxPlainLoad;
    }
    // Indexed by RequestStage.
    const std::array limits{settings_.maxLoad, settings_.maxLoadForRetries, settings_.maxLoadForStartedStreams};
    return limits.at(static_cast<std::size_t>(stage));
}

void ZoneDistanceRule::apply(const TargetQuery &query, std::span<TargetCandidate> candidates) const
{
    for (auto &candidate : candidates) {
        candidate.score += candidate.target->zone == query.zone ? 0 : RemoteZonePenalty;
    }
}

}
