#pragma once

#include "routing/replica_chooser.h"

namespace carawaypoint
{

/// Baseline: takes the replicas in turn and knows only the daemon's own requests.
class RoundRobinChooser : public ReplicaChooser
{
public:
    Choice choose(std::span<ReplicaEntry *const> candidates, const ChoiceRequest &request, RandomGenerator &random) override;
    double load(const ReplicaEntry &entry) const override;

private:
    std::size_t next_ = 0;
};

}
