#pragma once

#include "core/random.h"
#include "routing/dispatcher.h"
#include "routing/replica_entry.h"

#include <memory>
#include <span>
#include <string_view>
#include <vector>

namespace carawaypoint
{

/// A request that needs a replica, with the limits that apply to it.
struct ChoiceRequest {
    const ModelRequest &request;
    bool isLong = false;
    double keepFree = 0; // part of the replica's slots that must stay free after the choice
    double claimShare = 1; // this daemon's part of the slots that are free
    bool isElastic = false; // may use only the daemon's part, since others wait for the same slots
    double longShare = 1; // of a replica's slots that long work may hold
    double meanRelativeLoad = 0; // of the candidates, with the request added
    std::span<const std::uint64_t> holders{}; // hashes of the replicas that probably cache the request's longest known prefix
};

/// The chosen replica, null when none has room, and what was compared.
struct Choice {
    ReplicaEntry *entry = nullptr;
    std::string_view reason; // a literal
    std::vector<const ReplicaEntry *> considered;
};

/// Strategy that selects one of the eligible replicas of a model.
class ReplicaChooser
{
public:
    virtual ~ReplicaChooser() = default;

    /// @param candidates eligible replicas of the model in one zone group, without those that the request excludes.
    virtual Choice choose(std::span<ReplicaEntry *const> candidates, const ChoiceRequest &request, RandomGenerator &random) = 0;
    /// Requests on the replica as this strategy sees them.
    virtual double load(const ReplicaEntry &entry) const = 0;
};

/// Creates the strategy of that name; null when there is none.
std::unique_ptr<ReplicaChooser> makeReplicaChooser(std::string_view name);

/// The names that makeReplicaChooser() knows.
std::span<const std::string_view> replicaChooserNames();

}
