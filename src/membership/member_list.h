#pragma once

#include "core/random.h"
#include "membership/messages.h"

#include <map>
#include <optional>
#include <vector>

namespace carawaypoint
{

struct MemberListOptions {
    Duration period = seconds(1);
    unsigned suspicionPeriods = 4;
    Duration retention = minutes(5); // of dead members, so that an old record does not bring them back
};

/// Members of the fleet with suspicion, refutation and dissemination of changed records.
///
/// Cost: a changed record is sent TransmitFactor * log2(members) times by each member that learns it, so a change costs
/// O(M log M) records in the fleet and O(log M) per daemon; memory is one record per member.
class MemberList
{
public:
    MemberList(MemberListOptions options, MemberRecord self);

    const MemberRecord &self() const
    {
        return self_;
    }

    /// Raises the revision of this member's record and disseminates it.
    void updateSelf(const MemberRecord &changed);

    /// Takes over a record learnt from a peer. Returns whether it changed anything.
    bool apply(const MemberRecord &record, TimePoint now);

    /// A call to @p id failed; it becomes suspect when it still has @p process.
    void noteFailure(const MemberId &id, std::uint64_t process, TimePoint now);

    /// Declares members dead whose suspicion has lasted, and forgets dead members after the retention. Returns whether
    /// the set of live members changed.
    bool expire(TimePoint now);

    /// Restarts all running suspicions, since a process that was paused could not have seen a refutation.
    void restartSuspicions(TimePoint now);

    /// At most @p limit records that still have to be sent, those sent least often first.
    std::vector<MemberRecord> takeDeltas(std::size_t limit);

    /// Hash over the live records; equal at two members that know the same.
    std::uint64_t digest() const;

    std::vector<MemberRecord> all() const;
    std::optional<MemberRecord> find(const MemberId &id) const;

    /// Members of @p zone that are alive or suspect, this one included, ordered by id.
    std::vector<MemberId> live(const ZoneId &zone) const;
    std::vector<ZoneId> zones() const;

    /// Whether a later process with this member's id exists: this process was replaced.
    bool isReplaced() const
    {
        return isReplaced_;
    }
    std::uint64_t suspicionCount() const
    {
        return suspicionCount_;
    }

private:
    struct Known {
        MemberRecord record;
        TimePoint changedAt{};
        unsigned transmissionsLeft = 0;
    };

    void store(const MemberRecord &record, TimePoint now);
    unsigned transmissions() const;

    MemberListOptions options_;
    MemberRecord self_;
    std::map<MemberId, Known> known_;
    bool isReplaced_ = false;
    std::uint64_t suspicionCount_ = 0;
};

/// Whether @p status counts as a member of the fleet.
constexpr bool isLiveStatus(MemberStatus status)
{
    return status == MemberStatus::Alive || status == MemberStatus::Suspect;
}

}
