#pragma once

#include "routing/replica_chooser.h"

namespace carawaypoint
{

/// Baseline strategy: chooses the replica with the fewest requests by the engine's last load report, which may be old.
class LeastRequestsChooser : public ReplicaChooser
{
public:
    Choice choose(std::span<TrackedReplica *const> candidates, const ChoiceRequest &request, RandomGenerator &random) override;
    double load(const TrackedReplica &entry) const override;
};

}
