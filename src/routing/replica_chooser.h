#pragma once

#include "core/random.h"
#include "routing/dispatcher.h"
#include "routing/tracked_replica.h"

#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace carawaypoint
{

/// A request that needs a replica, and the limits that apply to the choice.
struct ChoiceRequest {
    const ModelRequest &request;
    bool isLong = false;
    double headroomFraction = 0; // part of the replica's slots that must stay free after the grant
    double freeSlotShare = 1; // this daemon's part of the free slots
    bool isLimitedToDaemonShare = false; // may use only the daemon's part, because other requests wait for the same slots
    double longSlotShare = 1; // part of a replica's slots that long work may hold
    double meanRelativeLoad = 0; // mean of (requests + 1) / slots over the candidates
    std::span<const std::uint64_t> prefixHolders{}; // hashes of the replicas that probably cache the request's longest known prefix
};

/// The chosen replica, null when none has a free slot, and the replicas that were compared.
struct Choice {
    TrackedReplica *entry = nullptr;
    std::string_view reason; // points to a string literal
    std::vector<const TrackedReplica *> considered;
};

/// Strategy that selects one of the eligible replicas of a model.
class ReplicaChooser
{
public:
    virtual ~ReplicaChooser() = default;

    /// @param candidates eligible replicas of the model in one zone group, without those that the request excludes.
    virtual Choice choose(std::span<TrackedReplica *const> candidates, const ChoiceRequest &request, RandomGenerator &random) = 0;
    /// Number of requests on the replica by the estimate of this strategy.
    virtual double load(const TrackedReplica &entry) const = 0;
};

/// Creates the strategy called @p name; null for an unknown name.
std::unique_ptr<ReplicaChooser> makeReplicaChooser(std::string_view name);

/// Names that makeReplicaChooser() accepts.
std::span<const std::string_view> replicaChooserNames();

}
