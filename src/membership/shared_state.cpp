#include "membership/shared_state.h"

#include "membership/rendezvous.h"

#include <algorithm>
#include <unordered_map>

namespace carawaypoint
{

namespace
{

// An urgent change is pushed without a request for this long. It reaches every member of a zone of 83 within this time.
constexpr Duration UrgentPushDuration = seconds(2);
// Stamps include a changed owner of another zone for this long, so that members request the change at once.
constexpr Duration ChangedStampDuration = seconds(5);
// Owners of other zones that each message includes in turn, so that members request changes that they missed.
constexpr std::size_t RotatingStampCount = 8;
// Maximum number of markers of removed entries per owner. Above it, the markers are deleted and the live entries get new versions.
constexpr std::size_t MaxRemovedMarkers = 256;
// Assumed maximum difference between the rates of two clocks; a stored clock offset grows by it over time.
constexpr std::int64_t MaxClockDriftPpm = 200;

constexpr bool isZoneLocal(EntryKind kind)
{
    return kind == EntryKind::Demand || kind == EntryKind::Load || kind == EntryKind::ZoneFreshness || kind == EntryKind::ZoneMissing
        || kind == EntryKind::ZoneDemand;
}

/// Whether a reader needs all changes of this kind before it may use a freshness stamp.
constexpr bool isException(EntryKind kind)
{
    return kind == EntryKind::Observation || kind == EntryKind::ZoneFreshness || kind == EntryKind::ZoneMissing;
}

bool isSameValue(const StateEntry &a, const StateEntry &b)
{
    return a.isRemoved == b.isRemoved && a.number == b.number && a.server == b.server && a.customers == b.customers && a.replicas == b.replicas;
}

Duration ticksToDuration(std::int64_t ticks)
{
    return StampUnit * ticks;
}

std::unordered_map<std::uint32_t, const OwnerStamp *> byOwner(const std::vector<OwnerStamp> &stamps)
{
    std::unordered_map<std::uint32_t, const OwnerStamp *> index;
    for (const auto &stamp : stamps) {
        index.emplace(stamp.owner, &stamp);
    }
    return index;
}

}

SharedState::SharedState(MemberRecord self, TimePoint now)
    : self_(std::move(self))
{
    ownState_.id = self_.id;
    ownState_.zone = self_.zone;
    ownState_.key = ownerKey(self_.id, self_.process);
    ownState_.version = 1; // 0 means unknown in a stamp
    ownState_.hasTicks = true;
    ownState_.hasOffset = true;
    markOwnSeen(now);
}

bool SharedState::setOwn(StateEntry entry, TimePoint now, bool isUrgent)
{
    const Key key{entry.kind, entry.key};
    const auto found = ownState_.entries.find(key);
    if (found != ownState_.entries.end() && isSameValue(found->second, entry)) {
        return false;
    }
    if (isUrgent) {
        if (now >= ownState_.urgentUntil) {
            ownState_.urgentBaseVersion = ownState_.version;
        }
        ownState_.urgentUntil = now + UrgentPushDuration;
    }
    entry.version = ++ownState_.version;
    ownState_.exceptionVersion = isException(entry.kind) ? entry.version : ownState_.exceptionVersion;
    ownState_.entries[key] = std::move(entry);
    limitRemovedMarkers(now);
    return true;
}

void SharedState::removeOwn(EntryKind kind, std::string_view key, TimePoint now)
{
    const auto found = ownState_.entries.find({kind, std::string(key)});
    if (found == ownState_.entries.end() || found->second.isRemoved) {
        return;
    }
    StateEntry removed;
    removed.kind = kind;
    removed.key = key;
    removed.isRemoved = true;
    setOwn(std::move(removed), now, kind == EntryKind::Observation);
}

void SharedState::limitRemovedMarkers(TimePoint now)
{
    const auto removed = std::count_if(ownState_.entries.begin(), ownState_.entries.end(), [](const auto &item) { return item.second.isRemoved; });
    if (static_cast<std::size_t>(removed) <= MaxRemovedMarkers) {
        return;
    }
    std::erase_if(ownState_.entries, [](const auto &item) { return item.second.isRemoved; });
    ownState_.floor = ownState_.version;
    for (auto &[key, entry] : ownState_.entries) {
        entry.version = ++ownState_.version;
    }
    ownState_.exceptionVersion = ownState_.version;
    ownState_.urgentUntil = now;
}

const StateEntry *SharedState::findOwn(EntryKind kind, std::string_view key) const
{
    const auto found = ownState_.entries.find({kind, std::string(key)});
    return found == ownState_.entries.end() || found->second.isRemoved ? nullptr : &found->second;
}

std::vector<std::string> SharedState::ownKeys(EntryKind kind) const
{
    std::vector<std::string> keys;
    for (const auto &[key, entry] : ownState_.entries) {
        if (key.first == kind && !entry.isRemoved) {
            keys.push_back(key.second);
        }
    }
    return keys;
}

void SharedState::markOwnSeen(TimePoint at)
{
    ownState_.lastSeen = std::max(ownState_.lastSeen, at);
    ownState_.ticks = ownState_.lastSeen.time_since_epoch() / StampUnit;
}

void SharedState::addOwner(const MemberRecord &member)
{
    const auto key = ownerKey(member.id, member.process);
    if (key == ownState_.key || owners_.contains(key)) {
        return;
    }
    removeOwner(member.id);
    auto &owner = owners_[key];
    owner.id = member.id;
    owner.zone = member.zone;
    owner.key = key;
}

void SharedState::removeOwner(const MemberId &id)
{
    std::erase_if(owners_, [&](const auto &item) { return item.second.id == id; });
}

void SharedState::markAllStale()
{
    for (auto &[key, owner] : owners_) {
        owner.lastSeen = {};
    }
    ownState_.lastSeen = {};
}

const SharedState::OwnerState *SharedState::findOwner(std::uint32_t key) const
{
    if (key == ownState_.key) {
        return &ownState_;
    }
    const auto found = owners_.find(key);
    return found == owners_.end() ? nullptr : &found->second;
}

std::vector<OwnerStamp> SharedState::zoneStamps(TimePoint now)
{
    std::vector<OwnerStamp> stamps{stampOf(ownState_, now)};
    for (const auto &[key, owner] : owners_) {
        if (owner.zone == self_.zone || owner.changedStampUntil > now) {
            stamps.push_back(stampOf(owner, now));
        }
    }
    auto it = owners_.upper_bound(lastRotatingOwner_);
    std::size_t added = 0;
    for (std::size_t i = 0; i < owners_.size() && added < RotatingStampCount; ++i, ++it) {
        if (it == owners_.end()) {
            it = owners_.begin();
        }
        if (it->second.zone != self_.zone && it->second.changedStampUntil <= now) {
            stamps.push_back(stampOf(it->second, now));
            lastRotatingOwner_ = it->first;
            ++added;
        }
    }
    return stamps;
}

OwnerStamp SharedState::stampOf(const OwnerState &owner, TimePoint now)
{
    const bool hasStamp = owner.hasTicks && now - owner.lastSeen <= MaxStampAge;
    const auto since = std::min<std::uint32_t>(owner.version - owner.exceptionVersion, 255);
    return {owner.key, static_cast<std::uint16_t>(hasStamp ? owner.ticks : 0), owner.version, hasStamp, static_cast<std::uint8_t>(since)};
}

std::vector<OwnerStamp> SharedState::versionStampsOf(const ZoneId &zone) const
{
    std::vector<OwnerStamp> stamps;
    for (const auto &[key, owner] : owners_) {
        if (owner.zone == zone) {
            stamps.push_back({key, 0, owner.version, false, 0});
        }
    }
    return stamps;
}

std::vector<OwnerStamp> SharedState::allStamps(TimePoint now) const
{
    std::vector<OwnerStamp> stamps{stampOf(ownState_, now)};
    for (const auto &[key, owner] : owners_) {
        stamps.push_back(stampOf(owner, now));
    }
    return stamps;
}

std::vector<OwnerStamp> SharedState::newerStamps(const std::vector<OwnerStamp> &theirs, const ZoneId &reader, TimePoint now) const
{
    const auto known = byOwner(theirs);
    std::vector<OwnerStamp> newer;
    const auto addIfNewer = [&](const OwnerState &owner) {
        const auto stamp = stampOf(owner, now);
        const auto found = known.find(owner.key);
        if (owner.zone != reader || !stamp.hasStamp) {
            return;
        }
        if (found == known.end() || !found->second->hasStamp || static_cast<std::int16_t>(stamp.stamp - found->second->stamp) > 0) {
            newer.push_back(stamp);
        }
    };
    addIfNewer(ownState_);
    for (const auto &[key, owner] : owners_) {
        addIfNewer(owner);
    }
    return newer;
}

std::optional<OwnerDelta> SharedState::deltaFor(const OwnerState &owner, std::uint32_t known, const ZoneId &reader, std::size_t limit) const
{
    if (owner.version <= known || limit == 0) {
        return std::nullopt;
    }
    std::vector<const StateEntry *> newer;
    for (const auto &[key, entry] : owner.entries) {
        if (entry.version > known && (owner.zone == reader || !isZoneLocal(entry.kind))) {
            newer.push_back(&entry);
        }
    }
    std::sort(newer.begin(), newer.end(), [](const auto *a, const auto *b) { return a->version < b->version; });
    OwnerDelta delta{owner.key, known, owner.floor, owner.version, {}};
    if (owner.zone != reader) {
        // For readers in other zones, upTo covers only entries sent to them; otherwise each change of demand would cause a delta.
        if (newer.empty()) {
            return std::nullopt;
        }
        delta.upTo = newer.back()->version;
    }
    for (const auto *entry : newer) {
        if (delta.entries.size() == limit) {
            delta.upTo = delta.entries.back().version;
            break;
        }
        delta.entries.push_back(*entry);
    }
    return delta;
}

std::vector<OwnerDelta> SharedState::newerDeltas(const std::vector<OwnerStamp> &theirs, const ZoneId &reader, std::size_t limit, RandomGenerator &random) const
{
    std::vector<OwnerDelta> deltas;
    if (theirs.empty()) {
        return deltas;
    }
    const auto begin = random() % theirs.size();
    for (std::size_t i = 0; i < theirs.size() && limit > 0; ++i) {
        const auto &stamp = theirs[(begin + i) % theirs.size()];
        const auto *known = findOwner(stamp.owner);
        if (known == nullptr) {
            continue;
        }
        if (auto delta = deltaFor(*known, stamp.version, reader, limit)) {
            limit -= delta->entries.size();
            deltas.push_back(std::move(*delta));
        }
    }
    return deltas;
}

std::vector<OwnerDelta> SharedState::urgentDeltas(TimePoint now, const ZoneId &reader, std::size_t limit) const
{
    std::vector<OwnerDelta> deltas;
    const auto addIfUrgent = [&](const OwnerState &owner) {
        if (owner.urgentUntil <= now) {
            return;
        }
        if (auto delta = deltaFor(owner, owner.urgentBaseVersion, reader, limit)) {
            limit -= delta->entries.size();
            deltas.push_back(std::move(*delta));
        }
    };
    addIfUrgent(ownState_);
    for (const auto &[key, owner] : owners_) {
        addIfUrgent(owner);
    }
    return deltas;
}

std::vector<OwnerDelta> SharedState::allDeltas() const
{
    std::vector<OwnerDelta> deltas;
    const auto add = [&](const OwnerState &owner) {
        if (auto delta = deltaFor(owner, 0, owner.zone, MaxFullEntries)) {
            deltas.push_back(std::move(*delta));
        }
    };
    add(ownState_);
    for (const auto &[key, owner] : owners_) {
        add(owner);
    }
    return deltas;
}

std::vector<StateEntry> SharedState::apply(const std::vector<OwnerDelta> &deltas, const std::vector<OwnerStamp> &stamps, TimePoint now)
{
    std::vector<StateEntry> added;
    for (const auto &delta : deltas) {
        const auto found = owners_.find(delta.owner);
        if (found == owners_.end() || delta.from > found->second.version || delta.upTo <= found->second.version) {
            continue;
        }
        auto &owner = found->second;
        const auto before = owner.version;
        const auto addedBefore = added.size();
        bool isUrgent = false;
        std::erase_if(owner.entries, [&](const auto &item) { return item.second.version <= delta.floor; });
        for (const auto &entry : delta.entries) {
            if (entry.version <= before || entry.version > delta.upTo) {
                continue;
            }
            isUrgent = isUrgent || !isZoneLocal(entry.kind);
            owner.exceptionVersion = isException(entry.kind) ? std::max(owner.exceptionVersion, entry.version) : owner.exceptionVersion;
            owner.entries[{entry.kind, entry.key}] = entry;
            added.push_back(entry);
        }
        owner.version = delta.upTo;
        owner.floor = std::max(owner.floor, delta.floor);
        if (added.size() > addedBefore) {
            owner.changedStampUntil = now + ChangedStampDuration;
        }
        // Entries that a new or restarted reader receives as its first state are not urgent changes.
        if (isUrgent && before > 0 && owner.zone == self_.zone) {
            if (now >= owner.urgentUntil) {
                owner.urgentBaseVersion = before;
            }
            owner.urgentUntil = now + UrgentPushDuration;
        }
    }
    for (const auto &stamp : stamps) {
        const auto found = owners_.find(stamp.owner);
        if (found != owners_.end()) {
            applyStamp(found->second, stamp, now);
        }
    }
    return added;
}

void SharedState::applyStamp(OwnerState &owner, const OwnerStamp &stamp, TimePoint now)
{
    if (!stamp.hasStamp || stamp.version - std::min<std::uint32_t>(stamp.version, stamp.sinceException) > owner.version || owner.zone != self_.zone) {
        return; // observations that this stamp depends on are not known yet
    }
    if (!owner.hasTicks) {
        // The first stamp may be old, so it is not used until a later stamp shows that the owner's clock advances.
        owner.hasTicks = true;
        owner.ticks = stamp.stamp;
        return;
    }
    const auto step = static_cast<std::int16_t>(stamp.stamp - static_cast<std::uint16_t>(owner.ticks));
    if (step <= 0) {
        return;
    }
    owner.ticks += step;
    // The minimum difference comes from the fastest delivery, so a delayed stamp does not look fresh.
    const auto difference = now.time_since_epoch() - ticksToDuration(owner.ticks);
    const auto loosened = owner.offset + (now - owner.offsetAt) * MaxClockDriftPpm / 1'000'000;
    owner.offset = owner.hasOffset ? std::min(loosened, difference) : difference;
    owner.offsetAt = now;
    owner.hasOffset = true;
    owner.lastSeen = TimePoint(ticksToDuration(owner.ticks) + owner.offset);
}

std::vector<std::pair<MemberId, const StateEntry *>> SharedState::entriesOf(EntryKind kind, const MemberFilter &isIncluded) const
{
    std::vector<std::pair<MemberId, const StateEntry *>> entries;
    const auto add = [&](const OwnerState &owner) {
        if (!isIncluded(owner.id)) {
            return;
        }
        for (auto it = owner.entries.lower_bound({kind, {}}); it != owner.entries.end() && it->first.first == kind; ++it) {
            if (!it->second.isRemoved) {
                entries.emplace_back(owner.id, &it->second);
            }
        }
    };
    add(ownState_);
    for (const auto &[key, owner] : owners_) {
        add(owner);
    }
    return entries;
}

std::size_t SharedState::entryCount() const
{
    auto count = ownState_.entries.size();
    for (const auto &[key, owner] : owners_) {
        count += owner.entries.size();
    }
    return count;
}

}
