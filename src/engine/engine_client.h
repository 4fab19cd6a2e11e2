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
    None, // released: belongs to no replica
    Leader, // takes the replica's requests
    Worker,
};

/// An order to an engine: join a replica with a model loaded, or leave it (role None).
struct EngineOrder {
    FencingNumber fence;
    ReplicaId replica;
    EngineRole role = EngineRole::None;
    ModelId model;
    std::string version;
    std::vector<std::string> adapters;
    std::vector<Endpoint> members; // of the replica, leader first
};

/// What an engine says of itself.
struct EngineState {
    VmId vm;
    std::uint64_t processIncarnation = 0; // changes when the engine restarts
    FencingNumber fence; // of the last order that it carried out
    ReplicaId replica; // empty when it belongs to none
    EngineRole role = EngineRole::None;
    ModelId model;
    std::string version;
    std::vector<std::string> adapters;
    bool isLoaded = false;
    double loadProgress = 0; // 0 to 1
    bool isDraining = false;
    std::uint32_t slots = 0;
    std::vector<ModelId> cachedModels; // weights still held, which load without the weight store
    EngineLoad load; // reportedAt is the time of receipt
};

/// A change of an engine's prefix cache.
struct CacheEvent {
    std::uint64_t sequence = 0; // a gap means that events were lost
    std::uint64_t prefixHash = 0;
    bool isEvicted = false;
};

struct CacheEvents {
    std::uint64_t lastSequence = 0;
    std::vector<CacheEvent> events;
};

/// The control API of model engines.
///
/// Handlers run on the executor that the implementation was built with and are called exactly once. Errors are
/// BackendTimeout (no answer: an order may have been carried out), BackendRefused, BackendBadAnswer and OrderStale.
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
