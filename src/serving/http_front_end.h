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

/// What the front end needs from the daemon. All referenced objects outlive the front end.
struct FrontEndDependencies {
    Dispatcher *dispatcher = nullptr;
    std::function<RoutingSnapshotPtr()> snapshot; // present snapshot or null; thread-safe
    const Clock *clock = nullptr;
    std::uint64_t processIncarnation = 0; // part of attempt ids and claim owners
    std::function<bool()> isReady; // asked by /readyz besides the front end's own state; thread-safe; null: always ready
    ServerSignalHandler onServerSignal; // may be null
    ServingMetrics *metrics = nullptr; // may be null

    // For non-idempotent calls, which are refused with claim_unavailable when one of the first three is missing.
    ObjectStore *claimObjects = nullptr;
    PeerClaims *peerClaims = nullptr;
    std::function<void(std::function<void()>)> postToClaims; // runs an action on the executor of claimObjects; thread-safe
    MemberId self; // together with processIncarnation the owner of claims
    std::function<std::chrono::milliseconds()> wallTime; // since the Unix epoch; null: the system clock
    std::function<void(std::chrono::milliseconds at)> onPlatformRestored; // to tell peers; on the executor of claimObjects; may be null
};

/// The HTTP server for callers. Runs its own traffic threads between start() and stop().
class HttpFrontEnd
{
public:
    ~HttpFrontEnd();
    HttpFrontEnd(const HttpFrontEnd &) = delete;
    HttpFrontEnd &operator=(const HttpFrontEnd &) = delete;

    /// Listens and starts the traffic threads. Fails with the error of the socket call.
    std::error_code start();
    /// The endpoints listened on, with the ports that the system chose for port 0.
    const std::vector<Endpoint> &endpoints() const;

    /// Graceful shutdown: /readyz answers 503 at once, requests are refused with `draining` after drainNotice, and
    /// @p done is called on a traffic thread when no request is in progress. Thread-safe; later calls are ignored.
    void drain(std::function<void()> done);
    bool isDraining() const;
    /// Requests that were received and not yet answered.
    std::uint64_t requestsInProgress() const;

    /// Runs @p action with the claim store on its executor, for what peers and watches ask and report: ClaimStore::relinquish(),
    /// observeRevision(), noteRestore() and sweep(). Thread-safe; does nothing when no claims are used.
    void withClaims(std::function<void(ClaimStore &)> action);

    /// Ends the traffic threads and breaks what is still in progress. Not to be called on a traffic thread.
    void stop();

private:
    friend class HttpFrontEndBuilder;
    class Impl;
    explicit HttpFrontEnd(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl_;
};

/// Builds a front end; dependencies and at least one endpoint are required.
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
