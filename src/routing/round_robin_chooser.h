#pragma once

#include "routing/replica_chooser.h"

namespace carawaypoint
{

/// Baseline strategy: chooses the replicas in turn and counts only this daemon's own requests.
class RoundRobinChooser : public ReplicaChooser
{
public:
    Choice choose(std::span<TrackedReplica *const> candidates, const ChoiceRequest &request, RandomGenerator &random) override;
    double load(const TrackedReplica &entry) const override;

private:
    std::size_t nextIndex_ = 0;
};

}
