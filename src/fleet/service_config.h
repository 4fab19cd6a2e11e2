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

/// Type of a route's requests; determines whether a request may be sent again after a failure.
enum class CallKind : std::uint8_t {
    Idempotent,
    NonIdempotent,
    Stream, // server-sent events
};

struct RouteTarget {
    ServiceId service;
    unsigned weight = 1; // relative share of the route's requests
};

/// Maps requests with one host and path prefix to services.
struct Route {
    std::string name;
    std::string host; // lower case
    std::string pathPrefix; // starts and ends with a slash
    CallKind kind = CallKind::NonIdempotent;
    Duration timeout{seconds(30)}; // maximum total time of a request
    Duration targetLatency{seconds(1)}; // target for the complete response, or for a stream's first event
    Duration targetGap{}; // maximum time between events of a stream; zero when not configured
    unsigned maxAttempts = 1; // maximum number of backend servers that one request is sent to
    unsigned priority = 0; // 0 is the most urgent
    bool isPublic = false; // served without an API key
    bool isResumable = false; // another replica may continue a stream after its last event
    std::vector<RouteTarget> targets;

    /// Whether a request that may have run already may be sent again.
    bool isRepeatable() const
    {
        return kind == CallKind::Idempotent || (kind == CallKind::Stream && isResumable);
    }
};

/// A model that a service's replicas run.
struct ModelSpec {
    ModelId id;
    unsigned size = 1; // VMs of one replica
    double share = 1; // relative share of the service's work that is expected at startup
    double pace = 1; // factor on the durations of the engine's work
    Duration loadTime{seconds(30)}; // time to load the weights from the weight store
    Duration stagedLoadTime{seconds(2)}; // time to load weights that are staged on the host
};

/// Engine of a service whose replicas span several VMs.
struct EngineSpec {
    unsigned slots = 1; // requests that one replica runs concurrently
    std::vector<ModelSpec> models;
    double loadsPerSecond = 1; // start rate of loads from the weight store, over the fleet
    double prefillTokensPerSecond = 0; // prefill rate of a replica with pace 1; 0 when not configured
    double prefillPairsTime = 0; // ms added for each million pairs of a prompt token and a token before it
    unsigned prefillChunkTokens = 0; // prompt tokens that one step processes at most; 0 when not configured
    Duration stepTime{}; // duration of a step, which generates one token of each running request; zero when not configured
    double stepTimePerRequest = 0; // ms added for each running request
    double stepTimePerKiloToken = 0; // ms added for each 1000 tokens of context of each running request
    unsigned stepsPerPass = 1; // steps between two admissions of waiting requests, and so tokens of one event of a stream
    double crossDomainFactor = 1; // factor on all durations of a replica whose members are in several fabric domains
    unsigned usualPromptTokens = 0; // mean of the service's requests; 0 when not configured
    unsigned usualAnswerTokens = 0; // same for the generated tokens
    std::uint64_t memoryTokens = 0; // tokens of context that the memory of a replica holds; 0 when not configured
    unsigned stagedModelsPerHost = 1; // models whose weights a host keeps; the oldest one is dropped for a further one
    unsigned maxConcurrentLoads = 1; // concurrent loads from the weight store, over the fleet; more of them slow each other down

    const ModelSpec *findModel(const ModelId &id) const;
};

struct ServiceSpec {
    ServiceId id;
    unsigned maxConnections = 64; // connections that a backend server accepts in total
    std::optional<EngineSpec> engine; // empty for plain services
    Duration coldTime{}; // for which a server is cold after its start during traffic; zero when its servers are never cold
    double coldRequestsPerSecond = 0; // requests that a cold server bears, from all gateways together
};

/// Limits on callers' requests and connections.
struct CallerLimits {
    std::size_t maxHeaderBytes = 16384;
    std::size_t maxBodyBytes = std::size_t{4} * 1024 * 1024;
    Duration headerTimeout{seconds(3)};
    Duration idleTimeout{seconds(15)}; // of a persistent connection
};

struct Customer {
    CustomerId id;
    std::optional<unsigned> priority; // overrides the route's priority
};

/// The configuration used for routing. Not modified after it is built.
class ServiceConfig
{
public:
    std::uint64_t version = 0;
    CallerLimits limits;
    std::map<ServiceId, ServiceSpec> services;
    bool requiresKeys = false; // set once a customer is configured

    void addRoute(Route route);
    void addKey(std::string key, Customer customer);

    /// The route of @p host with the longest matching prefix of @p path; null when none matches.
    /// @param host may include a port; compared without regard to case.
    const Route *findRoute(std::string_view host, std::string_view path) const;
    /// The customer with the API key @p key; null when there is none.
    const Customer *findCustomer(std::string_view key) const;
    /// The engine of the service; null when it is a plain one or not configured.
    const EngineSpec *findEngine(const ServiceId &service) const;
    /// The specification of a model of the service; null when the configuration has no such model or service, for example no longer.
    const ModelSpec *findModel(const ServiceId &service, const ModelId &model) const;
    std::size_t routeCount() const;

private:
    using RoutesByPrefix = std::map<std::string, Route, std::less<>>;
    std::map<std::string, RoutesByPrefix, std::less<>> routes_; // by host
    std::map<std::string, Customer, std::less<>> customers_; // by API key
};

using ServiceConfigPtr = std::shared_ptr<const ServiceConfig>;

}
