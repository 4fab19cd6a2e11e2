#pragma once

#include "core/moving_average.h"
#include "routing/replica_entry.h"

#include <memory>
#include <unordered_map>
#include <vector>

namespace carawaypoint
{

/// Eligible replicas of one model.
struct ReplicaPool {
    std::vector<ReplicaEntry *> ownZone;
    std::vector<ReplicaEntry *> otherZones;
    double ownZoneLoad = 0; // mean of (requests + 1) / slots
    double otherZonesLoad = 0;
    MovingAverage shortInFlight{0.0005}; // short requests of the whole fleet; 20 s at a refresh every 10 ms
    MovingAverage hiddenLong{0.0005}; // part of the long requests that were not recognised when they were sent; 20 s
    double slotSeconds = 0; // that short work holds a slot, mean; 0 when not known
    double longShare = 0.5; // of the slots that long work may hold; the configured share or what short work leaves

    std::size_t size() const
    {
        return ownZone.size() + otherZones.size();
    }
};

/// The replicas of the current snapshot with this daemon's counts, and the eligible ones of each model.
class ReplicaBook
{
public:
    using EntryPtr = std::shared_ptr<ReplicaEntry>;

    /// @param salt makes the rounding of limits differ between daemons.
    explicit ReplicaBook(std::uint64_t salt)
        : salt_(salt)
    {
    }

    /// Takes over @p snapshot, which the book keeps alive. Counts survive while replica and incarnation stay the same.
    void setSnapshot(RoutingSnapshotPtr snapshot, TimePoint now);
    const RoutingSnapshot *snapshot() const
    {
        return snapshot_.get();
    }

    /// Determines anew which replicas are eligible at @p now, and their mean load.
    void refresh(TimePoint now);
    /// Mean time that short requests of @p model hold a slot, for the correction of late reports.
    void setSlotSeconds(const ModelId &model, double slotSeconds)
    {
        pools_[model].slotSeconds = slotSeconds;
    }
    /// Eligible replicas of @p model as of the last refresh.
    const ReplicaPool &pool(const ModelId &model) const;
    const std::unordered_map<ModelId, ReplicaPool> &pools() const
    {
        return pools_;
    }
    /// Whether @p entry is eligible at @p now. After an attempt broke, every member has to be seen anew first.
    bool isEligible(const ReplicaEntry &entry, TimePoint now) const;
    /// The entry of that replica in the current snapshot; null when it is not in it.
    EntryPtr find(const ReplicaId &id) const;
    const std::unordered_map<ReplicaId, EntryPtr> &entries() const
    {
        return entries_;
    }
    /// Slots of the eligible replicas of this daemon's zone; of all zones when its own has none.
    double capacity() const;

private:
    void updateLongShare(ReplicaPool &pool) const;
    static void updateHiddenLong(ReplicaPool &pool);

    std::uint64_t salt_;
    RoutingSnapshotPtr snapshot_;
    std::unordered_map<ReplicaId, EntryPtr> entries_;
    std::unordered_map<ModelId, ReplicaPool> pools_;
};

}
