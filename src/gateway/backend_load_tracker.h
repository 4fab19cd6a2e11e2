#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "fleet/replica_view.h"

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace carawaypoint
{

/// A request in progress at a backend server that can be sent to another server too.
class ReroutableCall
{
public:
    virtual ~ReroutableCall() = default;
    /// Whether the server has sent part of the response.
    virtual bool hasStarted() const = 0;
    /// The server is silent: asks another server too, if the route allows that, and continues there once that one has begun to answer. Called
    /// again while the silence lasts.
    virtual void reroute() = 0;
};

struct BackendLoadTrackerSettings {
    Duration tick{milliseconds(100)}; // interval between calls of tick()
    unsigned stallTicks = 8; // a server is stalled after this many ticks without an event on any of its streams
    unsigned stallTicksBeforeFirstEvent = 14; // while no stream has had an event yet, since queued requests wait for longer
    /// Number of ticks without an event after which this daemon reroutes its streams although other daemons receive events, since only its
    /// own connections may have failed. Callers give up after two seconds without an event.
    unsigned localStallTicks = 17;
    unsigned progressTicks = 4; // a server is reported as progressing for this many ticks after an event
    Duration stallBackoff{seconds(7)}; // a stalled server is tried again after this time
    Duration failureBackoff{milliseconds(1500)}; // after a failure; doubled for each further consecutive one
    unsigned maxBackoffDoublings = 3;
    /// Load limits of a replica, in requests per slot. A request beyond its slots waits until another one ends, which is longer than the
    /// target time of short ones allows; in a long peak a queue would make all of them late. Callers that retry after a refusal are late
    /// already and would give up after another one; they wait behind new requests. Interrupting a started stream is worse than slowing
    /// others down a little.
    double maxLoad = 1.0;
    double maxLoadForRetries = 1.05;
    double maxLoadForStartedStreams = 1.7;
    double maxPlainLoad = 3; // same for servers of plain services, whose requests are short
    double prefillWeight = 2; // load equivalent of pending prefill that takes one second
    double prefillSlotShare = 1; // share of the slots that pending prefill of one second occupies
    double maxJitter = 0.03; // maximum random addition to a load
    double remoteZonePenalty = 0.06; // load added to servers in another availability zone
    /// The load that a server states in a response replaces the counts of peers for this time, in which their reports are no newer.
    Duration statedLoadTime{milliseconds(100)};
    Duration peerTimeout{seconds(2)}; // the counts of a daemon that sends no reports are dropped after this time
};

/// Progress of a request when a target is chosen; determines the load limit.
enum class RequestStage : std::uint8_t {
    New,
    Retried, // the caller retries after a refusal
    StreamStarted, // its stream had events from a server that was lost
};

/// Estimated changes at the servers of a pool since the counts of peers were taken. Both are 0 when the counts are current.
struct StalenessEstimate {
    double startedRequests = 0; // requests that all gateways have sent or want to send there
    double endedShare = 0; // share of the counted requests that have ended since
};

/// Load of one backend server as reported to other daemons.
struct BackendLoad {
    VmId server;
    unsigned requests = 0;
    unsigned pendingPrefillTokens = 0; // prompt tokens of streams without an event so far
    bool isStalled = false;
    bool isProgressing = false; // some stream had an event recently

    /// Adds the load that another gateway has at the same server.
    void add(const BackendLoad &other);

    bool operator==(const BackendLoad &) const = default;
};

/// Tracks load and health of the backend servers and chooses targets for requests. Does no I/O; time and random generator are passed in.
///
/// Detects replicas with a lost member, whose head accepts requests but sends nothing. A server counts as stalled only when none of
/// its streams has an event: a daemon with a single stream that waits in a queue must not exclude the replica for all others, so an
/// event at any daemon overrides the missing events at another one.
class BackendLoadTracker
{
public:
    explicit BackendLoadTracker(BackendLoadTrackerSettings settings = {});

    /// @param stream null for requests that cannot be rerouted; @param promptTokens 0 when not known.
    void recordRequestStart(const VmId &server, ReroutableCall *stream, unsigned promptTokens = 0);
    /// The first event of a stream arrived, so its prefill is complete.
    void recordPrefillEnd(const VmId &server, unsigned promptTokens);
    /// @param pendingPrefillTokens prompt tokens whose prefill was not recorded as complete.
    void recordRequestEnd(const VmId &server, ReroutableCall *stream, unsigned pendingPrefillTokens = 0);
    /// Part of a stream arrived.
    void recordProgress(const VmId &server);
    /// The server stated in a response that it has @p requests in progress or waiting, of all daemons.
    void recordStatedLoad(const VmId &server, unsigned requests, TimePoint now);
    void recordFailure(const VmId &server, TimePoint now);
    void recordSuccess(const VmId &server);
    /// Detects stalled servers and reroutes their requests. Late ticks do not count, since received data may not be processed yet.
    void tick(TimePoint now);

    void setPeerLoads(const MemberId &peer, std::vector<BackendLoad> loads, TimePoint now);
    std::vector<BackendLoad> ownLoads() const;
    /// Requests in progress at @p server, from this daemon and its peers.
    unsigned requestsAt(const VmId &server) const;
    /// Servers that this daemon or a peer has found to be stalled since the last call.
    std::vector<VmId> takeStalled();

    struct Choice {
        const ServingTarget *target = nullptr; // null when no target is available
        bool isFull = false; // some target is healthy, but none has free capacity
        double load = 0; // of the target, or the lowest load when all are full; without the estimated ended requests
        double freeCapacity = 0; // requests that all targets together can accept
        double expected = 0; // requests of all gateways that compete for freeCapacity
    };
    /// Chooses a target with a low load per slot, preferring servers that are not in backoff. Never chooses one of @p excluded.
    ///
    /// When the counts of peers are old, all gateways would overload the least loaded target before the next counts arrive. The
    /// requests that all gateways send meanwhile are therefore distributed so that they fill the targets to the same level; if they
    /// exceed the free capacity, each gateway admits the share that fits. A target of this distribution that is in @p connected, to which
    /// this gateway has an idle connection, goes first.
    Choice choose(std::span<const ServingTarget> targets,
                  const ZoneId &zone,
                  std::span<const VmId> excluded,
                  TimePoint now,
                  std::mt19937_64 &random,
                  RequestStage stage = RequestStage::New,
                  const StalenessEstimate &staleness = {},
                  std::span<const VmId> connected = {}) const;

private:
    struct StatedPeerRequests {
        unsigned requests = 0; // of peers
        TimePoint at{};
    };
    struct Backend {
        unsigned own = 0; // requests in progress of this daemon
        unsigned pendingPrefillTokens = 0; // prompt tokens of this daemon's streams without an event
        std::unordered_set<ReroutableCall *> streams;
        unsigned quietTicks = 0; // ticks without an event while streams are in progress
        unsigned ticksSinceEvent = 0;
        bool hadEvents = false;
        unsigned failures = 0;
        TimePoint backoffUntil{};
        bool isStalled = false;
        std::optional<StatedPeerRequests> stated; // until it is older than statedLoadTime
    };
    struct PeerLoads {
        std::vector<BackendLoad> loads;
        TimePoint at{};
    };

    void tickBackend(const VmId &server, Backend &backend, TimePoint now);
    static void rerouteStreams(const Backend &backend);
    bool isProgressing(const Backend &backend) const;
    bool isProgressingAtPeer(const VmId &server) const;
    void sumPeerLoads();
    struct Candidate {
        const ServingTarget *target = nullptr;
        double load = 0;
        double score = 0; // the lower the better
        double freeCapacity = 0; // requests until the load limit
    };

    bool isStalled(const VmId &server) const;
    double loadLimit(const ServingTarget &target, RequestStage stage) const;
    static const Candidate &pickLowest(std::span<const Candidate> candidates);
    static Candidate pickByWaterFilling(std::vector<Candidate> candidates, double requests, std::span<const VmId> connected, std::mt19937_64 &random);
    double loadOf(const ServingTarget &target) const;
    /// Seconds that the target needs for its pending prefill.
    double prefillSeconds(const ServingTarget &target) const;

    BackendLoadTrackerSettings settings_;
    std::unordered_map<VmId, Backend> backends_;
    std::unordered_map<MemberId, PeerLoads> peers_;
    std::unordered_map<VmId, BackendLoad> peerLoadSums_;
    std::vector<VmId> stalled_;
    TimePoint lastTick_{};
};

}
