#include "membership/member_table.h"

#include "membership/rendezvous.h"
#include "membership/roles.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{

// Entries pushed unasked in one message; the rest follows in the answer or in the next exchange.
constexpr std::size_t MaxHotEntries = 16;
// Member records in one message, so that observations keep a part of the 64 entries during a wave of restarts.
constexpr std::size_t MaxMemberDeltas = 40;
// Peers that are contacted at once when an urgent change was fed.
constexpr std::size_t UrgentPeers = 3;

}

MemberTable::MemberTable(MemberTableOptions options, const MemberRecord &self, RandomGenerator &random, TimePoint now)
    : options_(options)
    , random_(random)
    , list_({options.period, options.suspicionPeriods}, self)
    , state_(self, now)
    , lastTickAt_(now)
{
    pendingDemand_.kind = EntryKind::Demand;
}

void MemberTable::setSeeds(std::vector<Endpoint> seeds)
{
    seeds_ = std::move(seeds);
}

void MemberTable::noticePause(TimePoint now)
{
    if (now - lastTickAt_ <= options_.period * options_.pausePeriods) {
        return;
    }
    notePause(now);
}

void MemberTable::notePause(TimePoint now)
{
    lastTickAt_ = now;
    failuresCountFrom_ = now + options_.period;
    ++pauseCount_;
    ++changeCount_;
    isCurrent_ = false;
    isFullWanted_ = true;
    aloneTicks_ = 0;
    lastPeerAnswerAt_ = {};
    state_.markAllStale();
    list_.restartSuspicions(now);
}

unsigned MemberTable::peersPerPeriod() const
{
    return list_.live(list_.self().zone).size() < options_.largeZone ? options_.peersPerPeriod : options_.peersInLargeZone;
}

std::vector<OutgoingExchange> MemberTable::tick(TimePoint now)
{
    noticePause(now);
    lastTickAt_ = now;
    if (list_.expire(now)) {
        syncOwners();
        ++changeCount_;
    }
    if (state_.ownKeys(EntryKind::Observation).empty()) {
        state_.markOwnSeen(now); // the stamp then only shows that this member runs
    }
    updateAlone();
    publishDemand(now);
    expireSignals(now);
    expireZoneEntries(now);

    std::vector<OutgoingExchange> out;
    // Ticks jitter by a twentieth.
    const bool isPeriodStart = now - periodStart_ >= options_.period * 9 / 10;
    periodStart_ = isPeriodStart ? now : periodStart_;
    if (const auto peer = nextPeer()) {
        out.push_back({*peer, messageFor(list_.self().zone, now)});
    }
    if (isPeriodStart) {
        if (const auto seed = unusedSeed()) {
            out.push_back({*seed, messageFor(list_.self().zone, now)});
        }
        addBridgeExchanges(out, now);
    }
    for (auto &exchange : out) {
        for (const auto &record : list_.all()) {
            if (record.address == exchange.target.address) {
                addDoubt(exchange.message, record);
            }
        }
    }
    return out;
}

void MemberTable::addDoubt(PeerMessage &message, const MemberRecord &receiver)
{
    const bool isPresent = std::find(message.members.begin(), message.members.end(), receiver) != message.members.end();
    if (receiver.status != MemberStatus::Alive && receiver.id != list_.self().id && !isPresent) {
        message.members.push_back(receiver);
    }
}

void MemberTable::addBridgeExchanges(std::vector<OutgoingExchange> &out, TimePoint now)
{
    const auto own = list_.live(list_.self().zone);
    for (const auto &zone : list_.zones()) {
        if (zone == list_.self().zone) {
            continue;
        }
        const auto bridges = bridgesOf(list_.self().zone, zone, own);
        if (std::find(bridges.begin(), bridges.end(), list_.self().id) == bridges.end()) {
            continue;
        }
        const auto members = list_.live(zone);
        if (!members.empty()) {
            out.push_back({targetOf(members[random_() % members.size()]), messageFor(zone, now)});
        }
    }
}

std::vector<OutgoingExchange> MemberTable::takeUrgent(TimePoint now)
{
    std::vector<OutgoingExchange> out;
    if (!isUrgent_) {
        return out;
    }
    isUrgent_ = false;
    for (std::size_t i = 0; i < UrgentPeers; ++i) {
        if (const auto peer = nextPeer()) {
            out.push_back({*peer, messageFor(list_.self().zone, now)});
        }
    }
    return out;
}

std::optional<PeerTarget> MemberTable::nextPeer()
{
    while (true) {
        if (peerOrder_.empty()) {
            peerOrder_ = list_.live(list_.self().zone);
            std::erase(peerOrder_, list_.self().id);
            if (peerOrder_.empty()) {
                return std::nullopt;
            }
            std::shuffle(peerOrder_.begin(), peerOrder_.end(), random_);
        }
        const auto id = peerOrder_.back();
        peerOrder_.pop_back();
        const auto record = list_.find(id);
        if (record && isLiveStatus(record->status)) {
            return targetOf(id);
        }
    }
}

std::optional<PeerTarget> MemberTable::unusedSeed()
{
    std::vector<Endpoint> unused;
    const auto members = list_.all();
    for (const auto &seed : seeds_) {
        const bool isUsed =
            std::any_of(members.begin(), members.end(), [&](const auto &record) { return isLiveStatus(record.status) && record.address == seed; });
        if (!isUsed) {
            unused.push_back(seed);
        }
    }
    // A member that was declared dead may only have been cut off.
    for (const auto &record : members) {
        if (record.status == MemberStatus::Dead && record.zone == list_.self().zone) {
            unused.push_back(record.address);
        }
    }
    if (unused.empty()) {
        return std::nullopt;
    }
    return PeerTarget{{}, 0, unused[random_() % unused.size()]};
}

PeerTarget MemberTable::targetOf(const MemberId &id) const
{
    const auto record = list_.find(id);
    return record ? PeerTarget{id, record->process, record->address} : PeerTarget{};
}

PeerMessage MemberTable::messageFor(const ZoneId &reader, TimePoint now)
{
    if (options_.strategy == DisseminationStrategy::FullState) {
        return fullStateMessage(now);
    }
    PeerMessage message;
    message.sender = list_.self();
    message.memberDigest = list_.digest();
    message.platformRevision = platformRevision_;
    message.isRequestingFull = isFullWanted_ || !isCurrent_;
    message.isFull = message.isRequestingFull;
    message.members = message.isFull ? list_.all() : list_.takeDeltas(MaxMemberDeltas);
    if (reader == list_.self().zone) {
        message.stamps = state_.zoneStamps(now);
        message.deltas = state_.hotDeltas(now, reader, MaxHotEntries);
    } else {
        message.stamps = state_.stampsOf(reader);
        message.summary = summaryFor(reader, now);
    }
    return message;
}

PeerMessage MemberTable::fullStateMessage(TimePoint now) const
{
    PeerMessage message;
    message.sender = list_.self();
    message.memberDigest = list_.digest();
    message.platformRevision = platformRevision_;
    message.isFull = true;
    message.members = list_.all();
    message.stamps = state_.allStamps(now);
    message.deltas = state_.allDeltas();
    message.summary = summaryFor({}, now);
    return message;
}

PeerMessage MemberTable::handleRequest(const PeerMessage &request, TimePoint now)
{
    noticePause(now);
    applyMessage(request, now);
    if (options_.strategy == DisseminationStrategy::FullState) {
        return fullStateMessage(now);
    }
    PeerMessage response;
    response.sender = list_.self();
    response.platformRevision = platformRevision_;
    response.isFull = request.isRequestingFull;
    response.members = request.isRequestingFull ? list_.all() : list_.takeDeltas(MaxMemberDeltas);
    if (const auto known = list_.find(request.sender.id); known && known->process == request.sender.process) {
        addDoubt(response, *known);
    }
    response.stamps = state_.newerStamps(request.stamps, request.sender.zone, now);
    const auto used = response.isFull ? 0 : response.members.size();
    response.deltas = state_.newerDeltas(request.stamps, request.sender.zone, MaxDeltaEntries - used, random_);
    if (request.sender.zone != list_.self().zone) {
        response.summary = summaryFor(request.sender.zone, now);
    }
    response.memberDigest = list_.digest();
    return response;
}

void MemberTable::handleResponse(const PeerTarget &target, const PeerMessage &response, TimePoint now)
{
    noticePause(now);
    if (!target.id.isEmpty() && response.sender.id != target.id) {
        handleFailure(target, now); // another member took over the address
    }
    applyMessage(response, now);
    lastPeerAnswerAt_ = response.sender.zone == list_.self().zone ? now : lastPeerAnswerAt_;
    if (response.isFull) {
        ++fullExchangeCount_;
        isFullWanted_ = false;
        digestMismatches_ = 0;
    }
    // Only an answer shows that this member is heard; the answer of another zone lacks this zone's state.
    if (response.isFull && response.sender.zone == list_.self().zone && !isCurrent_) {
        isCurrent_ = true;
        ++changeCount_;
    }
}

void MemberTable::handleFailure(const PeerTarget &target, TimePoint now)
{
    noticePause(now);
    const auto record = list_.find(target.id);
    // Members of other zones are suspected only by their own zone: a cut between zones is no death.
    // Calls that ran while this process was paused failed for its own reason.
    if (record && record->zone == list_.self().zone && now >= failuresCountFrom_) {
        list_.noteFailure(target.id, target.process, now);
    }
}

void MemberTable::applyMessage(const PeerMessage &message, TimePoint now)
{
    bool isChanged = list_.apply(message.sender, now);
    for (const auto &record : message.members) {
        isChanged = list_.apply(record, now) || isChanged;
    }
    if (isChanged) {
        syncOwners();
    }
    notePlatformRevision(message.platformRevision);
    for (const auto &entry : state_.apply(message.deltas, message.stamps, now)) {
        isChanged = true;
        if (entry.isRemoved) {
            continue;
        }
        if (entry.kind == EntryKind::CrashSuspect) {
            signals_.push_back({PeerSignal::Kind::CrashSuspect, entry.key, entry.number});
        } else if (entry.kind == EntryKind::Leaving) {
            signals_.push_back({PeerSignal::Kind::Leaving, entry.key, 0});
        }
    }
    applySummary(message, now);
    checkDigest(message);
    changeCount_ += isChanged ? 1 : 0;
}

void MemberTable::checkDigest(const PeerMessage &message)
{
    // While changes are still on their way the digests differ without a loss.
    if (message.isFull || !message.members.empty() || message.memberDigest == list_.digest()) {
        digestMismatches_ = 0;
        return;
    }
    if (++digestMismatches_ >= 2) {
        isFullWanted_ = true;
    }
}

void MemberTable::syncOwners()
{
    for (const auto &record : list_.all()) {
        if (record.id == list_.self().id) {
            continue;
        }
        if (isLiveStatus(record.status)) {
            state_.addOwner(record);
        } else {
            state_.removeOwner(record.id);
        }
    }
}

void MemberTable::updateAlone()
{
    const bool isAlone = list_.live(list_.self().zone).size() <= 1;
    aloneTicks_ = isAlone ? aloneTicks_ + 1 : 0;
    if (!isCurrent_ && aloneTicks_ >= options_.alonePeriods * peersPerPeriod()) {
        isCurrent_ = true;
        ++changeCount_;
    }
}

bool MemberTable::isCurrent(TimePoint now)
{
    noticePause(now);
    return isCurrent_;
}

bool MemberTable::isProberOf(const VmId &vm, TimePoint now)
{
    const auto probers = probersOf(vm, list_.live(list_.self().zone));
    return isCurrent(now) && std::find(probers.begin(), probers.end(), list_.self().id) != probers.end();
}

bool MemberTable::isWatcher(TimePoint now)
{
    const auto watchers = watchersOf(list_.self().zone, list_.live(list_.self().zone));
    return isCurrent(now) && std::find(watchers.begin(), watchers.end(), list_.self().id) != watchers.end();
}

bool MemberTable::isBridgeTo(const ZoneId &zone, TimePoint now)
{
    const auto bridges = bridgesOf(list_.self().zone, zone, list_.live(list_.self().zone));
    return isCurrent(now) && std::find(bridges.begin(), bridges.end(), list_.self().id) != bridges.end();
}

bool MemberTable::isOldestInZone(TimePoint now)
{
    std::vector<MemberRecord> records;
    for (const auto &id : list_.live(list_.self().zone)) {
        if (const auto record = list_.find(id); record && record->status == MemberStatus::Alive) {
            records.push_back(*record);
        }
    }
    return isCurrent(now) && oldestMember(records) == list_.self().id;
}

bool MemberTable::isPeerExchangeFresh(TimePoint now) const
{
    return lastPeerAnswerAt_ != TimePoint{} && now - lastPeerAnswerAt_ <= options_.observationBound;
}

std::vector<ObservedServer> MemberTable::observations(TimePoint now)
{
    noticePause(now);
    return state_.observations(now);
}

}
