// MemberTable: setters of local state and sums over peers. The exchange is in member_table.cpp.
#include "membership/member_table.h"
#include "membership/rendezvous.h"
#include "membership/roles.h"

#include <algorithm>
#include <limits>

namespace carawaypoint
{

namespace
{

// Only the largest counters of a member are published; smaller ones do not affect routing choices.
constexpr std::size_t MaxOwnCounts = 8;
// Only the largest counters of a zone's sum are sent to other zones, at this interval: every member of the other zone
// receives the whole sum, and replicas of other zones are used only when the own zone has no free capacity.
constexpr std::size_t MaxZoneCounts = 48;
constexpr Duration ZoneDemandInterval = seconds(10);
// Maximum number of crash suspects and leaving signals that one member publishes at the same time.
constexpr std::size_t MaxOwnSignals = 64;

std::vector<KeyCount> largest(std::vector<KeyCount> counts, std::size_t limit)
{
    std::erase_if(counts, [](const auto &item) { return item.count == 0; });
    std::sort(counts.begin(), counts.end(), [](const auto &a, const auto &b) { return a.count != b.count ? a.count > b.count : a.key < b.key; });
    counts.resize(std::min(counts.size(), limit));
    return counts;
}

std::vector<KeyCount> toCounts(const std::map<std::uint32_t, std::uint32_t> &sums)
{
    std::vector<KeyCount> counts;
    counts.reserve(sums.size());
    for (const auto &[key, sum] : sums) {
        counts.push_back({key, static_cast<std::uint16_t>(std::min<std::uint32_t>(sum, std::numeric_limits<std::uint16_t>::max()))});
    }
    return largest(std::move(counts), MaxZoneCounts);
}

}

void MemberTable::setObservation(const VmId &vm, const ServerState &state, TimePoint now)
{
    pendingLoad_[vm] = state;
    StateEntry entry;
    entry.kind = EntryKind::Observation;
    entry.key = vm.str();
    entry.server.fencing = state.fencing;
    entry.server.isSeen = state.isSeen;
    entry.server.isLoaded = state.isLoaded;
    entry.server.isLeaving = state.isLeaving;
    if (sharedState_.setOwn(std::move(entry), now, true)) {
        hasUrgentChanges_ = true;
        ++changeCount_;
    }
}

void MemberTable::removeObservation(const VmId &vm, TimePoint now)
{
    pendingLoad_.erase(vm);
    sharedState_.removeOwn(EntryKind::Observation, vm.str(), now);
    sharedState_.removeOwn(EntryKind::Load, vm.str(), now);
}

void MemberTable::recordProbeRound(TimePoint at)
{
    sharedState_.markOwnSeen(at);
}

void MemberTable::setDemand(std::vector<KeyCount> customers, std::vector<KeyCount> replicas)
{
    pendingDemand_.customers = largest(std::move(customers), MaxOwnCounts);
    pendingDemand_.replicas = largest(std::move(replicas), MaxOwnCounts);
}

void MemberTable::publishDemand(TimePoint now)
{
    if (now < nextDemandPublishAt_) {
        return;
    }
    const auto live = memberList_.liveMembers(memberList_.self().zone);
    const auto interval =
        std::max(options_.period, Duration(static_cast<std::int64_t>(static_cast<double>(live.size()) / options_.demandRecordsPerSecond * 1e6)));
    // Jitter of half the interval keeps members that started together from publishing at the same time.
    nextDemandPublishAt_ = now + interval * 3 / 4 + Duration(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(interval.count() / 2)));
    sharedState_.setOwn(pendingDemand_, now, false);
    for (const auto &[vm, server] : pendingLoad_) {
        StateEntry entry;
        entry.kind = EntryKind::Load;
        entry.key = vm.str();
        entry.server.running = server.running;
        entry.server.queued = server.queued;
        entry.server.runningLong = server.runningLong;
        entry.server.tokensPerSecond = server.tokensPerSecond;
        // Only the first of the two probers publishes the load.
        const auto probers = probersOf(vm, live);
        if (probers.empty() || probers.front() != memberList_.self().id) {
            sharedState_.removeOwn(EntryKind::Load, vm.str(), now);
            continue;
        }
        const bool isIdle = entry.server == ServerState{};
        if (!isIdle || sharedState_.findOwn(EntryKind::Load, vm.str()) != nullptr) {
            sharedState_.setOwn(std::move(entry), now, false);
        }
    }
    pendingLoad_.clear();
}

void MemberTable::reportCrashSuspect(const std::string &fingerprint, std::uint64_t weightThousandths, TimePoint now)
{
    StateEntry entry;
    entry.kind = EntryKind::CrashSuspect;
    entry.key = fingerprint;
    entry.number = weightThousandths;
    hasUrgentChanges_ = sharedState_.setOwn(std::move(entry), now, true) || hasUrgentChanges_;
    ownSignals_.emplace_back(now, std::pair(EntryKind::CrashSuspect, fingerprint));
    expireSignals(now);
}

void MemberTable::reportLeaving(const VmId &vm, TimePoint now)
{
    StateEntry entry;
    entry.kind = EntryKind::Leaving;
    entry.key = vm.str();
    hasUrgentChanges_ = sharedState_.setOwn(std::move(entry), now, true) || hasUrgentChanges_;
    ownSignals_.emplace_back(now, std::pair(EntryKind::Leaving, vm.str()));
    expireSignals(now);
}

void MemberTable::expireSignals(TimePoint now)
{
    while (!ownSignals_.empty() && (ownSignals_.size() > MaxOwnSignals || now - ownSignals_.front().first > options_.signalRetention)) {
        const auto signal = ownSignals_.front().second;
        ownSignals_.pop_front();
        const bool isRepeated = std::any_of(ownSignals_.begin(), ownSignals_.end(), [&](const auto &item) { return item.second == signal; });
        if (!isRepeated) {
            sharedState_.removeOwn(signal.first, signal.second, now);
        }
    }
}

void MemberTable::setGeneration(std::uint64_t generation, std::uint64_t digest)
{
    auto record = memberList_.self();
    if (record.generation == generation && record.generationDigest == digest) {
        return;
    }
    record.generation = generation;
    record.generationDigest = digest;
    memberList_.updateSelf(record);
    hasUrgentChanges_ = true;
    ++changeCount_;
}

void MemberTable::recordPlatformRevision(std::uint64_t revision)
{
    platformRevision_ = std::max(platformRevision_, revision);
}

void MemberTable::leave()
{
    auto record = memberList_.self();
    record.status = MemberStatus::Left;
    memberList_.updateSelf(record);
    isCurrent_ = false;
    hasUrgentChanges_ = true;
}

std::vector<PeerSignal> MemberTable::takeSignals()
{
    return std::exchange(receivedSignals_, {});
}

std::map<std::uint32_t, std::uint32_t> MemberTable::sumCounts(std::vector<KeyCount> StateEntry::*counts, bool isZoneOnly) const
{
    std::map<std::uint32_t, std::uint32_t> sums;
    const auto isAlive = [&](const MemberId &id) {
        const auto record = memberList_.find(id);
        return record && record->status == MemberStatus::Alive;
    };
    const auto addAll = [&](const StateEntry &entry) {
        for (const auto &item : entry.*counts) {
            sums[item.key] += item.count;
        }
    };
    for (const auto &[id, entry] : sharedState_.entriesOf(EntryKind::Demand, isAlive)) {
        if (isZoneOnly || id != memberList_.self().id) {
            addAll(*entry);
        }
    }
    if (isZoneOnly) {
        return sums;
    }
    // Both bridges of a zone pair publish the same sum; the one with the lowest member id is used.
    std::map<std::string, std::pair<MemberId, const StateEntry *>> zones;
    for (const auto &[id, entry] : sharedState_.entriesOf(EntryKind::ZoneDemand, isAlive)) {
        const auto [known, isNew] = zones.try_emplace(entry->key, id, entry);
        if (!isNew && id < known->second.first) {
            known->second = {id, entry};
        }
    }
    for (const auto &[zone, item] : zones) {
        addAll(*item.second);
    }
    return sums;
}

std::map<std::uint32_t, std::uint32_t> MemberTable::peerDemand() const
{
    return sumCounts(&StateEntry::customers, false);
}

std::map<std::uint32_t, std::uint32_t> MemberTable::peerInFlight() const
{
    return sumCounts(&StateEntry::replicas, false);
}

ZoneSummary MemberTable::summaryFor(const ZoneId &reader, TimePoint now) const
{
    auto summary = sharedState_.summarise(now, options_.observationBound);
    summary.isFresh = summary.isFresh && isCurrent_;
    if (!reader.isEmpty()) {
        summary.customers = toCounts(sumCounts(&StateEntry::customers, true));
        summary.replicas = toCounts(sumCounts(&StateEntry::replicas, true));
    }
    return summary;
}

void MemberTable::expireZoneEntries(TimePoint now)
{
    for (const auto &zone : sharedState_.ownKeys(EntryKind::ZoneFreshness)) {
        const auto age = now - TimePoint(StampUnit * static_cast<std::int64_t>(sharedState_.findOwn(EntryKind::ZoneFreshness, zone)->number));
        if (age <= MaxStampAge && isBridgeTo(ZoneId(zone), now)) {
            continue;
        }
        sharedState_.removeOwn(EntryKind::ZoneFreshness, zone, now);
        sharedState_.removeOwn(EntryKind::ZoneDemand, zone, now);
        for (const auto &vm : sharedState_.ownKeys(EntryKind::ZoneMissing)) {
            if (sharedState_.findOwn(EntryKind::ZoneMissing, vm)->number == keyHash(zone)) {
                sharedState_.removeOwn(EntryKind::ZoneMissing, vm, now);
            }
        }
    }
}

void MemberTable::applySummary(const PeerMessage &message, TimePoint now)
{
    const auto &summary = message.summary;
    if (!summary.isPresent || message.sender.zone == memberList_.self().zone || !isBridgeTo(message.sender.zone, now)) {
        return;
    }
    const auto &zone = message.sender.zone.str();
    if (summary.isFresh) {
        for (const auto &vm : summary.missing) {
            StateEntry entry;
            entry.kind = EntryKind::ZoneMissing;
            entry.key = vm;
            entry.number = keyHash(zone);
            sharedState_.setOwn(std::move(entry), now, false);
        }
        for (const auto &vm : sharedState_.ownKeys(EntryKind::ZoneMissing)) {
            const auto *entry = sharedState_.findOwn(EntryKind::ZoneMissing, vm);
            if (entry->number == keyHash(zone) && std::find(summary.missing.begin(), summary.missing.end(), vm) == summary.missing.end()) {
                sharedState_.removeOwn(EntryKind::ZoneMissing, vm, now);
            }
        }
        StateEntry freshness;
        freshness.kind = EntryKind::ZoneFreshness;
        freshness.key = zone;
        freshness.number = static_cast<std::uint64_t>((now.time_since_epoch() - milliseconds(summary.ageMs)) / StampUnit);
        const auto *known = sharedState_.findOwn(EntryKind::ZoneFreshness, zone);
        // At most one entry per period, since a bridge also receives summaries from the other zone's bridges.
        const auto step = static_cast<std::uint64_t>(options_.period * 9 / 10 / StampUnit);
        if (known == nullptr || known->number + step < freshness.number) {
            sharedState_.setOwn(std::move(freshness), now, false);
        }
    }
    auto &publishedAt = zoneDemandPublishedAt_[message.sender.zone];
    const auto bridges = bridgesOf(memberList_.self().zone, message.sender.zone, memberList_.liveMembers(memberList_.self().zone));
    if (now - publishedAt < ZoneDemandInterval || bridges.front() != memberList_.self().id) {
        return;
    }
    publishedAt = now;
    StateEntry demand;
    demand.kind = EntryKind::ZoneDemand;
    demand.key = zone;
    demand.customers = summary.customers;
    demand.replicas = summary.replicas;
    sharedState_.setOwn(std::move(demand), now, false);
}

}
