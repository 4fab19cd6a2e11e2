#include "routing/replica_table.h"

#include "routing/eligibility.h"

#include <algorithm>
#include <cmath>

namespace carawaypoint
{

namespace
{

// Slots reserved for short work: the mean number in use plus this many standard deviations of a Poisson distribution.
constexpr double ShortHeadroomDeviations = 2;
constexpr double MaxUndeclaredLongShare = 0.5; // a larger part is a random result of few requests
constexpr double MinShortShare = 1.0 / 8; // stays reserved without short work, because slots of long work do not become free soon

double meanRelativeLoadOf(const std::vector<TrackedReplica *> &entries)
{
    double sum = 0;
    for (const TrackedReplica *entry : entries) {
        sum += (entry->estimatedLoad() + 1) / entry->slots();
    }
    return entries.empty() ? 0 : sum / static_cast<double>(entries.size());
}

/// Corrects the peers' request counts for the age of the load reports. The part of the reported requests that is still
/// running decreases exponentially with the age; the ended ones are assumed to be replaced by the mean of the replicas.
void correctPeerEstimates(const std::vector<TrackedReplica *> &entries, double shortSlotSeconds, TimePoint now)
{
    if (entries.empty() || shortSlotSeconds <= 0) {
        return;
    }
    double mean = 0;
    for (const TrackedReplica *entry : entries) {
        mean += entry->reportedPeersShort() / static_cast<double>(entries.size());
    }
    for (TrackedReplica *entry : entries) {
        const double age = std::chrono::duration<double>(now - entry->reportedAt()).count();
        entry->correctPeerEstimate(mean, std::exp(-age / shortSlotSeconds));
    }
}

double trafficWeightedSlots(const std::vector<TrackedReplica *> &entries)
{
    double sum = 0;
    for (const TrackedReplica *entry : entries) {
        sum += entry->slots() * entry->trafficWeight();
    }
    return sum;
}

}

void ReplicaTable::setSnapshot(RoutingSnapshotPtr snapshot, TimePoint now)
{
    std::unordered_map<ReplicaId, EntryPtr> entries;
    entries.reserve(snapshot->replicas.size());
    for (const ReplicaView &view : snapshot->replicas) {
        const auto known = entries_.find(view.id);
        const bool isSame = known != entries_.end() && known->second->incarnation() == view.incarnation;
        EntryPtr entry = isSame ? known->second : std::make_shared<TrackedReplica>(view);
        entry->updateView(view, snapshot->isPeerExchangeFresh, salt_);
        entries.insert_or_assign(view.id, std::move(entry));
    }
    for (const auto &[id, entry] : entries_) {
        const auto kept = entries.find(id);
        if (kept == entries.end() || kept->second != entry) {
            entry->detachFromSnapshot();
        }
    }
    entries_.swap(entries);
    snapshot_ = std::move(snapshot);
    refreshPools(now);
}

void ReplicaTable::refreshPools(TimePoint now)
{
    for (auto &[model, pool] : pools_) {
        pool.ownZone.clear();
        pool.otherZones.clear();
    }
    if (!snapshot_) {
        return;
    }
    for (const ReplicaView &view : snapshot_->replicas) {
        TrackedReplica *entry = entries_.at(view.id).get();
        if (isEligible(*entry, now)) {
            ReplicaPool &pool = pools_[view.model];
            (view.zone == snapshot_->zone ? pool.ownZone : pool.otherZones).push_back(entry);
        }
    }
    for (auto &[model, pool] : pools_) {
        updateUndeclaredLong(pool);
        correctPeerEstimates(pool.ownZone, pool.shortSlotSeconds, now);
        correctPeerEstimates(pool.otherZones, pool.shortSlotSeconds, now);
        pool.ownZoneRelativeLoad = meanRelativeLoadOf(pool.ownZone);
        pool.otherZonesRelativeLoad = meanRelativeLoadOf(pool.otherZones);
        updateLongSlotShare(pool);
    }
}

void ReplicaTable::updateUndeclaredLong(ReplicaPool &pool)
{
    double allLong = 0;
    double undeclared = 0;
    for (const auto *zone : {&pool.ownZone, &pool.otherZones}) {
        for (const TrackedReplica *entry : *zone) {
            allLong += entry->inFlightLong();
            undeclared += entry->reclassified();
        }
    }
    if (allLong > 0) {
        pool.undeclaredLongShare.add(undeclared / allLong);
    }
    const double factor = 1 / (1 - std::min(MaxUndeclaredLongShare, pool.undeclaredLongShare.value()));
    for (const auto *zone : {&pool.ownZone, &pool.otherZones}) {
        for (TrackedReplica *entry : *zone) {
            entry->setUndeclaredLongFactor(factor);
        }
    }
}

void ReplicaTable::updateLongSlotShare(ReplicaPool &pool) const
{
    double slots = 0;
    double shortWork = 0;
    for (const auto *zone : {&pool.ownZone, &pool.otherZones}) {
        for (const TrackedReplica *entry : *zone) {
            slots += entry->slots();
            shortWork += std::max(0.0, entry->estimatedLoad() - entry->estimatedLong());
        }
    }
    if (slots == 0) {
        return;
    }
    const double configured = snapshot_->policy.longWorkSlotShare;
    if (!pool.shortInFlight.hasValue()) {
        pool.shortInFlight.add((1 - configured) * slots);
    }
    pool.shortInFlight.add(shortWork);
    const double shortSlots = pool.shortInFlight.value() + ShortHeadroomDeviations * std::sqrt(pool.shortInFlight.value());
    pool.longSlotShare = std::max(configured, 1 - std::max(MinShortShare, shortSlots / slots));
}

const ReplicaPool &ReplicaTable::pool(const ModelId &model) const
{
    static const ReplicaPool Empty;
    const auto found = pools_.find(model);
    return found == pools_.end() ? Empty : found->second;
}

bool ReplicaTable::isEligible(const TrackedReplica &entry, TimePoint now) const
{
    const ReplicaView *view = entry.view();
    if (!view || !isReplicaEligible(*view, now, snapshot_->policy.observationBound)) {
        return false;
    }
    return std::all_of(view->members.begin(), view->members.end(), [&](const ReplicaMemberView &member) { return member.lastSeen > entry.lostAt(); });
}

ReplicaTable::EntryPtr ReplicaTable::find(const ReplicaId &id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : found->second;
}

double ReplicaTable::capacity() const
{
    double ownZoneSlots = 0;
    double otherZonesSlots = 0;
    for (const auto &[model, pool] : pools_) {
        ownZoneSlots += trafficWeightedSlots(pool.ownZone);
        otherZonesSlots += trafficWeightedSlots(pool.otherZones);
    }
    return ownZoneSlots > 0 ? ownZoneSlots : otherZonesSlots;
}

}
