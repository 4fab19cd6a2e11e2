#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/routing_snapshot.h"

#include <cstdint>
#include <functional>
#include <string>
#include <system_error>
#include <vector>

namespace carawaypoint
{

enum class EngineRole : std::uint8_t {
    None, // belongs to no replica
    Leader, // receives the requests of its replica
    Worker, // runs requests together with the leader
};

/// An order to an engine: join a replica with a model loaded, or leave it (role None).
struct EngineOrder {
    FencingNumber fence;
    ReplicaId replica;
    EngineRole role = EngineRole::None;
    ModelId model;
    std::string version;
    std::vector<std::string> adapters;
    std::vector<Endpoint> members; // members of the replica, leader first
};

/// State that an engine reports.
struct EngineState {
    VmId vm;
    std::uint64_t processIncarnation = 0; // changes when the engine restarts
    FencingNumber fence; // fencing number of the last order that the engine carried out
    ReplicaId replica; // empty when the engine belongs to none
    EngineRole role = EngineRole::None;
    ModelId model;
    std::string version;
    std::vector<std::string> adapters;
    bool isLoaded = false;
    double loadProgress = 0; // progress of loading the weights, 0 to 1
    bool isDraining = false;
    std::uint32_t slots = 0;
    std::vector<ModelId> cachedModels; // models whose weights are cached and load without the weight store
    EngineLoad load; // reportedAt is the time at which the daemon received the state
};

/// A change of an engine's prefix cache: a prefix was added or evicted.
struct CacheEvent {
    std::uint64_t sequence = 0; // a gap means that events were lost
    std::uint64_t prefixHash = 0;
    bool isEvicted = false;
};

struct CacheEvents {
    std::uint64_t lastSequence = 0;
    std::vector<CacheEvent> events;
};

/// Client of the control API of model engines.
///
/// Handlers run on the executor that the implementation was built with and are called exactly once. Errors are
/// BackendTimeout (no answer; an order may have been carried out all the same), BackendRefused, BackendBadAnswer and OrderStale.
class EngineClient
{
public:
    using OrderHandler = std::function<void(std::error_code)>;
    using StateHandler = std::function<void(std::error_code, EngineState)>;
    using CacheHandler = std::function<void(std::error_code, CacheEvents)>;

    virtual ~EngineClient() = default;

    virtual void sendOrder(const Endpoint &engine, const EngineOrder &order, OrderHandler handler) = 0;
    virtual void fetchState(const Endpoint &engine, StateHandler handler) = 0;
    virtual void fetchCacheEvents(const Endpoint &engine, std::uint64_t afterSequence, CacheHandler handler) = 0;
};

}
