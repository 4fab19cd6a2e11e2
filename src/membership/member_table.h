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

/// What an exchange carries.
enum class DisseminationStrategy : std::uint8_t {
    ChangesOnly, // chosen
    FullState, // baseline: every exchange carries everything
};

struct MemberTableOptions {
    Duration period = seconds(1);
    unsigned peersPerPeriod = 2;
    // With 2 peers a zone of 83 members misses the observation bound for 0.07% of reads (oldest 3.7 s); with 3 the oldest
    // was 2.9 s, and one of 15 members with 2 peers missed it for 0.001% (observation_delivery_test.cpp).
    unsigned peersInLargeZone = 3;
    std::size_t largeZone = 10; // members
    unsigned suspicionPeriods = 4;
    unsigned pausePeriods = 3; // a longer gap between two ticks means that this process was paused
    unsigned alonePeriods = 10; // without any other live member in the zone, after which this one is current by itself
    Duration observationBound = seconds(3);
    Duration signalRetention = minutes(10); // of crash suspects and leaving signals
    double demandRecordsPerSecond = 5; // of a whole zone; bounds the cost of demand and load in large zones
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

/// A signal that another member published.
struct PeerSignal {
    enum class Kind : std::uint8_t {
        CrashSuspect,
        Leaving,
    };
    Kind kind = Kind::CrashSuspect;
    std::string subject; // fingerprint or VM
    std::uint64_t weightThousandths = 0; // of a crash suspect
};

/// The state of this daemon's membership protocol. Pure: time, random generator and messages are passed in.
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
    /// Addresses from the settings and from the platform's list of a zone; those not in use by a member are contacted.
    void setSeeds(std::vector<Endpoint> seeds);
    std::vector<OutgoingExchange> tick(TimePoint now);
    /// Exchanges to send at once when an urgent change was fed since the last call.
    std::vector<OutgoingExchange> takeUrgent(TimePoint now);
    PeerMessage handleRequest(const PeerMessage &request, TimePoint now);
    void handleResponse(const PeerTarget &target, const PeerMessage &response, TimePoint now);
    void handleFailure(const PeerTarget &target, TimePoint now);

    void setObservation(const VmId &vm, const ServerState &state, TimePoint now);
    void removeObservation(const VmId &vm, TimePoint now);
    /// All own servers whose observation says isSeen were seen at @p at or later.
    void markProbed(TimePoint at);
    void setDemand(std::vector<KeyCount> customers, std::vector<KeyCount> replicas);
    void reportCrashSuspect(const std::string &fingerprint, std::uint64_t weightThousandths, TimePoint now);
    void reportLeaving(const VmId &vm, TimePoint now);
    void setGeneration(std::uint64_t generation, std::uint64_t digest);
    void notePlatformRevision(std::uint64_t revision);
    /// Announces that this member stops.
    void leave();

    /// Whether this member has exchanged state since its start or its last pause.
    bool isCurrent(TimePoint now);
    /// This process was paused in a way that the clock does not show, for example with its VM.
    void notePause(TimePoint now);
    /// Roles are held only while isCurrent().
    bool isProberOf(const VmId &vm, TimePoint now);
    bool isWatcher(TimePoint now);
    bool isBridgeTo(const ZoneId &zone, TimePoint now);
    bool isOldestInZone(TimePoint now);

    const MemberList &members() const
    {
        return list_;
    }
    /// Whether another member of the zone answered within the observation bound.
    bool isPeerExchangeFresh(TimePoint now) const;
    std::vector<ObservedServer> observations(TimePoint now);
    /// Sum over the other members of this zone that are alive and the latest sums of other zones.
    std::map<std::uint32_t, std::uint32_t> peerDemand() const;
    std::map<std::uint32_t, std::uint32_t> peerInFlight() const;
    std::uint64_t highestPlatformRevision() const
    {
        return platformRevision_;
    }
    std::vector<PeerSignal> takeSignals();
    /// Changes with every change of the members or of the shared state.
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
    void noticePause(TimePoint now);
    PeerMessage messageFor(const ZoneId &reader, TimePoint now);
    PeerMessage fullStateMessage(TimePoint now) const;
    void applyMessage(const PeerMessage &message, TimePoint now);
    void applySummary(const PeerMessage &message, TimePoint now);
    void checkDigest(const PeerMessage &message);
    void syncOwners();
    void publishDemand(TimePoint now);
    void expireSignals(TimePoint now);
    std::optional<PeerTarget> nextPeer();
    std::optional<PeerTarget> unusedSeed();
    PeerTarget targetOf(const MemberId &id) const;
    void addBridgeExchanges(std::vector<OutgoingExchange> &out, TimePoint now);
    /// Tells a receiver that is held to be suspect or dead, so that it can refute.
    void addDoubt(PeerMessage &message, const MemberRecord &receiver);
    ZoneSummary summaryFor(const ZoneId &reader, TimePoint now) const;
    std::map<std::uint32_t, std::uint32_t> sumOf(std::vector<KeyCount> StateEntry::*counts, bool isZoneOnly) const;
    void updateAlone();
    /// Removes what this member published of other zones when it is old or the role of bridge is gone.
    void expireZoneEntries(TimePoint now);

    MemberTableOptions options_;
    RandomGenerator &random_;
    MemberList list_;
    SharedState state_;
    std::vector<Endpoint> seeds_;
    std::vector<MemberId> peerOrder_; // members of the zone in random order, refilled when all had their turn
    TimePoint lastTickAt_;
    TimePoint failuresCountFrom_{};
    TimePoint lastPeerAnswerAt_{};
    TimePoint periodStart_{};
    bool isCurrent_ = false;
    bool isFullWanted_ = true;
    unsigned aloneTicks_ = 0;
    unsigned digestMismatches_ = 0;
    bool isUrgent_ = false;
    StateEntry pendingDemand_;
    std::map<VmId, ServerState> pendingLoad_;
    std::map<ZoneId, TimePoint> zoneDemandAt_; // of the last ZoneDemand that this bridge published
    TimePoint nextDemandAt_{};
    std::deque<std::pair<TimePoint, std::pair<EntryKind, std::string>>> ownSignals_;
    std::vector<PeerSignal> signals_;
    std::uint64_t platformRevision_ = 0;
    std::uint64_t changeCount_ = 0;
    std::uint64_t fullExchangeCount_ = 0;
    std::uint64_t pauseCount_ = 0;
};

}
