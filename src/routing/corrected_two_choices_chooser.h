#pragma once

#include "routing/replica_chooser.h"

namespace carawaypoint
{

/// Prefers the replica that probably caches the request's prefix while its load stays near the mean; otherwise takes the
/// less loaded of two random replicas. The load is the daemon's own requests plus the last known count of the peers.
class CorrectedTwoChoicesChooser : public ReplicaChooser
{
public:
    Choice choose(std::span<ReplicaEntry *const> candidates, const ChoiceRequest &request, RandomGenerator &random) override;
    double load(const ReplicaEntry &entry) const override;

private:
    bool hasRoom(const ReplicaEntry &entry, const ChoiceRequest &request) const;
    bool hasRoomForLong(const ReplicaEntry &entry, const ChoiceRequest &request) const;
    double relativeLoad(const ReplicaEntry &entry) const;
    ReplicaEntry *byPrefix(std::span<ReplicaEntry *const> candidates, const ChoiceRequest &request, Choice &choice) const;
    ReplicaEntry *byTwoChoices(std::span<ReplicaEntry *const> candidates, const ChoiceRequest &request, RandomGenerator &random, Choice &choice) const;
    ReplicaEntry *byScan(std::span<ReplicaEntry *const> candidates, const ChoiceRequest &request, RandomGenerator &random, Choice &choice) const;
};

}
