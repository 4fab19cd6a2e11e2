#pragma once

#include "routing/prefix_index.h"
#include "routing/quarantine.h"
#include "routing/replica_chooser.h"
#include "routing/replica_table.h"
#include "routing/request_record.h"
#include "routing/suspect_placer.h"

#include <memory>
#include <string>
#include <vector>

namespace carawaypoint
{

/// Selects the replica for a request. Crash suspects are placed by SuspectPlacer; all other requests by the selected
/// strategy, first in the daemon's own zone and then in the other zones.
class ReplicaSelector
{
public:
    explicit ReplicaSelector(std::uint64_t seed);

    /// Selects the strategy by name; an unknown name changes nothing.
    void setStrategy(const std::string &name);
    /// Limits for a choice that follow from the daemon's queues and the customers' shares; see ChoiceRequest.
    struct Limits {
        double headroomFraction = 0; // part of a replica's slots that must stay free after the grant
        double freeSlotShare = 1; // this daemon's part of the free slots
        bool isLimitedToDaemonShare = false; // whether only the daemon's part of the slots may be used
        bool limitsLongWork = true; // whether the slots of long work are limited
    };
    /// Chooses a replica for @p record; the choice has no entry when none has a free slot within @p limits.
    Choice select(RequestRecord &record, const ReplicaTable &replicaTable, const Quarantine &quarantine, const Limits &limits, TimePoint now);
    double load(const TrackedReplica &entry) const
    {
        return chooser_->load(entry);
    }
    PrefixIndex &prefixIndex()
    {
        return prefixIndex_;
    }

private:
    Choice selectFrom(const std::vector<TrackedReplica *> &zone,
                      const RequestRecord &record,
                      const ReplicaTable &replicaTable,
                      const ChoiceRequest &request,
                      TimePoint now);
    /// Eligible replicas of @p zone that are neither excluded by the request nor isolated; valid until the next call.
    std::span<TrackedReplica *const>
    eligibleCandidates(const std::vector<TrackedReplica *> &zone, const RequestRecord &record, const ReplicaTable &replicaTable, TimePoint now);

    RandomGenerator random_;
    std::string name_;
    std::unique_ptr<ReplicaChooser> chooser_;
    PrefixIndex prefixIndex_;
    SuspectPlacer suspectPlacer_;
    std::vector<TrackedReplica *> candidatesOfZone_; // result of eligibleCandidates(), a member to reuse its memory
    std::vector<TrackedReplica *> candidatesOfAllZones_; // candidates for a crash suspect, a member to reuse its memory
};

}
