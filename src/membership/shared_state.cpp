#include "membership/shared_state.h"

#include "membership/rendezvous.h"

#include <algorithm>
#include <unordered_map>

namespace carawaypoint
{

namespace
{

// An urgent change is pushed unasked for this long, in which it reaches every member of a zone of 83 by exchanges.
constexpr Duration HotTime = seconds(2);
// A changed owner of another zone is named in stamps for this long, so that members pull the change at once.
constexpr Duration ChangedTime = seconds(5);
// Owners of other zones that every message names in turn, which repairs what was missed.
constexpr std::size_t RotatingStamps = 8;
// Markers of removed entries kept per owner; beyond it the live entries get new versions and the markers are dropped.
constexpr std::size_t MaxRemovedMarkers = 256;
// Allowed difference of the rates of two clocks, by which an old offset is loosened.
constexpr std::int64_t DriftPartsPerMillion = 200;

constexpr bool isZoneLocal(EntryKind kind)
{
    return kind == EntryKind::Demand || kind == EntryKind::Load || kind == EntryKind::ZoneFreshness || kind == EntryKind::ZoneMissing
        || kind == EntryKind::ZoneDemand;
}

/// Whether a freshness stamp is wrong for a reader that misses a change of this kind.
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
    own_.id = self_.id;
    own_.zone = self_.zone;
    own_.key = ownerKey(self_.id, self_.process);
    own_.version = 1; // 0 means unknown in a stamp
    own_.hasTicks = true;
    own_.hasOffset = true;
    markOwnSeen(now);
}

bool SharedState::setOwn(StateEntry entry, TimePoint now, bool isUrgent)
{
    const Key key{entry.kind, entry.key};
    const auto found = own_.entries.find(key);
    if (found != own_.entries.end() && isSameValue(found->second, entry)) {
        return false;
    }
    if (isUrgent) {
        if (now >= own_.hotUntil) {
            own_.hotBase = own_.version;
        }
        own_.hotUntil = now + HotTime;
    }
    entry.version = ++own_.version;
    own_.exceptionVersion = isException(entry.kind) ? entry.version : own_.exceptionVersion;
    own_.entries[key] = std::move(entry);
    boundRemoved(now);
    return true;
}

void SharedState::removeOwn(EntryKind kind, std::string_view key, TimePoint now)
{
    const auto found = own_.entries.find({kind, std::string(key)});
    if (found == own_.entries.end() || found->second.isRemoved) {
        return;
    }
    StateEntry removed;
    removed.kind = kind;
    removed.key = key;
    removed.isRemoved = true;
    setOwn(std::move(removed), now, kind == EntryKind::Observation);
}

void SharedState::boundRemoved(TimePoint now)
{
    const auto removed = std::count_if(own_.entries.begin(), own_.entries.end(), [](const auto &item) { return item.second.isRemoved; });
    if (static_cast<std::size_t>(removed) <= MaxRemovedMarkers) {
        return;
    }
    std::erase_if(own_.entries, [](const auto &item) { return item.second.isRemoved; });
    own_.floor = own_.version;
    for (auto &[key, entry] : own_.entries) {
        entry.version = ++own_.version;
    }
    own_.exceptionVersion = own_.version;
    own_.hotUntil = now;
}

const StateEntry *SharedState::findOwn(EntryKind kind, std::string_view key) const
{
    const auto found = own_.entries.find({kind, std::string(key)});
    return found == own_.entries.end() || found->second.isRemoved ? nullptr : &found->second;
}

std::vector<std::string> SharedState::ownKeys(EntryKind kind) const
{
    std::vector<std::string> keys;
    for (const auto &[key, entry] : own_.entries) {
        if (key.first == kind && !entry.isRemoved) {
            keys.push_back(key.second);
        }
    }
    return keys;
}

void SharedState::markOwnSeen(TimePoint at)
{
    own_.lastSeen = std::max(own_.lastSeen, at);
    own_.ticks = own_.lastSeen.time_since_epoch() / StampUnit;
}

void SharedState::addOwner(const MemberRecord &member)
{
    const auto key = ownerKey(member.id, member.process);
    if (key == own_.key || owners_.contains(key)) {
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
    own_.lastSeen = {};
}

const SharedState::Owner *SharedState::owner(std::uint32_t key) const
{
    if (key == own_.key) {
        return &own_;
    }
    const auto found = owners_.find(key);
    return found == owners_.end() ? nullptr : &found->second;
}

std::vector<OwnerStamp> SharedState::zoneStamps(TimePoint now)
{
    std::vector<OwnerStamp> stamps{stampOf(own_, now)};
    for (const auto &[key, owner] : owners_) {
        if (owner.zone == self_.zone || owner.changedUntil > now) {
            stamps.push_back(stampOf(owner, now));
        }
    }
    auto it = owners_.upper_bound(rotation_);
    std::size_t added = 0;
    for (std::size_t i = 0; i < owners_.size() && added < RotatingStamps; ++i, ++it) {
        if (it == owners_.end()) {
            it = owners_.begin();
        }
        if (it->second.zone != self_.zone && it->second.changedUntil <= now) {
            stamps.push_back(stampOf(it->second, now));
            rotation_ = it->first;
            ++added;
        }
    }
    return stamps;
}

OwnerStamp SharedState::stampOf(const Owner &owner, TimePoint now)
{
    const bool hasStamp = owner.hasTicks && now - owner.lastSeen <= MaxStampAge;
    const auto since = std::min<std::uint32_t>(owner.version - owner.exceptionVersion, 255);
    return {owner.key, static_cast<std::uint16_t>(hasStamp ? owner.ticks : 0), owner.version, hasStamp, static_cast<std::uint8_t>(since)};
}

std::vector<OwnerStamp> SharedState::stampsOf(const ZoneId &zone) const
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
    std::vector<OwnerStamp> stamps{stampOf(own_, now)};
    for (const auto &[key, owner] : owners_) {
        stamps.push_back(stampOf(owner, now));
    }
    return stamps;
}

std::vector<OwnerStamp> SharedState::newerStamps(const std::vector<OwnerStamp> &theirs, const ZoneId &reader, TimePoint now) const
{
    const auto known = byOwner(theirs);
    std::vector<OwnerStamp> newer;
    const auto addIfNewer = [&](const Owner &owner) {
        const auto stamp = stampOf(owner, now);
        const auto found = known.find(owner.key);
        if (owner.zone != reader || !stamp.hasStamp) {
            return;
        }
        if (found == known.end() || !found->second->hasStamp || static_cast<std::int16_t>(stamp.stamp - found->second->stamp) > 0) {
            newer.push_back(stamp);
        }
    };
    addIfNewer(own_);
    for (const auto &[key, owner] : owners_) {
        addIfNewer(owner);
    }
    return newer;
}

std::optional<OwnerDelta> SharedState::deltaFor(const Owner &owner, std::uint32_t known, const ZoneId &reader, std::size_t limit) const
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
        // Readers in other zones count only what they get; otherwise every change of demand would look like news to them.
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
        const auto *known = owner(stamp.owner);
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

std::vector<OwnerDelta> SharedState::hotDeltas(TimePoint now, const ZoneId &reader, std::size_t limit) const
{
    std::vector<OwnerDelta> deltas;
    const auto addIfHot = [&](const Owner &owner) {
        if (owner.hotUntil <= now) {
            return;
        }
        if (auto delta = deltaFor(owner, owner.hotBase, reader, limit)) {
            limit -= delta->entries.size();
            deltas.push_back(std::move(*delta));
        }
    };
    addIfHot(own_);
    for (const auto &[key, owner] : owners_) {
        addIfHot(owner);
    }
    return deltas;
}

std::vector<OwnerDelta> SharedState::allDeltas() const
{
    std::vector<OwnerDelta> deltas;
    const auto add = [&](const Owner &owner) {
        if (auto delta = deltaFor(owner, 0, owner.zone, MaxFullEntries)) {
            deltas.push_back(std::move(*delta));
        }
    };
    add(own_);
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
            owner.changedUntil = now + ChangedTime;
        }
        // State learnt from the beginning (a new or restarted reader) is history, not an urgent change.
        if (isUrgent && before > 0 && owner.zone == self_.zone) {
            if (now >= owner.hotUntil) {
                owner.hotBase = before;
            }
            owner.hotUntil = now + HotTime;
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

void SharedState::applyStamp(Owner &owner, const OwnerStamp &stamp, TimePoint now)
{
    if (!stamp.hasStamp || stamp.version - std::min<std::uint32_t>(stamp.version, stamp.sinceException) > owner.version || owner.zone != self_.zone) {
        return; // the exceptions that belong to this stamp are not known yet
    }
    if (!owner.hasTicks) {
        // The first stamp may be old: it says nothing until the owner's clock is seen to advance.
        owner.hasTicks = true;
        owner.ticks = stamp.stamp;
        return;
    }
    const auto step = static_cast<std::int16_t>(stamp.stamp - static_cast<std::uint16_t>(owner.ticks));
    if (step <= 0) {
        return;
    }
    owner.ticks += step;
    // The least difference seen comes from the fastest delivery; a delayed stamp therefore does not look fresh.
    const auto difference = now.time_since_epoch() - ticksToDuration(owner.ticks);
    const auto loosened = owner.offset + (now - owner.offsetAt) * DriftPartsPerMillion / 1'000'000;
    owner.offset = owner.hasOffset ? std::min(loosened, difference) : difference;
    owner.offsetAt = now;
    owner.hasOffset = true;
    owner.lastSeen = TimePoint(ticksToDuration(owner.ticks) + owner.offset);
}

std::vector<std::pair<MemberId, const StateEntry *>> SharedState::entriesOf(EntryKind kind, const MemberFilter &isIncluded) const
{
    std::vector<std::pair<MemberId, const StateEntry *>> entries;
    const auto add = [&](const Owner &owner) {
        if (!isIncluded(owner.id)) {
            return;
        }
        for (auto it = owner.entries.lower_bound({kind, {}}); it != owner.entries.end() && it->first.first == kind; ++it) {
            if (!it->second.isRemoved) {
                entries.emplace_back(owner.id, &it->second);
            }
        }
    };
    add(own_);
    for (const auto &[key, owner] : owners_) {
        add(owner);
    }
    return entries;
}

std::size_t SharedState::entryCount() const
{
    auto count = own_.entries.size();
    for (const auto &[key, owner] : owners_) {
        count += owner.entries.size();
    }
    return count;
}

}
