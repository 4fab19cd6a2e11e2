#pragma once

#include "core/random.h"
#include "membership/messages.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

namespace carawaypoint
{

/// A backend server as all fresh probers together see it.
struct ObservedServer {
    VmId vm;
    ZoneId zone;
    ServerState state; // of the prober that saw it last
    TimePoint lastSeen{}; // TimePoint{} when no fresh prober saw it
};

/// The versioned values of every member and their reconciliation between two members.
///
/// Each owner numbers its changes. An exchange compares the highest known version per owner and sends what is newer, lowest
/// version first, so that a bounded message leaves no gap. A freshness stamp is taken over only by a reader that knows
/// all observations up to the version it was made at: "all my servers but these were seen at T" is wrong for a reader that does not know the exceptions.
///
/// Cost per exchange in a zone of N members: N stamps of 10 bytes one way and those that are newer the other way, plus each
/// changed entry once per receiver. Cost of freshness is per prober, not per server.
class SharedState
{
public:
    SharedState(MemberRecord self, TimePoint now);

    /// Sets a value of this member. Returns whether it changed; @p isUrgent changes are also pushed unasked.
    bool setOwn(StateEntry entry, TimePoint now, bool isUrgent);
    void removeOwn(EntryKind kind, std::string_view key, TimePoint now);
    const StateEntry *findOwn(EntryKind kind, std::string_view key) const;
    std::vector<std::string> ownKeys(EntryKind kind) const;

    /// All own observations with isSeen were seen at @p at or later.
    void markOwnSeen(TimePoint at);

    void addOwner(const MemberRecord &member);
    void removeOwner(const MemberId &id);

    /// Forgets how fresh the observations are; for a process that was paused.
    void markAllStale();

    std::uint64_t ownStampTicks() const
    {
        return static_cast<std::uint64_t>(own_.ticks);
    }

    /// Stamps for an exchange within the zone: all owners of the zone, changed ones and a rotating part of the others.
    std::vector<OwnerStamp> zoneStamps(TimePoint now);
    /// Versions only.
    /// Stamps of the owners in @p zone, for an exchange with another zone.
    std::vector<OwnerStamp> stampsOf(const ZoneId &zone) const;
    std::vector<OwnerStamp> allStamps(TimePoint now) const;
    /// Stamps that are newer than @p theirs, for the owners that @p theirs names and those of the zone @p reader.
    std::vector<OwnerStamp> newerStamps(const std::vector<OwnerStamp> &theirs, const ZoneId &reader, TimePoint now) const;
    /// Entries that a sender of @p theirs does not know, at most @p limit, beginning with a random owner.
    std::vector<OwnerDelta> newerDeltas(const std::vector<OwnerStamp> &theirs, const ZoneId &reader, std::size_t limit, RandomGenerator &random) const;
    /// Entries that changed urgently within the last HotTime, at most @p limit.
    std::vector<OwnerDelta> hotDeltas(TimePoint now, const ZoneId &reader, std::size_t limit) const;
    /// Everything, for the baseline strategy.
    std::vector<OwnerDelta> allDeltas() const;

    /// Takes over what a peer sent. Returns the entries that are new here.
    std::vector<StateEntry> apply(const std::vector<OwnerDelta> &deltas, const std::vector<OwnerStamp> &stamps, TimePoint now);

    /// Servers of all zones. Cost: one pass over all entries.
    std::vector<ObservedServer> observations(TimePoint now) const;
    /// Entries of @p kind of the members that @p isIncluded accepts, with the owner's zone.
    using MemberFilter = std::function<bool(const MemberId &)>;
    std::vector<std::pair<MemberId, const StateEntry *>> entriesOf(EntryKind kind, const MemberFilter &isIncluded) const;

    /// Summary of this zone for another one. @p bound is the age up to which an observation counts as fresh.
    ZoneSummary summarise(TimePoint now, Duration bound) const;

    std::size_t entryCount() const;

private:
    using Key = std::pair<EntryKind, std::string>;

    struct Owner {
        MemberId id;
        ZoneId zone;
        std::uint32_t key = 0;
        std::uint32_t version = 0;
        std::uint32_t floor = 0;
        std::uint32_t exceptionVersion = 0; // of the last change of an observation or of another zone's freshness
        std::map<Key, StateEntry> entries;
        std::int64_t ticks = 0; // last stamp, unwrapped
        bool hasTicks = false; // a first stamp was received
        bool hasOffset = false; // a second stamp was received: the owner is running
        Duration offset{}; // local time minus the owner's time, the least that was seen
        TimePoint offsetAt{};
        TimePoint lastSeen{};
        std::uint32_t hotBase = 0; // version before the latest urgent changes
        TimePoint hotUntil{};
        TimePoint changedUntil{}; // until then zoneStamps() names the owner although it is in another zone
    };

    static OwnerStamp stampOf(const Owner &owner, TimePoint now);
    void applyStamp(Owner &owner, const OwnerStamp &stamp, TimePoint now);
    std::optional<OwnerDelta> deltaFor(const Owner &owner, std::uint32_t known, const ZoneId &reader, std::size_t limit) const;
    void boundRemoved(TimePoint now);
    const Owner *owner(std::uint32_t key) const;
    void addLoads(std::map<std::string, ObservedServer> &servers) const;
    TimePoint foreignSeen(const ZoneId &zone, const std::string &vm, TimePoint now) const;

    MemberRecord self_;
    Owner own_;
    std::map<std::uint32_t, Owner> owners_;
    std::uint32_t rotation_ = 0; // owner key after which the next rotating part begins
};

}
