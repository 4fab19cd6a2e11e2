#pragma once

#include "core/moving_average.h"
#include "routing/tracked_replica.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace carawaypoint
{

/// Eligible replicas of one model and statistics of their load.
struct ReplicaPool {
    std::vector<TrackedReplica *> ownZone;
    std::vector<TrackedReplica *> otherZones;
    double ownZoneRelativeLoad = 0; // mean of (requests + 1) / slots over ownZone
    double otherZonesRelativeLoad = 0; // the same over otherZones
    MovingAverage shortInFlight{0.0005}; // short requests of all daemons; averaged over 20 s at a refresh every 10 ms
    MovingAverage undeclaredLongShare{0.0005}; // part of the long requests that were sent as short work; averaged over 20 s
    double shortSlotSeconds = 0; // mean time that short work holds a slot; 0 when unknown
    double longSlotShare = 0.5; // part of the slots that long work may hold: the configured share, or more when short work leaves it free

    std::size_t size() const
    {
        return ownZone.size() + otherZones.size();
    }
};

/// Table of the replicas in the current snapshot with this daemon's request counts, and of the eligible ones per model.
class ReplicaTable
{
public:
    using EntryPtr = std::shared_ptr<TrackedReplica>;

    /// @param salt seed of the rounding offsets that differ between daemons.
    explicit ReplicaTable(std::uint64_t salt)
        : salt_(salt)
    {
    }

    /// Replaces the snapshot, which the table keeps alive. Counts are kept for replicas whose incarnation is unchanged.
    void setSnapshot(RoutingSnapshotPtr snapshot, TimePoint now);
    const RoutingSnapshot *snapshot() const
    {
        return snapshot_.get();
    }

    /// Recomputes which replicas are eligible at @p now, and the load statistics of the pools.
    void refreshPools(TimePoint now);
    /// Sets the mean time that short requests of @p model hold a slot, for the correction of old load reports.
    void setShortSlotSeconds(const ModelId &model, double shortSlotSeconds)
    {
        pools_[model].shortSlotSeconds = shortSlotSeconds;
    }
    /// Eligible replicas of @p model as of the last refreshPools().
    const ReplicaPool &pool(const ModelId &model) const;
    const std::unordered_map<ModelId, ReplicaPool> &pools() const
    {
        return pools_;
    }
    /// Whether @p entry is eligible at @p now. After an attempt broke, it is ineligible until every member was seen again.
    bool isEligible(const TrackedReplica &entry, TimePoint now) const;
    /// The entry of the replica; null when it is not in the current snapshot.
    EntryPtr find(const ReplicaId &id) const;
    const std::unordered_map<ReplicaId, EntryPtr> &entries() const
    {
        return entries_;
    }
    /// Slots of the eligible replicas in this daemon's zone, scaled by traffic weight; of the other zones when its own has none.
    double capacity() const;

private:
    void updateLongSlotShare(ReplicaPool &pool) const;
    static void updateUndeclaredLong(ReplicaPool &pool);

    std::uint64_t salt_;
    RoutingSnapshotPtr snapshot_;
    std::unordered_map<ReplicaId, EntryPtr> entries_;
    std::unordered_map<ModelId, ReplicaPool> pools_;
};

}
