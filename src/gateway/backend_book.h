#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "fleet/replica_view.h"

#include <cstdint>
#include <random>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace carawaypoint
{

/// A call in progress at a backend server, as far as the book has to move it.
class MovableCall
{
public:
    virtual ~MovableCall() = default;
    /// Whether the server has sent part of the answer.
    virtual bool hasBegun() const = 0;
    /// The server is stalled; the call goes on elsewhere if it may.
    virtual void moveAway() = 0;
};

struct BackendBookSettings {
    Duration tick{milliseconds(100)}; // how often tick() is called
    unsigned silentTicks = 8; // without an event of any stream in progress, after which a server is stalled
    unsigned silentTicksUnbegun = 14; // when no stream has begun: a queue can be silent for longer
    unsigned silentTicksAlone = 17; // when other daemons get events: only the connections of this one may be at fault. Callers leave
                                    // after two seconds of silence
    unsigned progressTicks = 4; // without an event, after which a server is not reported as progressing
    Duration stallAvoidTime{seconds(7)}; // after which a stalled server is tried again
    Duration failureAvoidTime{milliseconds(1500)}; // after a failure, doubled for each further one in a row
    unsigned maxFailureDoublings = 3;
    double fullAtLoad = 1.1; // requests for each slot, above which a replica gets no more: its queue alone would make them late
    double fullForReturned = 1.2; // as above for callers that come back after a refusal: they are late already, and would give up
    double fullForMoved = 1.7; // as above for streams that have begun elsewhere: to cut one is worse than to slow others a little
    double plainFullAtLoad = 3; // as above for plain services, whose requests are short
    double unreadWeight = 2; // load of a second's worth of prompts that wait to be read
    double unreadRoom = 1; // part of the slots that prompts which take a second to read occupy until they are read
    double spread = 0.03; // random part of a load
    double remotePenalty = 0.06; // load that a server in another availability zone counts more
    Duration peerTimeout{seconds(2)}; // after which the counts of a silent daemon are dropped
};

/// How much a request has behind it when a target is chosen.
enum class RequestStage : std::uint8_t {
    New,
    Returned, // its caller was refused before and came back
    Begun, // its stream has begun at a server that was lost
};

/// What happened at the servers of a pool since the counts of peers were taken. Both are 0 where these are fresh.
struct CountDrift {
    double begun = 0; // requests that all gateways have sent there or would like to send
    double endedPart = 0; // of the requests in the counts
};

/// Load of one backend server as a daemon tells its peers.
struct BackendLoad {
    VmId server;
    unsigned requests = 0;
    unsigned unreadTokens = 0; // of prompts whose stream has not begun
    bool isStalled = false;
    bool isProgressing = false; // some stream had an event just before

    /// Adds what another gateway has at the same server.
    void add(const BackendLoad &other);

    bool operator==(const BackendLoad &) const = default;
};

/// What this daemon knows of the load and health of each backend server. Pure but for the random generator passed in.
///
/// Answers the pattern of a replica whose member is lost: its head accepts requests and sends nothing. Silence of all its
/// streams, not of one, marks it as stalled: a daemon with a single stream that waits in a queue must not take the replica away from
/// all others, so that an event at any daemon disproves the silence that one of them sees.
class BackendBook
{
public:
    explicit BackendBook(BackendBookSettings settings = {});

    /// @param promptTokens 0 when not known.
    void begin(const VmId &server, MovableCall *stream, unsigned promptTokens = 0);
    /// The first event of a stream arrived, so its prompt has been read.
    void noteRead(const VmId &server, unsigned promptTokens);
    /// @param unreadTokens of a prompt that was not noted as read.
    void end(const VmId &server, MovableCall *stream, unsigned unreadTokens = 0);
    /// Bytes of a stream arrived.
    void noteProgress(const VmId &server);
    void noteFailure(const VmId &server, TimePoint now);
    void noteSuccess(const VmId &server);
    /// Detects stalled servers and moves their calls. A late tick does not count, since answers may wait unread.
    void tick(TimePoint now);

    void setPeerLoads(const MemberId &peer, std::vector<BackendLoad> loads, TimePoint now);
    std::vector<BackendLoad> ownLoads() const;
    /// Servers that this daemon or a peer found stalled since the last call.
    std::vector<VmId> takeStalled();

    struct Choice {
        const ServingTarget *target = nullptr; // null when none is left or all are full
        bool isFull = false; // some target is healthy, but none has room
        double load = 0; // of the target, or the least load when all are full; without requests that have ended since the counts
        double room = 0; // requests that all targets can take
        double expected = 0; // requests of all gateways that compete for it
    };
    /// A target with little load for its slots, healthy ones first. @p excluded are not chosen.
    ///
    /// Where the counts of peers are old, the least loaded target would be overrun before the next counts arrive. What all gateways
    /// send meanwhile is spread so that it fills the targets to the same level, and where it is more than they have room for, each
    /// gateway admits the part that fits.
    Choice choose(std::span<const ServingTarget> targets,
                  const ZoneId &zone,
                  std::span<const VmId> excluded,
                  TimePoint now,
                  std::mt19937_64 &random,
                  RequestStage stage = RequestStage::New,
                  const CountDrift &drift = {}) const;

private:
    struct Backend {
        unsigned own = 0;
        unsigned unreadTokens = 0;
        std::unordered_set<MovableCall *> streams;
        unsigned quietTicks = 0; // while streams are in progress
        unsigned ticksSinceEvent = 0;
        bool hadEvents = false;
        unsigned failures = 0;
        TimePoint avoidUntil{};
        bool isStalled = false;
    };
    struct PeerLoads {
        std::vector<BackendLoad> loads;
        TimePoint at{};
    };

    void tickBackend(const VmId &server, Backend &backend, TimePoint now);
    static void moveStreams(const Backend &backend);
    bool isProgressing(const Backend &backend) const;
    bool isProgressingElsewhere(const VmId &server) const;
    void sumPeers();
    struct Candidate {
        const ServingTarget *target = nullptr;
        double load = 0;
        double score = 0; // the lower the better
        double room = 0; // requests until the target is full
    };

    bool isStalled(const VmId &server) const;
    double fullLoad(const ServingTarget &target, RequestStage stage) const;
    static const Candidate &pickLowest(std::span<const Candidate> candidates);
    static Candidate pickByLevel(std::vector<Candidate> candidates, double requests, std::mt19937_64 &random);
    double loadOf(const ServingTarget &target) const;
    /// Seconds that the target needs for the prompts that wait there.
    double readSeconds(const ServingTarget &target) const;

    BackendBookSettings settings_;
    std::unordered_map<VmId, Backend> backends_;
    std::unordered_map<MemberId, PeerLoads> peers_;
    std::unordered_map<VmId, BackendLoad> peerSums_;
    std::vector<VmId> stalled_;
    TimePoint lastTick_{};
};

}
