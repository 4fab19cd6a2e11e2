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

/// What routing needs to know of a model request.
struct ModelRequest {
    RequestId id;
    CustomerId customer;
    ModelId model;
    std::string adapter; // empty for none
    std::uint32_t promptTokens = 0;
    std::uint32_t maxTokens = 0; // limit that the caller declared
    TimePoint deadline; // of the first token
    std::uint64_t fingerprint = 0; // of the body, for crash attribution
    std::vector<std::uint64_t> prefixHashes; // of the prompt's prefixes, shortest first
};

/// Where a request may be sent, or why not.
struct DispatchDecision {
    ResultCode code = ResultCode::Ok;
    ReplicaId replica;
    std::uint64_t incarnation = 0;
    Endpoint leader;
    std::uint32_t priority = 0; // for the engine; a lower number is served first
    bool isLongWork = false;
    Duration retryAfter{}; // when code is a refusal that may be retried
    std::string reason; // for the decision log
    std::vector<std::string> considered; // replicas with their estimated load, for the decision log
};

/// What is known of an engine's prefix cache from its cache events.
struct CacheUpdate {
    struct Change {
        std::uint64_t sequence = 0;
        std::uint64_t prefixHash = 0;
        bool isEvicted = false;
    };

    bool isComplete = false; // the changes list the whole cache, as after a request for the events after 0
    std::uint64_t lastSequence = 0;
    std::vector<Change> changes;
};

/// How an attempt ended.
enum class AttemptOutcome : std::uint8_t {
    Completed,
    Refused, // the engine refused it before running
    ReplicaLost, // the connection broke or a member was lost while it ran
    Stalled, // no token within the time limit
    Cancelled, // the caller left
};

/// Admission, queueing and choice of replica of one daemon. Thread-safe: one mutex, held for no call out.
///
/// The grant handler is called exactly once for each submit() unless the request is cancelled first, and may run
/// inside submit(), finish(), setSnapshot() or tick(), after the mutex was released.
class Dispatcher
{
public:
    using Ticket = std::uint64_t;
    using GrantHandler = std::function<void(const DispatchDecision &)>;

    virtual ~Dispatcher() = default;

    virtual Ticket submit(const ModelRequest &request, GrantHandler handler) = 0;
    /// Takes a waiting request out of the queue; false when its handler was or is being called.
    virtual bool cancel(Ticket ticket) = 0;
    /// Asks for another replica for a granted request whose attempt failed, without the ones in @p excluded.
    /// Counts against the retry budget, unless the attempt was refused before it ran and so cost the engines nothing. The slot of the failed attempt must be
    /// given up with finish() first. A request that has delivered tokens may wait 2 s for its next replica, whatever its deadline for the first token.
    virtual Ticket resubmit(Ticket ticket, std::span<const ReplicaId> excluded, GrantHandler handler) = 0;
    /// Reports tokens received so far for a granted request, for reclassification and straggler detection.
    virtual void reportProgress(Ticket ticket, std::uint32_t tokens) = 0;
    /// Gives up the slot of the attempt in progress.
    virtual void finish(Ticket ticket, AttemptOutcome outcome, std::uint32_t tokens) = 0;
    virtual void setSnapshot(RoutingSnapshotPtr snapshot) = 0;
    /// Refuses requests whose deadline passed and grants what became possible. Called every 10 ms.
    virtual void tick() = 0;
    /// Whether the replica may still take new work at this moment; checked immediately before the first byte is sent. After
    /// an attempt ended with ReplicaLost, every member has to be seen again first.
    virtual bool isEligible(const ReplicaId &replica, std::uint64_t incarnation) const = 0;

    /// Slots wanted (in flight and waiting) per customer, and requests in flight per replica, for the exchange with peers.
    struct Demand {
        std::vector<std::pair<CustomerId, double>> customers;
        std::vector<std::pair<ReplicaId, std::uint32_t>> inFlight;
    };
    virtual Demand demand() const = 0;

    /// Fingerprints suspected of crashing servers since the last call, to be sent to peers.
    virtual std::vector<std::uint64_t> takeCrashSuspects() = 0;
    /// A peer suspects @p fingerprint of a crash.
    virtual void addPeerCrashSuspect(std::uint64_t fingerprint) = 0;

    /// Takes over changes of a replica's prefix cache as hints for the choice of replica. False after a gap in the
    /// sequence: the caller then fetches a complete update, and the old hints stay in use until it arrives.
    virtual bool applyCacheUpdate(const ReplicaId &, std::uint64_t /*incarnation*/, const CacheUpdate &)
    {
        return true;
    }
};

/// Creates the dispatcher; @p seed drives its random choices.
std::unique_ptr<Dispatcher> makeDispatcher(const Clock &clock, std::uint64_t seed);

}
