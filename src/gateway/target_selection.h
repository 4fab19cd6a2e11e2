#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "fleet/replica_view.h"

#include <cstdint>
#include <span>
#include <vector>

namespace carawaypoint
{

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

/// A request that needs a target, as far as the choice depends on it.
struct TargetQuery {
    std::span<const ServingTarget> targets;
    TimePoint now{};
    ZoneId zone{}; // of this gateway
    RequestStage stage = RequestStage::New;
    StalenessEstimate staleness{};
    std::span<const VmId> excluded{}; // servers that must not get the request
    std::span<const VmId> connected{}; // servers to which this gateway has an idle connection
};

/// Why a candidate must not get a request.
enum class TargetRefusal : std::uint8_t {
    None,
    Excluded, // tried before, or the server has asked for no requests
    Stalled,
    AtLoadLimit,
};

/// A server that may get a request, and the figures on which the choice depends.
struct TargetCandidate {
    const ServingTarget *target = nullptr;
    double load = 0; // requests per slot, without the estimated ended ones
    double score = 0; // load with the additions and deductions of the rules; the lower the better
    double freeCapacity = 0; // requests until the load limit
    bool isInBackoff = false; // failed recently; chosen only when no other candidate is left
    TargetRefusal refusal = TargetRefusal::None;

    bool isAccepted() const
    {
        return refusal == TargetRefusal::None;
    }
    /// Whether the server is healthy and only lacks capacity now.
    bool isFull() const
    {
        return refusal == TargetRefusal::AtLoadLimit;
    }
};

using TargetCandidates = std::vector<TargetCandidate>;

/// One step of the choice of a target. The steps run in the order in which they were added to a TargetSelector; each sees the results of the
/// earlier ones. Does no I/O.
class TargetRule
{
public:
    virtual ~TargetRule() = default;
    /// Refuses candidates or changes their figures.
    virtual void apply(const TargetQuery &query, std::span<TargetCandidate> candidates) const = 0;
};

}
