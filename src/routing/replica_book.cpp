#include "routing/replica_book.h"

#include "routing/eligibility.h"

#include <algorithm>
#include <cmath>

namespace carawaypoint
{

namespace
{

// Slots kept for short work: its mean use plus this many standard deviations of a Poisson number.
constexpr double ShortHeadroomDeviations = 2;
constexpr double MaxHiddenLong = 0.5; // a larger part is a chance result of few requests
constexpr double MinShortShare = 1.0 / 8; // kept even after a time without short work, since long work does not end soon

double meanLoad(const std::vector<ReplicaEntry *> &entries)
{
    double sum = 0;
    for (const ReplicaEntry *entry : entries) {
        sum += (entry->estimatedLoad() + 1) / entry->slots();
    }
    return entries.empty() ? 0 : sum / static_cast<double>(entries.size());
}

/// Of the requests that a report counted, a part that shrinks with its age is still there; the others were replaced by
/// requests that are spread like the mean.
void correctPeers(const std::vector<ReplicaEntry *> &entries, double slotSeconds, TimePoint now)
{
    if (entries.empty() || slotSeconds <= 0) {
        return;
    }
    double mean = 0;
    for (const ReplicaEntry *entry : entries) {
        mean += entry->reportedPeersShort() / static_cast<double>(entries.size());
    }
    for (ReplicaEntry *entry : entries) {
        const double age = std::chrono::duration<double>(now - entry->reportedAt()).count();
        entry->correctPeers(mean, std::exp(-age / slotSeconds));
    }
}

double slotsOf(const std::vector<ReplicaEntry *> &entries)
{
    double sum = 0;
    for (const ReplicaEntry *entry : entries) {
        sum += entry->slots() * entry->weight();
    }
    return sum;
}

}

void ReplicaBook::setSnapshot(RoutingSnapshotPtr snapshot, TimePoint now)
{
    std::unordered_map<ReplicaId, EntryPtr> entries;
    entries.reserve(snapshot->replicas.size());
    for (const ReplicaView &view : snapshot->replicas) {
        const auto known = entries_.find(view.id);
        const bool isSame = known != entries_.end() && known->second->incarnation() == view.incarnation;
        EntryPtr entry = isSame ? known->second : std::make_shared<ReplicaEntry>(view);
        entry->update(view, snapshot->isPeerExchangeFresh, salt_);
        entries.insert_or_assign(view.id, std::move(entry));
    }
    for (const auto &[id, entry] : entries_) {
        const auto kept = entries.find(id);
        if (kept == entries.end() || kept->second != entry) {
            entry->detach();
        }
    }
    entries_.swap(entries);
    snapshot_ = std::move(snapshot);
    refresh(now);
}

void ReplicaBook::refresh(TimePoint now)
{
    for (auto &[model, pool] : pools_) {
        pool.ownZone.clear();
        pool.otherZones.clear();
    }
    if (!snapshot_) {
        return;
    }
    for (const ReplicaView &view : snapshot_->replicas) {
        ReplicaEntry *entry = entries_.at(view.id).get();
        if (isEligible(*entry, now)) {
            ReplicaPool &pool = pools_[view.model];
            (view.zone == snapshot_->zone ? pool.ownZone : pool.otherZones).push_back(entry);
        }
    }
    for (auto &[model, pool] : pools_) {
        updateHiddenLong(pool);
        correctPeers(pool.ownZone, pool.slotSeconds, now);
        correctPeers(pool.otherZones, pool.slotSeconds, now);
        pool.ownZoneLoad = meanLoad(pool.ownZone);
        pool.otherZonesLoad = meanLoad(pool.otherZones);
        updateLongShare(pool);
    }
}

void ReplicaBook::updateHiddenLong(ReplicaPool &pool)
{
    double all = 0;
    double hidden = 0;
    for (const auto *zone : {&pool.ownZone, &pool.otherZones}) {
        for (const ReplicaEntry *entry : *zone) {
            all += entry->inFlightLong();
            hidden += entry->reclassified();
        }
    }
    if (all > 0) {
        pool.hiddenLong.add(hidden / all);
    }
    const double factor = 1 / (1 - std::min(MaxHiddenLong, pool.hiddenLong.value()));
    for (const auto *zone : {&pool.ownZone, &pool.otherZones}) {
        for (ReplicaEntry *entry : *zone) {
            entry->setHiddenLongFactor(factor);
        }
    }
}

void ReplicaBook::updateLongShare(ReplicaPool &pool) const
{
    double slots = 0;
    double shortWork = 0;
    for (const auto *zone : {&pool.ownZone, &pool.otherZones}) {
        for (const ReplicaEntry *entry : *zone) {
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
    const double kept = pool.shortInFlight.value() + ShortHeadroomDeviations * std::sqrt(pool.shortInFlight.value());
    pool.longShare = std::max(configured, 1 - std::max(MinShortShare, kept / slots));
}

const ReplicaPool &ReplicaBook::pool(const ModelId &model) const
{
    static const ReplicaPool Empty;
    const auto found = pools_.find(model);
    return found == pools_.end() ? Empty : found->second;
}

bool ReplicaBook::isEligible(const ReplicaEntry &entry, TimePoint now) const
{
    const ReplicaView *view = entry.view();
    if (!view || !isReplicaEligible(*view, now, snapshot_->policy.observationBound)) {
        return false;
    }
    return std::all_of(view->members.begin(), view->members.end(), [&](const ReplicaMemberView &member) { return member.lastSeen > entry.lostAt(); });
}

ReplicaBook::EntryPtr ReplicaBook::find(const ReplicaId &id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : found->second;
}

double ReplicaBook::capacity() const
{
    double own = 0;
    double others = 0;
    for (const auto &[model, pool] : pools_) {
        own += slotsOf(pool.ownZone);
        others += slotsOf(pool.otherZones);
    }
    return own > 0 ? own : others;
}

}
