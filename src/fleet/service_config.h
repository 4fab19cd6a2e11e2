#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace carawaypoint
{

/// What may be done again after a failure.
enum class CallKind : std::uint8_t {
    Idempotent,
    NonIdempotent,
    Stream, // server-sent events
};

struct RouteTarget {
    ServiceId service;
    unsigned weight = 1; // relative share of the route's requests
};

/// Sends requests of one host and path prefix to services.
struct Route {
    std::string name;
    std::string host; // lower case
    std::string pathPrefix; // begins and ends with a slash
    CallKind kind = CallKind::NonIdempotent;
    Duration timeout{seconds(30)}; // longest time that a request is kept
    Duration targetLatency{seconds(1)}; // of the whole answer, or of a stream's first event
    Duration targetGap{}; // longest pause between events of a stream; zero when none is stated
    unsigned maxAttempts = 1; // backend servers that one request may be sent to
    unsigned priority = 0; // 0 is the most urgent
    bool isPublic = false; // served without a key
    bool isResumable = false; // a stream may go on at another replica after its last event
    std::vector<RouteTarget> targets;

    /// Whether a request may run again after it may have run.
    bool isRepeatable() const
    {
        return kind == CallKind::Idempotent || (kind == CallKind::Stream && isResumable);
    }
};

/// A model that a service's replicas run.
struct ModelSpec {
    ModelId id;
    unsigned size = 1; // VMs of one replica
    double share = 1; // of the service's work that is expected at the start
    double pace = 1; // factor on all times of the engine
    Duration loadTime{seconds(30)}; // from the weight store
    Duration stagedLoadTime{seconds(2)}; // from the host
};

/// Engine of a service whose replicas span several VMs.
struct EngineSpec {
    unsigned slots = 1; // of one replica
    std::vector<ModelSpec> models;
    double loadsPerSecond = 1; // that may start at the weight store, over the fleet
    double readTokensPerSecond = 0; // of prompts, by a replica with pace 1; 0 when not stated
    unsigned loadsAtOnce = 1; // more of them slow each other down

    const ModelSpec *findModel(const ModelId &id) const;
};

struct ServiceSpec {
    ServiceId id;
    unsigned maxConnections = 64; // that a backend server accepts from all callers together
    std::optional<EngineSpec> engine; // none for plain services
};

/// Bounds on what a caller may send.
struct CallerLimits {
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = std::size_t{4} * 1024 * 1024;
    Duration headerTimeout{seconds(3)};
    Duration idleTimeout{seconds(15)}; // of a kept connection
};

struct Customer {
    CustomerId id;
    std::optional<unsigned> priority; // goes before the route's
};

/// The configuration in force for routing. Immutable once built.
class ServiceConfig
{
public:
    std::uint64_t version = 0;
    CallerLimits limits;
    std::map<ServiceId, ServiceSpec> services;
    bool requiresKeys = false; // customers are configured

    void addRoute(Route route);
    void addKey(std::string key, Customer customer);

    /// The route with the longest prefix that begins @p path; null when none matches.
    /// @param host may carry a port; its case does not matter.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// The customer that holds @p key; null when no customer does.
    const Customer *findCustomer(std::string_view key) const;
    std::size_t routeCount() const;

private:
    using RoutesByPrefix = std::map<std::string, Route, std::less<>>;
    std::map<std::string, RoutesByPrefix, std::less<>> routes_; // by host
    std::map<std::string, Customer, std::less<>> customers_; // by key
};

using ServiceConfigPtr = std::shared_ptr<const ServiceConfig>;

}
