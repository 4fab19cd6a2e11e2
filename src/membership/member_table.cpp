#include "membership/member_table.h"

#include "membership/rendezvous.h"
#include "membership/roles.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{

// Urgent entries pushed in one message; the rest follows in the response or the next exchange.
constexpr std::size_t MaxUrgentEntries = 16;
// Member records in one message. The limit reserves part of the 64 entries for observations when many members restart.
constexpr std::size_t MaxMemberDeltas = 40;
// Peers contacted at once after an urgent change.
constexpr std::size_t UrgentPeerCount = 3;

}

MemberTable::MemberTable(MemberTableOptions options, const MemberRecord &self, RandomGenerator &random, TimePoint now)
    : options_(options)
    , random_(random)
    , memberList_({options.period, options.suspicionPeriods}, self)
    , sharedState_(self, now)
    , lastTickAt_(now)
{
    pendingDemand_.kind = EntryKind::Demand;
}

void MemberTable::setSeeds(std::vector<Endpoint> seeds)
{
    seeds_ = std::move(seeds);
}

void MemberTable::detectPause(TimePoint now)
{
    if (now - lastTickAt_ <= options_.period * options_.pausePeriods) {
        return;
    }
    recordPause(now);
}

void MemberTable::recordPause(TimePoint now)
{
    lastTickAt_ = now;
    ignoreFailuresUntil_ = now + options_.period;
    ++pauseCount_;
    ++changeCount_;
    isCurrent_ = false;
    needsFullExchange_ = true;
    soleMemberTicks_ = 0;
    lastPeerResponseAt_ = {};
    sharedState_.markAllStale();
    memberList_.restartSuspicions(now);
}

unsigned MemberTable::peersPerPeriod() const
{
    return memberList_.liveMembers(memberList_.self().zone).size() < options_.largeZoneMembers ? options_.peersPerPeriod : options_.peersInLargeZone;
}

std::vector<OutgoingExchange> MemberTable::tick(TimePoint now)
{
    detectPause(now);
    lastTickAt_ = now;
    if (memberList_.expireMembers(now)) {
        syncStateOwners();
        ++changeCount_;
    }
    if (sharedState_.ownKeys(EntryKind::Observation).empty()) {
        sharedState_.markOwnSeen(now); // without servers, the stamp only shows that this member runs
    }
    updateSoleMemberState();
    publishDemand(now);
    expireSignals(now);
    expireZoneEntries(now);

    std::vector<OutgoingExchange> out;
    // The tolerance covers the tick jitter of a twentieth.
    const bool isPeriodStart = now - periodStartedAt_ >= options_.period * 9 / 10;
    periodStartedAt_ = isPeriodStart ? now : periodStartedAt_;
    if (const auto peer = nextExchangePeer()) {
        out.push_back({*peer, buildMessage(memberList_.self().zone, now)});
    }
    if (isPeriodStart) {
        if (const auto seed = unusedSeed()) {
            out.push_back({*seed, buildMessage(memberList_.self().zone, now)});
        }
        addBridgeExchanges(out, now);
    }
    for (auto &exchange : out) {
        for (const auto &record : memberList_.allRecords()) {
            if (record.address == exchange.target.address) {
                addSuspicion(exchange.message, record);
            }
        }
    }
    return out;
}

void MemberTable::addSuspicion(PeerMessage &message, const MemberRecord &receiver)
{
    const bool isPresent = std::find(message.members.begin(), message.members.end(), receiver) != message.members.end();
    if (receiver.status != MemberStatus::Alive && receiver.id != memberList_.self().id && !isPresent) {
        message.members.push_back(receiver);
    }
}

void MemberTable::addBridgeExchanges(std::vector<OutgoingExchange> &out, TimePoint now)
{
    const auto own = memberList_.liveMembers(memberList_.self().zone);
    for (const auto &zone : memberList_.zones()) {
        if (zone == memberList_.self().zone) {
            continue;
        }
        const auto bridges = bridgesOf(memberList_.self().zone, zone, own);
        if (std::find(bridges.begin(), bridges.end(), memberList_.self().id) == bridges.end()) {
            continue;
        }
        const auto members = memberList_.liveMembers(zone);
        if (!members.empty()) {
            out.push_back({targetOf(members[random_() % members.size()]), buildMessage(zone, now)});
        }
    }
}

std::vector<OutgoingExchange> MemberTable::takeUrgentExchanges(TimePoint now)
{
    std::vector<OutgoingExchange> out;
    if (!hasUrgentChanges_) {
        return out;
    }
    hasUrgentChanges_ = false;
    for (std::size_t i = 0; i < UrgentPeerCount; ++i) {
        if (const auto peer = nextExchangePeer()) {
            out.push_back({*peer, buildMessage(memberList_.self().zone, now)});
        }
    }
    return out;
}

std::optional<PeerTarget> MemberTable::nextExchangePeer()
{
    while (true) {
        if (shuffledPeers_.empty()) {
            shuffledPeers_ = memberList_.liveMembers(memberList_.self().zone);
            std::erase(shuffledPeers_, memberList_.self().id);
            if (shuffledPeers_.empty()) {
                return std::nullopt;
            }
            std::shuffle(shuffledPeers_.begin(), shuffledPeers_.end(), random_);
        }
        const auto id = shuffledPeers_.back();
        shuffledPeers_.pop_back();
        const auto record = memberList_.find(id);
        if (record && isLiveStatus(record->status)) {
            return targetOf(id);
        }
    }
}

std::optional<PeerTarget> MemberTable::unusedSeed()
{
    std::vector<Endpoint> unused;
    const auto members = memberList_.allRecords();
    for (const auto &seed : seeds_) {
        const bool isUsed =
            std::any_of(members.begin(), members.end(), [&](const auto &record) { return isLiveStatus(record.status) && record.address == seed; });
        if (!isUsed) {
            unused.push_back(seed);
        }
    }
    // A member that was declared dead may be alive behind a network partition that has ended.
    for (const auto &record : members) {
        if (record.status == MemberStatus::Dead && record.zone == memberList_.self().zone) {
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
    const auto record = memberList_.find(id);
    return record ? PeerTarget{id, record->process, record->address} : PeerTarget{};
}

PeerMessage MemberTable::buildMessage(const ZoneId &reader, TimePoint now)
{
    if (options_.strategy == DisseminationStrategy::FullState) {
        return fullStateMessage(now);
    }
    PeerMessage message;
    message.sender = memberList_.self();
    message.memberDigest = memberList_.digest();
    message.platformRevision = platformRevision_;
    message.isRequestingFull = needsFullExchange_ || !isCurrent_;
    message.isFull = message.isRequestingFull;
    message.members = message.isFull ? memberList_.allRecords() : memberList_.takeDeltas(MaxMemberDeltas);
    if (reader == memberList_.self().zone) {
        message.stamps = sharedState_.zoneStamps(now);
        message.deltas = sharedState_.urgentDeltas(now, reader, MaxUrgentEntries);
    } else {
        message.stamps = sharedState_.versionStampsOf(reader);
        message.summary = summaryFor(reader, now);
    }
    return message;
}

PeerMessage MemberTable::fullStateMessage(TimePoint now) const
{
    PeerMessage message;
    message.sender = memberList_.self();
    message.memberDigest = memberList_.digest();
    message.platformRevision = platformRevision_;
    message.isFull = true;
    message.members = memberList_.allRecords();
    message.stamps = sharedState_.allStamps(now);
    message.deltas = sharedState_.allDeltas();
    message.summary = summaryFor({}, now);
    return message;
}

PeerMessage MemberTable::handleRequest(const PeerMessage &request, TimePoint now)
{
    detectPause(now);
    applyMessage(request, now);
    if (options_.strategy == DisseminationStrategy::FullState) {
        return fullStateMessage(now);
    }
    PeerMessage response;
    response.sender = memberList_.self();
    response.platformRevision = platformRevision_;
    response.isFull = request.isRequestingFull;
    response.members = request.isRequestingFull ? memberList_.allRecords() : memberList_.takeDeltas(MaxMemberDeltas);
    if (const auto known = memberList_.find(request.sender.id); known && known->process == request.sender.process) {
        addSuspicion(response, *known);
    }
    response.stamps = sharedState_.newerStamps(request.stamps, request.sender.zone, now);
    const auto used = response.isFull ? 0 : response.members.size();
    response.deltas = sharedState_.newerDeltas(request.stamps, request.sender.zone, MaxDeltaEntries - used, random_);
    if (request.sender.zone != memberList_.self().zone) {
        response.summary = summaryFor(request.sender.zone, now);
    }
    response.memberDigest = memberList_.digest();
    return response;
}

void MemberTable::handleResponse(const PeerTarget &target, const PeerMessage &response, TimePoint now)
{
    detectPause(now);
    if (!target.id.isEmpty() && response.sender.id != target.id) {
        handleFailure(target, now); // another member has this address now
    }
    applyMessage(response, now);
    lastPeerResponseAt_ = response.sender.zone == memberList_.self().zone ? now : lastPeerResponseAt_;
    if (response.isFull) {
        ++fullExchangeCount_;
        needsFullExchange_ = false;
        digestMismatches_ = 0;
    }
    // Only a response shows that peers receive this member's messages. A response from another zone lacks this zone's state.
    if (response.isFull && response.sender.zone == memberList_.self().zone && !isCurrent_) {
        isCurrent_ = true;
        ++changeCount_;
    }
}

void MemberTable::handleFailure(const PeerTarget &target, TimePoint now)
{
    detectPause(now);
    const auto record = memberList_.find(target.id);
    // Only members of the same zone suspect a member, because a partition between zones does not mean that it is dead.
    // Calls that were in progress while this process was paused may have failed because of the pause.
    if (record && record->zone == memberList_.self().zone && now >= ignoreFailuresUntil_) {
        memberList_.suspectMember(target.id, target.process, now);
    }
}

void MemberTable::applyMessage(const PeerMessage &message, TimePoint now)
{
    bool isChanged = memberList_.apply(message.sender, now);
    for (const auto &record : message.members) {
        isChanged = memberList_.apply(record, now) || isChanged;
    }
    if (isChanged) {
        syncStateOwners();
    }
    recordPlatformRevision(message.platformRevision);
    for (const auto &entry : sharedState_.apply(message.deltas, message.stamps, now)) {
        isChanged = true;
        if (entry.isRemoved) {
            continue;
        }
        if (entry.kind == EntryKind::CrashSuspect) {
            receivedSignals_.push_back({PeerSignal::Kind::CrashSuspect, entry.key, entry.number});
        } else if (entry.kind == EntryKind::Leaving) {
            receivedSignals_.push_back({PeerSignal::Kind::Leaving, entry.key, 0});
        }
    }
    applySummary(message, now);
    checkDigest(message);
    changeCount_ += isChanged ? 1 : 0;
}

void MemberTable::checkDigest(const PeerMessage &message)
{
    // While changes are being disseminated, the digests differ without message loss.
    if (message.isFull || !message.members.empty() || message.memberDigest == memberList_.digest()) {
        digestMismatches_ = 0;
        return;
    }
    if (++digestMismatches_ >= 2) {
        needsFullExchange_ = true;
    }
}

void MemberTable::syncStateOwners()
{
    for (const auto &record : memberList_.allRecords()) {
        if (record.id == memberList_.self().id) {
            continue;
        }
        if (isLiveStatus(record.status)) {
            sharedState_.addOwner(record);
        } else {
            sharedState_.removeOwner(record.id);
        }
    }
}

void MemberTable::updateSoleMemberState()
{
    const bool isAlone = memberList_.liveMembers(memberList_.self().zone).size() <= 1;
    soleMemberTicks_ = isAlone ? soleMemberTicks_ + 1 : 0;
    if (!isCurrent_ && soleMemberTicks_ >= options_.soleMemberPeriods * peersPerPeriod()) {
        isCurrent_ = true;
        ++changeCount_;
    }
}

bool MemberTable::isCurrent(TimePoint now)
{
    detectPause(now);
    return isCurrent_;
}

bool MemberTable::isProberOf(const VmId &vm, TimePoint now)
{
    const auto probers = probersOf(vm, memberList_.liveMembers(memberList_.self().zone));
    return isCurrent(now) && std::find(probers.begin(), probers.end(), memberList_.self().id) != probers.end();
}

bool MemberTable::isWatcher(TimePoint now)
{
    const auto watchers = watchersOf(memberList_.self().zone, memberList_.liveMembers(memberList_.self().zone));
    return isCurrent(now) && std::find(watchers.begin(), watchers.end(), memberList_.self().id) != watchers.end();
}

bool MemberTable::isBridgeTo(const ZoneId &zone, TimePoint now)
{
    const auto bridges = bridgesOf(memberList_.self().zone, zone, memberList_.liveMembers(memberList_.self().zone));
    return isCurrent(now) && std::find(bridges.begin(), bridges.end(), memberList_.self().id) != bridges.end();
}

bool MemberTable::isOldestInZone(TimePoint now)
{
    std::vector<MemberRecord> records;
    for (const auto &id : memberList_.liveMembers(memberList_.self().zone)) {
        if (const auto record = memberList_.find(id); record && record->status == MemberStatus::Alive) {
            records.push_back(*record);
        }
    }
    return isCurrent(now) && oldestMember(records) == memberList_.self().id;
}

bool MemberTable::isPeerExchangeFresh(TimePoint now) const
{
    return lastPeerResponseAt_ != TimePoint{} && now - lastPeerResponseAt_ <= options_.observationBound;
}

std::vector<ObservedServer> MemberTable::observations(TimePoint now)
{
    detectPause(now);
    return sharedState_.observations(now);
}

}
