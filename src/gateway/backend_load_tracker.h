#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "fleet/replica_view.h"

#include <cstdint>
#include <optional>
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
    /// The load that a server states in a response replaces the counts of peers for this time, in which their reports are no newer.
    Duration statedLoadTime{milliseconds(100)};
    Duration peerTimeout{seconds(2)}; // the counts of a daemon that sends no reports are dropped after this time
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

/// Tracks load and health of the backend servers. Does no I/O; the time is passed in.
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
    /// The links of this gateway to all servers are lost: reroutes its streams, and forgets the failures and the silence that it saw, which say nothing
    /// about the servers.
    void recordLinksLost();
    /// Detects stalled servers and reroutes their requests. Late ticks do not count, since received data may not be processed yet.
    void tick(TimePoint now);

    void setPeerLoads(const MemberId &peer, std::vector<BackendLoad> loads, TimePoint now);
    /// Forgets the loads of all peers, since they will be reported by other ones.
    void dropPeerLoads();
    std::vector<BackendLoad> ownLoads() const;
    /// Requests in progress at @p server, from this daemon and its peers.
    unsigned requestsAt(const VmId &server) const;
    /// Servers that this daemon or a peer has found to be stalled since the last call.
    std::vector<VmId> takeStalled();

    /// Requests in progress at @p target for each of its slots.
    double loadOf(const ServingTarget &target) const;
    /// Seconds that the target needs for its pending prefill.
    double prefillSeconds(const ServingTarget &target) const;
    /// Whether no stream of the server makes progress.
    bool isStalled(const VmId &server) const;
    /// Whether the server has failed recently.
    bool isInBackoff(const VmId &server, TimePoint now) const;

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

    BackendLoadTrackerSettings settings_;
    std::unordered_map<VmId, Backend> backends_;
    std::unordered_map<MemberId, PeerLoads> peers_;
    std::unordered_map<VmId, BackendLoad> peerLoadSums_;
    std::vector<VmId> stalled_;
    TimePoint lastTick_{};
};

}
