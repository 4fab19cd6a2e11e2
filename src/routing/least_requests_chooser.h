#pragma once

#include "routing/replica_chooser.h"

namespace carawaypoint
{

/// Baseline: takes the replica with the fewest requests by the engine's late report.
class LeastRequestsChooser : public ReplicaChooser
{
public:
    Choice choose(std::span<ReplicaEntry *const> candidates, const ChoiceRequest &request, RandomGenerator &random) override;
    double load(const ReplicaEntry &entry) const override;
};

}
