#pragma once

#include "core/random.h"
#include "membership/messages.h"

#include <map>
#include <optional>
#include <vector>

namespace carawaypoint
{

struct MemberListOptions {
    Duration period = seconds(1); // unit of suspicionPeriods
    unsigned suspicionPeriods = 4; // after which a suspect member is declared dead
    Duration retention = minutes(5); // of records of dead members, so that an old record does not add them again
};

/// The fleet's members as one daemon knows them, with suspicion, refutation and dissemination of changed records.
///
/// Cost: each member that learns a changed record sends it TransmitFactor * log2(members) times, so a change costs
/// O(M log M) records in the fleet and O(log M) per daemon; memory is one record per member.
class MemberList
{
public:
    MemberList(MemberListOptions options, MemberRecord self);

    const MemberRecord &self() const
    {
        return self_;
    }

    /// Replaces this member's record by @p changed with the next revision, which disseminates it.
    void updateSelf(const MemberRecord &changed);

    /// Stores a record received from a peer when it is newer than the known one. Returns whether it was stored.
    bool apply(const MemberRecord &record, TimePoint now);

    /// Marks @p id as suspect after a failed call, if it is alive and still runs as @p process.
    void suspectMember(const MemberId &id, std::uint64_t process, TimePoint now);

    /// Declares members dead that were suspect for suspicionPeriods, and removes dead members after the retention. Returns
    /// whether the set of live members changed.
    bool expireMembers(TimePoint now);

    /// Restarts the time of all suspicions, since a paused process could not receive refutations.
    void restartSuspicions(TimePoint now);

    /// Returns at most @p limit records that still have to be sent, those with the most remaining transmissions first.
    std::vector<MemberRecord> takeDeltas(std::size_t limit);

    /// Hash over the live records; equal at two members with the same records.
    std::uint64_t digest() const;

    std::vector<MemberRecord> allRecords() const;
    std::optional<MemberRecord> find(const MemberId &id) const;

    /// Ids of the members of @p zone that are alive or suspect, including this one, in ascending order.
    std::vector<MemberId> liveMembers(const ZoneId &zone) const;
    std::vector<ZoneId> zones() const;

    /// Whether a later process with this member's id was seen, which replaced this process.
    bool isReplaced() const
    {
        return isReplaced_;
    }
    std::uint64_t suspicionCount() const
    {
        return suspicionCount_;
    }

private:
    struct KnownMember {
        MemberRecord record;
        TimePoint changedAt{};
        unsigned remainingTransmissions = 0;
    };

    void storeRecord(const MemberRecord &record, TimePoint now);
    unsigned initialTransmissions() const;

    MemberListOptions options_;
    MemberRecord self_;
    std::map<MemberId, KnownMember> knownMembers_;
    bool isReplaced_ = false;
    std::uint64_t suspicionCount_ = 0;
};

/// Whether a member with @p status belongs to the fleet.
constexpr bool isLiveStatus(MemberStatus status)
{
    return status == MemberStatus::Alive || status == MemberStatus::Suspect;
}

}
