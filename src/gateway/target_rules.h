#pragma once

#include "gateway/backend_load_tracker.h"
#include "gateway/target_selection.h"

namespace carawaypoint
{

/// Refuses servers that are excluded or stalled.
class AvailabilityRule : public TargetRule
{
public:
    explicit AvailabilityRule(const BackendLoadTracker &loadTracker)
        : loadTracker_(loadTracker)
    {
    }
    void apply(const TargetQuery &query, std::span<TargetCandidate> candidates) const override;

private:
    const BackendLoadTracker &loadTracker_;
};

struct LoadLimitSettings {
    /// Load limits of a replica, in requests per slot. A request beyond its slots waits until another one ends, which is longer than the
    /// target time of short ones allows; in a long peak a queue would make all of them late. Callers that retry after a refusal are late
    /// already and would give up after another one; they wait behind new requests. Interrupting a started stream is worse than slowing
    /// others down a little.
    double maxLoad = 1.0;
    double maxLoadForRetries = 1.05;
    double maxLoadForStartedStreams = 1.7;
    double maxPlainLoad = 3; // same for servers of plain services, whose requests are short
    double prefillWeight = 2; // load equivalent of pending prefill that takes one second
    double prefillSlotShare = 1; // share of the slots that pending prefill of one second occupies
};

/// Computes the load and the free capacity of the candidates and refuses those at their load limit.
class LoadLimitRule : public TargetRule
{
public:
    explicit LoadLimitRule(const BackendLoadTracker &loadTracker, LoadLimitSettings settings = {})
        : loadTracker_(loadTracker)
        , settings_(settings)
    {
    }
    void apply(const TargetQuery &query, std::span<TargetCandidate> candidates) const override;

private:
    double loadLimit(const ServingTarget &target, RequestStage stage) const;

    const BackendLoadTracker &loadTracker_;
    LoadLimitSettings settings_;
};

/// Prefers servers in the gateway's own availability zone.
class ZoneDistanceRule : public TargetRule
{
public:
    /// Load that a server in another zone may have less than one in the own zone to be preferred, in requests per slot.
    static constexpr double RemoteZonePenalty = 0.06;

    void apply(const TargetQuery &query, std::span<TargetCandidate> candidates) const override;
};

}
