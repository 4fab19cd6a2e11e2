#include "membership/member_list.h"

#include "membership/rendezvous.h"

#include <algorithm>
#include <bit>
#include <set>
#include <tuple>

namespace carawaypoint
{

namespace
{

// Each member sends a change this many times log2(members). With 3, a change reaches all of 332 members with a probability
// above 0.999 without message loss; members that missed it are repaired by the digest comparison.
constexpr unsigned TransmitFactor = 3;

auto rank(const MemberRecord &record)
{
    return std::tuple(record.process, record.revision, record.status);
}

}

MemberList::MemberList(MemberListOptions options, MemberRecord self)
    : options_(options)
    , self_(std::move(self))
{
}

unsigned MemberList::initialTransmissions() const
{
    return TransmitFactor * static_cast<unsigned>(std::bit_width(knownMembers_.size() + 1));
}

void MemberList::updateSelf(const MemberRecord &changed)
{
    const auto revision = self_.revision + 1;
    self_ = changed;
    self_.revision = revision;
}

bool MemberList::apply(const MemberRecord &record, TimePoint now)
{
    if (record.id == self_.id) {
        if (record.process > self_.process) {
            isReplaced_ = true;
        } else if (record.process == self_.process && record.status != self_.status && record.revision >= self_.revision) {
            self_.revision = record.revision; // updateSelf() raises it, which refutes the reported status
            updateSelf(self_);
        }
        return false;
    }
    const auto found = knownMembers_.find(record.id);
    if (found != knownMembers_.end() && rank(found->second.record) >= rank(record)) {
        return false;
    }
    if (found == knownMembers_.end() && !isLiveStatus(record.status)) {
        return false;
    }
    storeRecord(record, now);
    return true;
}

void MemberList::storeRecord(const MemberRecord &record, TimePoint now)
{
    auto &known = knownMembers_[record.id];
    known.record = record;
    known.changedAt = now;
    known.remainingTransmissions = initialTransmissions();
}

void MemberList::suspectMember(const MemberId &id, std::uint64_t process, TimePoint now)
{
    const auto found = knownMembers_.find(id);
    if (found == knownMembers_.end() || found->second.record.process != process || found->second.record.status != MemberStatus::Alive) {
        return;
    }
    auto record = found->second.record;
    record.status = MemberStatus::Suspect;
    ++suspicionCount_;
    storeRecord(record, now);
}

bool MemberList::expireMembers(TimePoint now)
{
    bool isChanged = false;
    for (auto it = knownMembers_.begin(); it != knownMembers_.end();) {
        auto &known = it->second;
        const auto elapsed = now - known.changedAt;
        if (known.record.status == MemberStatus::Suspect && elapsed >= options_.period * options_.suspicionPeriods) {
            auto record = known.record;
            record.status = MemberStatus::Dead;
            storeRecord(record, now);
            isChanged = true;
        } else if (!isLiveStatus(known.record.status) && elapsed >= options_.retention) {
            it = knownMembers_.erase(it);
            continue;
        }
        ++it;
    }
    return isChanged;
}

void MemberList::restartSuspicions(TimePoint now)
{
    for (auto &[id, known] : knownMembers_) {
        if (known.record.status == MemberStatus::Suspect) {
            known.changedAt = now;
        }
    }
}

std::vector<MemberRecord> MemberList::takeDeltas(std::size_t limit)
{
    std::vector<KnownMember *> waiting;
    for (auto &[id, known] : knownMembers_) {
        if (known.remainingTransmissions > 0) {
            waiting.push_back(&known);
        }
    }
    const auto kept = std::min(limit, waiting.size());
    std::partial_sort(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(kept), waiting.end(), [](const auto *a, const auto *b) {
        return a->remainingTransmissions != b->remainingTransmissions ? a->remainingTransmissions > b->remainingTransmissions : a->record.id < b->record.id;
    });
    std::vector<MemberRecord> records;
    for (std::size_t i = 0; i < kept; ++i) {
        --waiting[i]->remainingTransmissions;
        records.push_back(waiting[i]->record);
    }
    return records;
}

std::uint64_t MemberList::digest() const
{
    const auto hashOf = [](const MemberRecord &record) {
        return hash64(record.id.str(), record.process * 0x9e3779b97f4a7c15ULL + record.revision);
    };
    auto digest = hashOf(self_);
    for (const auto &[id, known] : knownMembers_) {
        if (isLiveStatus(known.record.status)) {
            digest ^= hashOf(known.record);
        }
    }
    return digest;
}

std::vector<MemberRecord> MemberList::allRecords() const
{
    std::vector<MemberRecord> records{self_};
    for (const auto &[id, known] : knownMembers_) {
        records.push_back(known.record);
    }
    return records;
}

std::optional<MemberRecord> MemberList::find(const MemberId &id) const
{
    if (id == self_.id) {
        return self_;
    }
    const auto found = knownMembers_.find(id);
    return found == knownMembers_.end() ? std::nullopt : std::optional(found->second.record);
}

std::vector<MemberId> MemberList::liveMembers(const ZoneId &zone) const
{
    std::vector<MemberId> ids;
    if (self_.zone == zone && isLiveStatus(self_.status)) {
        ids.push_back(self_.id);
    }
    for (const auto &[id, known] : knownMembers_) {
        if (known.record.zone == zone && isLiveStatus(known.record.status)) {
            ids.push_back(id);
        }
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

std::vector<ZoneId> MemberList::zones() const
{
    std::set<ZoneId> zones{self_.zone};
    for (const auto &[id, known] : knownMembers_) {
        if (isLiveStatus(known.record.status)) {
            zones.insert(known.record.zone);
        }
    }
    return {zones.begin(), zones.end()};
}

}
