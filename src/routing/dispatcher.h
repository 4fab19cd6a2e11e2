#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"
#include "core/result_code.h"
#include "core/routing_snapshot.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace carawaypoint
{

/// Properties of a model request that routing depends on.
struct ModelRequest {
    RequestId id;
    CustomerId customer;
    ModelId model;
    std::string adapter; // empty when the request uses none
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0; // output limit that the caller declared; 0 when it declared none
    TimePoint deadline; // for the first token
    std::uint64_t fingerprint = 0; // hash of the body, for crash attribution; 0 when unknown
    std::vector<std::uint64_t> prefixHashes; // hashes of the prompt's prefixes, shortest first
};

/// The replica to which a request is granted, or the reason why it is refused.
struct DispatchDecision {
    ResultCode code = ResultCode::Ok;
    ReplicaId replica;
    std::uint64_t incarnation = 0;
    Endpoint leader;
    std::uint32_t priority = 0; // in the engine's queue; the lowest number is served first
    bool isLongWork = false;
    Duration retryAfter{}; // delay before a retry, when code is a refusal that allows one
    std::string reason; // of the choice or refusal, for the decision log
    std::vector<std::string> considered; // compared replicas as "id=estimated load", for the decision log
};

/// Changes of an engine's prefix cache, from its cache events.
struct CacheUpdate {
    struct Change {
        std::uint64_t sequence = 0;
        std::uint64_t prefixHash = 0;
        bool isEvicted = false;
    };

    bool isComplete = false; // changes lists the entire cache, as after a request for the events after sequence number 0
    std::uint64_t lastSequence = 0;
    std::vector<Change> changes;
};

/// How an attempt ended.
enum class AttemptOutcome : std::uint8_t {
    Completed,
    Refused, // the engine refused the request before it ran
    ReplicaLost, // the connection broke or a member was lost while the request ran
    Stalled, // no token within the time limit
    Cancelled, // the caller disconnected
};

/// Admission, queueing and choice of replica for the model requests of one daemon. Thread-safe: one mutex, which is never
/// held while a handler runs.
///
/// The grant handler is called exactly once for each submit() and resubmit() unless the request is cancelled first, and may
/// run inside submit(), resubmit(), finish(), setSnapshot() or tick(), after the mutex was released.
class Dispatcher
{
public:
    using Ticket = std::uint64_t;
    using GrantHandler = std::function<void(const DispatchDecision &)>;

    virtual ~Dispatcher() = default;

    /// Queues or refuses a new request.
    virtual Ticket submit(const ModelRequest &request, GrantHandler handler) = 0;
    /// Removes a waiting request from the queue; false when its handler was or is being called.
    virtual bool cancel(Ticket ticket) = 0;
    /// Requests another replica, except those in @p excluded, for a granted request whose attempt failed. finish() must have
    /// released the slot of the failed attempt before. Counts against the retry budget, unless the engine refused the
    /// attempt before it ran, which costs the engine nothing. A request that has delivered tokens may wait 2 s for its next
    /// replica, whatever its deadline for the first token.
    virtual Ticket resubmit(Ticket ticket, std::span<const ReplicaId> excluded, GrantHandler handler) = 0;
    /// Reports the number of output tokens received so far, for reclassification as long work and straggler detection.
    virtual void reportProgress(Ticket ticket, std::uint32_t tokens) = 0;
    /// Ends the attempt of a granted request and releases its slot. @p tokens counts all output tokens of the attempt.
    virtual void finish(Ticket ticket, AttemptOutcome outcome, std::uint32_t tokens) = 0;
    /// Replaces the routing snapshot and grants waiting requests that the new one has slots for.
    virtual void setSnapshot(RoutingSnapshotPtr snapshot) = 0;
    /// Refuses requests whose deadline passed and grants waiting requests for which a slot became free. Called every 10 ms.
    virtual void tick() = 0;
    /// Whether the replica may take new work at this moment; checked immediately before the first byte is sent. After an
    /// attempt ended with ReplicaLost, the replica is ineligible until every member was seen again.
    virtual bool isEligible(const ReplicaId &replica, std::uint64_t incarnation) const = 0;

    /// Requests in flight and waiting per customer, and requests in flight per replica, for the exchange with peers.
    struct Demand {
        std::vector<std::pair<CustomerId, double>> customers;
        std::vector<std::pair<ReplicaId, std::uint32_t>> inFlight;
    };
    virtual Demand demand() const = 0;

    /// Returns the fingerprints that became suspected of crashing servers since the last call, to be sent to peers.
    virtual std::vector<std::uint64_t> takeCrashSuspects() = 0;
    /// Adds a crash that a peer attributes to @p fingerprint.
    virtual void addPeerCrashSuspect(std::uint64_t fingerprint) = 0;

    /// Applies changes of a replica's prefix cache to the hints for the choice of replica. Returns false after a gap in the
    /// sequence numbers: the caller then fetches a complete update, and the old hints stay in use until it arrives.
    virtual bool applyCacheUpdate(const ReplicaId &, std::uint64_t /*incarnation*/, const CacheUpdate &)
    {
        return true;
    }
};

/// Creates the dispatcher; @p seed initialises its random number generator.
std::unique_ptr<Dispatcher> makeDispatcher(const Clock &clock, std::uint64_t seed);

}
