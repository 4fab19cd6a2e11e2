#include "routing/replica_book.h"

#include "routing/eligibility.h"

namespace carawaypoint
{

void ReplicaBook::setSnapshot(RoutingSnapshotPtr snapshot, TimePoint now)
{
    std::unordered_map<ReplicaId, EntryPtr> entries;
    entries.reserve(snapshot->replicas.size());
    for (const ReplicaView &view : snapshot->replicas) {
        const auto known = entries_.find(view.id);
        const bool isSame = known != entries_.end() && known->second->incarnation() == view.incarnation;
        EntryPtr entry = isSame ? known->second : std::make_shared<ReplicaEntry>(view);
        if (known != entries_.end() && !isSame) {
            known->second->detach();
        }
        entry->update(view, snapshot->isPeerExchangeFresh);
        entries.insert_or_assign(view.id, std::move(entry));
    }
    for (const auto &[id, entry] : entries_) {
        if (!entries.contains(id)) {
            entry->detach();
        }
    }
    entries_.swap(entries);
    snapshot_ = std::move(snapshot);
    refresh(now);
}

void ReplicaBook::refresh(TimePoint now)
{
    for (auto &[model, list] : eligible_) {
        list.clear();
    }
    if (!snapshot_) {
        return;
    }
    for (const ReplicaView &view : snapshot_->replicas) {
        if (isReplicaEligible(view, now, snapshot_->policy.observationBound)) {
            eligible_[view.model].push_back(entries_.at(view.id).get());
        }
    }
}

std::span<ReplicaEntry *const> ReplicaBook::eligible(const ModelId &model) const
{
    const auto found = eligible_.find(model);
    return found == eligible_.end() ? std::span<ReplicaEntry *const>() : std::span<ReplicaEntry *const>(found->second);
}

bool ReplicaBook::isEligible(const ReplicaEntry &entry, TimePoint now) const
{
    return entry.view() != nullptr && isReplicaEligible(*entry.view(), now, snapshot_->policy.observationBound);
}

ReplicaBook::EntryPtr ReplicaBook::find(const ReplicaId &id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : found->second;
}

}
