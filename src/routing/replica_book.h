#pragma once

#include "routing/replica_entry.h"

#include <memory>
#include <span>
#include <unordered_map>
#include <vector>

namespace carawaypoint
{

/// The replicas of the current snapshot with this daemon's counts, and the eligible ones of each model.
class ReplicaBook
{
public:
    using EntryPtr = std::shared_ptr<ReplicaEntry>;

    /// Takes over @p snapshot, which the book keeps alive. Counts survive while replica and incarnation stay the same.
    void setSnapshot(RoutingSnapshotPtr snapshot, TimePoint now);
    const RoutingSnapshot *snapshot() const
    {
        return snapshot_.get();
    }

    /// Determines anew which replicas are eligible at @p now.
    void refresh(TimePoint now);
    /// Eligible replicas of @p model as of the last refresh.
    std::span<ReplicaEntry *const> eligible(const ModelId &model) const;
    /// Whether @p entry is eligible at @p now.
    bool isEligible(const ReplicaEntry &entry, TimePoint now) const;
    /// The entry of that replica in the current snapshot; null when it is not in it.
    EntryPtr find(const ReplicaId &id) const;
    const std::unordered_map<ReplicaId, EntryPtr> &entries() const
    {
        return entries_;
    }

private:
    RoutingSnapshotPtr snapshot_;
    std::unordered_map<ReplicaId, EntryPtr> entries_;
    std::unordered_map<ModelId, std::vector<ReplicaEntry *>> eligible_;
};

}
