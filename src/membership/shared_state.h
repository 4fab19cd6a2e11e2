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

/// The state of a backend server, merged from the observations of all fresh probers.
struct ObservedServer {
    VmId vm;
    ZoneId zone;
    ServerState state; // as reported by the prober that saw it last
    TimePoint lastSeen{}; // TimePoint{} if no fresh prober saw it
};

/// The versioned entries of all members and their reconciliation between two members.
///
/// Each owner numbers its changes. An exchange compares the highest known version per owner and sends newer entries, lowest
/// version first, so that a size-limited message leaves no gap. A freshness stamp means "all my servers except those listed as
/// not seen were seen at T", so a reader uses it only when it knows all observations up to the version of the stamp.
///
/// Cost per exchange in a zone of N members: N stamps of 10 bytes in the request, the newer ones in the response, and each
/// changed entry once per receiver. The cost of freshness depends on the number of probers, not of servers.
class SharedState
{
public:
    SharedState(MemberRecord self, TimePoint now);

    /// Sets an entry of this member. Returns whether it changed. With @p isUrgent, the change is also pushed without a request.
    bool setOwn(StateEntry entry, TimePoint now, bool isUrgent);
    void removeOwn(EntryKind kind, std::string_view key, TimePoint now);
    const StateEntry *findOwn(EntryKind kind, std::string_view key) const;
    std::vector<std::string> ownKeys(EntryKind kind) const;

    /// Records that all own servers with isSeen were seen at @p at or later.
    void markOwnSeen(TimePoint at);

    void addOwner(const MemberRecord &member);
    void removeOwner(const MemberId &id);

    /// Marks all observations as stale, after a pause of this process.
    void markAllStale();

    std::uint64_t ownStampTicks() const
    {
        return static_cast<std::uint64_t>(ownState_.ticks);
    }

    /// Stamps for an exchange within the zone: all owners of the zone, and of the other zones those with recent changes and a
    /// rotating part of the rest.
    std::vector<OwnerStamp> zoneStamps(TimePoint now);
    /// Versions of the owners in @p zone, without freshness stamps, for an exchange with that zone.
    std::vector<OwnerStamp> versionStampsOf(const ZoneId &zone) const;
    std::vector<OwnerStamp> allStamps(TimePoint now) const;
    /// Stamps that are newer than @p theirs, for the owners that @p theirs names and those of the zone @p reader.
    std::vector<OwnerStamp> newerStamps(const std::vector<OwnerStamp> &theirs, const ZoneId &reader, TimePoint now) const;
    /// At most @p limit entries that the sender of @p theirs does not know, starting with a random owner.
    std::vector<OwnerDelta> newerDeltas(const std::vector<OwnerStamp> &theirs, const ZoneId &reader, std::size_t limit, RandomGenerator &random) const;
    /// At most @p limit entries with an urgent change within the last UrgentPushDuration.
    std::vector<OwnerDelta> urgentDeltas(TimePoint now, const ZoneId &reader, std::size_t limit) const;
    /// All entries of all owners, for the baseline strategy.
    std::vector<OwnerDelta> allDeltas() const;

    /// Applies entries and stamps received from a peer. Returns the entries that were new to this member.
    std::vector<StateEntry> apply(const std::vector<OwnerDelta> &deltas, const std::vector<OwnerStamp> &stamps, TimePoint now);

    /// The merged state of the servers of all zones. Cost: one pass over all entries.
    std::vector<ObservedServer> observations(TimePoint now) const;
    /// Entries of @p kind whose owner @p isIncluded accepts, with the owner's id.
    using MemberFilter = std::function<bool(const MemberId &)>;
    std::vector<std::pair<MemberId, const StateEntry *>> entriesOf(EntryKind kind, const MemberFilter &isIncluded) const;

    /// Summary of this zone for another zone. @p bound is the maximum age of a fresh observation.
    ZoneSummary summarise(TimePoint now, Duration bound) const;

    std::size_t entryCount() const;

private:
    using Key = std::pair<EntryKind, std::string>;

    struct OwnerState {
        MemberId id;
        ZoneId zone;
        std::uint32_t key = 0;
        std::uint32_t version = 0;
        std::uint32_t floor = 0; // see OwnerDelta::floor
        std::uint32_t exceptionVersion = 0; // of the last change of an observation or of another zone's freshness
        std::map<Key, StateEntry> entries;
        std::int64_t ticks = 0; // last stamp in StampUnit, without the modulo 2^16
        bool hasTicks = false; // whether a first stamp was received
        bool hasOffset = false; // whether a second, later stamp was received, which shows that the owner runs
        Duration offset{}; // minimum of local time minus the owner's time
        TimePoint offsetAt{};
        TimePoint lastSeen{};
        std::uint32_t urgentBaseVersion = 0; // version before the current urgent changes
        TimePoint urgentUntil{}; // until then urgent changes are pushed
        TimePoint changedStampUntil{}; // until then zoneStamps() includes this owner of another zone
    };

    static OwnerStamp stampOf(const OwnerState &owner, TimePoint now);
    void applyStamp(OwnerState &owner, const OwnerStamp &stamp, TimePoint now);
    std::optional<OwnerDelta> deltaFor(const OwnerState &owner, std::uint32_t known, const ZoneId &reader, std::size_t limit) const;
    void limitRemovedMarkers(TimePoint now);
    const OwnerState *findOwner(std::uint32_t key) const;
    void addLoads(std::map<std::string, ObservedServer> &servers) const;
    TimePoint lastSeenInOtherZone(const ZoneId &zone, const std::string &vm, TimePoint now) const;

    MemberRecord self_;
    OwnerState ownState_;
    std::map<std::uint32_t, OwnerState> owners_;
    std::uint32_t lastRotatingOwner_ = 0; // owner key after which the next rotating part of zoneStamps() starts
};

}
