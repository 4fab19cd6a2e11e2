#pragma once

#include "core/random.h"
#include "membership/member_list.h"
#include "membership/messages.h"
#include "membership/shared_state.h"

#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypoint
{

/// Which state an exchange carries.
enum class DisseminationStrategy : std::uint8_t {
    ChangesOnly, // the default
    FullState, // baseline for comparison: every exchange carries the whole state
};

struct MemberTableOptions {
    Duration period = seconds(1); // of exchanges
    unsigned peersPerPeriod = 2; // peers that a member contacts each period

    // In a zone of 83 members with 2 peers, 0.07% of reads exceed the observation bound (oldest 3.7 s); with 3 peers the
    // oldest is 2.9 s. In a zone of 15 members with 2 peers, 0.001% exceed it (observation_delivery_test.cpp).
    unsigned peersInLargeZone = 3;
    std::size_t largeZoneMembers = 10; // from this many members on, peersInLargeZone applies
    unsigned suspicionPeriods = 4; // after which a suspect member is declared dead
    unsigned pausePeriods = 3; // a longer gap between two ticks counts as a pause of this process
    unsigned soleMemberPeriods = 10; // without another live member in the zone, after which this member is current
    Duration observationBound = seconds(3); // maximum age of a fresh observation
    Duration signalRetention = minutes(10); // of own crash suspects and leaving signals
    double demandRecordsPerSecond = 5; // of a whole zone; limits the cost of demand and load records in large zones
    DisseminationStrategy strategy = DisseminationStrategy::ChangesOnly;
};

/// The receiver of an exchange. A target from the seed list has only an address.
struct PeerTarget {
    MemberId id;
    std::uint64_t process = 0;
    Endpoint address;
};

struct OutgoingExchange {
    PeerTarget target;
    PeerMessage message;
};

/// A crash suspect or leaving VM that another member reported.
struct PeerSignal {
    enum class Kind : std::uint8_t {
        CrashSuspect,
        Leaving,
    };
    Kind kind = Kind::CrashSuspect;
    std::string subject; // fingerprint of a request, or VM
    std::uint64_t weightThousandths = 0; // of a crash suspect
};

/// The state machine of this daemon's membership protocol. Performs no I/O: time, random generator and messages are passed in.
///
/// Cost per daemon and period, for a zone of N members, with f = peersPerPeriod: 2f exchanges, each of at most N stamps each
/// way, plus changed records; a bridge member sends the stamps of one other zone in addition. Demand and load cost at most
/// demandRecordsPerSecond records a second in a zone of any size, because the interval per member grows with N.
class MemberTable
{
public:
    MemberTable(MemberTableOptions options, const MemberRecord &self, RandomGenerator &random, TimePoint now);

    /// Time between two calls of tick().
    Duration tickInterval() const
    {
        return options_.period / peersPerPeriod();
    }
    /// Sets addresses from the settings and from the platform's list of the zone. Addresses that no live member has are contacted.
    void setSeeds(std::vector<Endpoint> seeds);
    /// Runs periodic work and returns the exchanges to send.
    std::vector<OutgoingExchange> tick(TimePoint now);
    /// Returns exchanges to send at once if an urgent change was set since the last call.
    std::vector<OutgoingExchange> takeUrgentExchanges(TimePoint now);
    PeerMessage handleRequest(const PeerMessage &request, TimePoint now);
    void handleResponse(const PeerTarget &target, const PeerMessage &response, TimePoint now);
    void handleFailure(const PeerTarget &target, TimePoint now);

    void setObservation(const VmId &vm, const ServerState &state, TimePoint now);
    void removeObservation(const VmId &vm, TimePoint now);
    /// Records that all own servers with isSeen were probed successfully at @p at or later.
    void recordProbeRound(TimePoint at);
    void setDemand(std::vector<KeyCount> customers, std::vector<KeyCount> replicas);
    void reportCrashSuspect(const std::string &fingerprint, std::uint64_t weightThousandths, TimePoint now);
    void reportLeaving(const VmId &vm, TimePoint now);
    void setGeneration(std::uint64_t generation, std::uint64_t digest);
    void recordPlatformRevision(std::uint64_t revision);
    /// Publishes that this member stops.
    void leave();

    /// Whether this member received a full exchange since its start or last pause, or is the only member of its zone.
    bool isCurrent(TimePoint now);
    /// Records a pause that the steady clock does not show, for example a suspended VM.
    void recordPause(TimePoint now);
    /// The functions for roles return false unless isCurrent().
    bool isProberOf(const VmId &vm, TimePoint now);
    bool isWatcher(TimePoint now);
    bool isBridgeTo(const ZoneId &zone, TimePoint now);
    bool isOldestInZone(TimePoint now);

    const MemberList &members() const
    {
        return memberList_;
    }
    /// Whether another member of the zone answered within the observation bound.
    bool isPeerExchangeFresh(TimePoint now) const;
    std::vector<ObservedServer> observations(TimePoint now);
    /// Sums over the other alive members of this zone and the latest sums of the other zones.
    std::map<std::uint32_t, std::uint32_t> peerDemand() const;
    std::map<std::uint32_t, std::uint32_t> peerInFlight() const;
    std::uint64_t highestPlatformRevision() const
    {
        return platformRevision_;
    }
    std::vector<PeerSignal> takeSignals();
    /// Increases with every change of the members or of the shared state.
    std::uint64_t changeCount() const
    {
        return changeCount_;
    }
    std::uint64_t fullExchangeCount() const
    {
        return fullExchangeCount_;
    }
    std::uint64_t pauseCount() const
    {
        return pauseCount_;
    }

private:
    unsigned peersPerPeriod() const;
    void detectPause(TimePoint now);
    PeerMessage buildMessage(const ZoneId &reader, TimePoint now);
    PeerMessage fullStateMessage(TimePoint now) const;
    void applyMessage(const PeerMessage &message, TimePoint now);
    void applySummary(const PeerMessage &message, TimePoint now);
    void checkDigest(const PeerMessage &message);
    void syncStateOwners();
    void publishDemand(TimePoint now);
    void expireSignals(TimePoint now);
    std::optional<PeerTarget> nextExchangePeer();
    std::optional<PeerTarget> unusedSeed();
    PeerTarget targetOf(const MemberId &id) const;
    void addBridgeExchanges(std::vector<OutgoingExchange> &out, TimePoint now);
    /// Adds the record of a receiver that is considered suspect or dead, so that it can refute.
    void addSuspicion(PeerMessage &message, const MemberRecord &receiver);
    ZoneSummary summaryFor(const ZoneId &reader, TimePoint now) const;
    std::map<std::uint32_t, std::uint32_t> sumCounts(std::vector<KeyCount> StateEntry::*counts, bool isZoneOnly) const;
    void updateSoleMemberState();
    /// Removes the entries about other zones that this member published, when they are old or it is no longer a bridge.
    void expireZoneEntries(TimePoint now);

    MemberTableOptions options_;
    RandomGenerator &random_;
    MemberList memberList_;
    SharedState sharedState_;
    std::vector<Endpoint> seeds_;
    std::vector<MemberId> shuffledPeers_; // remaining members of the zone in random order; refilled when empty
    TimePoint lastTickAt_;
    TimePoint ignoreFailuresUntil_{};
    TimePoint lastPeerResponseAt_{};
    TimePoint periodStartedAt_{};
    bool isCurrent_ = false;
    bool needsFullExchange_ = true;
    unsigned soleMemberTicks_ = 0;
    unsigned digestMismatches_ = 0;
    bool hasUrgentChanges_ = false;
    StateEntry pendingDemand_;
    std::map<VmId, ServerState> pendingLoad_;
    std::map<ZoneId, TimePoint> zoneDemandPublishedAt_; // by zone; time of the last ZoneDemand entry that this bridge published
    TimePoint nextDemandPublishAt_{};
    std::deque<std::pair<TimePoint, std::pair<EntryKind, std::string>>> ownSignals_;
    std::vector<PeerSignal> receivedSignals_;
    std::uint64_t platformRevision_ = 0;
    std::uint64_t changeCount_ = 0;
    std::uint64_t fullExchangeCount_ = 0;
    std::uint64_t pauseCount_ = 0;
};

}
