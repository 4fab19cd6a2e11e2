#pragma once

#include "routing/replica_chooser.h"

namespace carawaypoint
{

/// Prefers the replica that probably caches the request's prefix while its load stays near the mean; otherwise takes the
/// less loaded of two random replicas, or of two random ones with a free slot. The load is the number of this daemon's
/// requests plus the peers' requests at the last report, corrected for the age of that report.
class CorrectedTwoChoicesChooser : public ReplicaChooser
{
public:
    Choice choose(std::span<TrackedReplica *const> candidates, const ChoiceRequest &request, RandomGenerator &random) override;
    double load(const TrackedReplica &entry) const override;

private:
    /// Whether the replica has a free slot within the limits of @p request.
    bool hasFreeSlot(const TrackedReplica &entry, const ChoiceRequest &request) const;
    /// Whether one of the slots for long work is free, for all daemons together and for this one.
    bool hasFreeLongSlot(const TrackedReplica &entry, const ChoiceRequest &request) const;
    /// Load with one more request, relative to the number of slots.
    double relativeLoad(const TrackedReplica &entry) const;
    /// The least loaded replica that caches the longest known prefix; else the owner of the prefix by rendezvous hashing.
    TrackedReplica *chooseByPrefix(std::span<TrackedReplica *const> candidates, const ChoiceRequest &request, Choice &choice) const;
    /// The less loaded of two random replicas; null when neither has a free slot.
    TrackedReplica *
    chooseByTwoChoices(std::span<TrackedReplica *const> candidates, const ChoiceRequest &request, RandomGenerator &random, Choice &choice) const;
    /// The less loaded of two random replicas among all that have a free slot; ejected replicas only when no other has one.
    TrackedReplica *chooseByScan(std::span<TrackedReplica *const> candidates, const ChoiceRequest &request, RandomGenerator &random, Choice &choice) const;
};

}
