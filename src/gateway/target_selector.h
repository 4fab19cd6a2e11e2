#pragma once

#include "gateway/backend_load_tracker.h"
#include "gateway/target_selection.h"

#include <memory>
#include <random>
#include <vector>

namespace carawaypoint
{

/// The result of TargetSelector::choose().
struct TargetChoice {
    const ServingTarget *target = nullptr; // null when no target is available
    bool isFull = false; // some target is healthy, but none has free capacity
    double load = 0; // of the target, or the lowest load when all are full; without the estimated ended requests
    double freeCapacity = 0; // requests that all targets together can accept
    double expected = 0; // requests of all gateways that compete for freeCapacity
};

/// Chooses the backend server of a request by a sequence of rules. Does no I/O; time and random generator are passed in.
class TargetSelector
{
public:
    void addRule(std::unique_ptr<TargetRule> rule);

    /// The candidates of a request as the rules see them.
    TargetCandidates evaluate(const TargetQuery &query) const;
    /// Chooses a target with a low load per slot, preferring servers that are not in backoff. If the requests that all gateways send meanwhile
    /// exceed the free capacity, each gateway admits the share that fits. Started streams are always admitted.
    TargetChoice choose(const TargetQuery &query, std::mt19937_64 &random) const;

private:
    std::vector<std::unique_ptr<TargetRule>> rules_;
};

/// The rules of a gateway for @p loadTracker, which must outlive the result.
TargetSelector makeTargetSelector(const BackendLoadTracker &loadTracker);

}
