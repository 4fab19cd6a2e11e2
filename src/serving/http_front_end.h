#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/routing_snapshot.h"
#include "idempotency/peer_claims.h"
#include "serving/front_end_settings.h"
#include "serving/server_signal.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <system_error>
#include <vector>

namespace carawaypoint
{

class Dispatcher;
class ServingMetrics;
class ObjectStore;
class ClaimStore;
struct ClaimStoreSettings;

/// Objects and callbacks that the daemon provides. All referenced objects must outlive the front end.
struct FrontEndDependencies {
    Dispatcher *dispatcher = nullptr;
    std::function<RoutingSnapshotPtr()> snapshot; // returns the current snapshot or null; thread-safe
    const Clock *clock = nullptr;
    std::uint64_t processIncarnation = 0; // part of attempt ids and claim owners
    std::function<bool()> isReady; // further condition for /readyz to answer 200; thread-safe; null: always ready
    ServerSignalHandler onServerSignal; // may be null
    ServingMetrics *metrics = nullptr; // may be null

    // For non-repeatable calls, which are refused with claim_unavailable when one of the first three is missing.
    ObjectStore *claimObjects = nullptr;
    PeerClaims *peerClaims = nullptr;
    std::function<void(std::function<void()>)> postToClaimExecutor; // runs an action on the executor of claimObjects; thread-safe
    MemberId self; // owner of claims, together with processIncarnation
    std::function<std::chrono::milliseconds()> wallTime; // time since the Unix epoch; null: the system clock

    // Called on the executor of claimObjects when the platform was restored from an older copy, to inform peers; may be null.
    std::function<void(std::chrono::milliseconds at)> onPlatformRestored;
};

/// The HTTP server for callers. Runs its own traffic threads between start() and stop().
class HttpFrontEnd
{
public:
    ~HttpFrontEnd();
    HttpFrontEnd(const HttpFrontEnd &) = delete;
    HttpFrontEnd &operator=(const HttpFrontEnd &) = delete;

    /// Opens the listening sockets and starts the traffic threads. Returns the error of a failed socket call.
    std::error_code start();
    /// Endpoints of the listening sockets, with the ports that the system chose for port 0.
    const std::vector<Endpoint> &endpoints() const;

    /// Shuts down gracefully: /readyz answers 503 at once, requests are refused with `draining` after drainRefusalDelay, and
    /// @p onDrained is called on a traffic thread when no request is in progress. Thread-safe; later calls are ignored.
    void drain(std::function<void()> onDrained);
    bool isDraining() const;
    /// Requests that were received and not yet answered.
    std::uint64_t requestsInProgress() const;

    /// Runs @p action with the claim store on its executor, to serve requests of peers and to pass on what peers and watches
    /// report. Thread-safe; does nothing without a claim store.
    void postToClaimStore(std::function<void(ClaimStore &)> action);

    /// Ends the traffic threads and closes connections in progress. Must not be called on a traffic thread.
    void stop();

private:
    friend class HttpFrontEndBuilder;
    class Impl;
    explicit HttpFrontEnd(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

/// Builds a front end. Dispatcher, snapshot and clock of the dependencies and at least one endpoint are required.
class HttpFrontEndBuilder
{
public:
    HttpFrontEndBuilder &dependencies(FrontEndDependencies dependencies);
    HttpFrontEndBuilder &settings(const FrontEndSettings &settings);
    HttpFrontEndBuilder &claimSettings(const ClaimStoreSettings &settings);
    HttpFrontEndBuilder &listenOn(Endpoint endpoint);
    /// Null when a required part is missing.
    std::unique_ptr<HttpFrontEnd> build();

private:
    FrontEndDependencies dependencies_;
    FrontEndSettings settings_;
    std::shared_ptr<const ClaimStoreSettings> claimSettings_;
    std::vector<Endpoint> endpoints_;
};

}
