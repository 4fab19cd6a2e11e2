#pragma once

#include "serving/caller_channel.h"
#include "serving/claim_store_proxy.h"
#include "serving/leaving_servers.h"
#include "serving/service_exchange.h"

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace carawaypoint
{

/// State shared by all calls to plain services on all traffic threads.
struct ServiceCallContext {
    ServiceCallContext(const FrontEndDependencies &dependencies, const ClaimStoreSettings &settings)
        : claims(dependencies, settings)
    {
    }
    ClaimStoreProxy claims;
    LeavingServers leavingServers;
    std::atomic<std::int64_t> retryCredit = 10'000; // retry budget in thousandths of a retry; each repeatable call adds, each retry takes 1000
    std::atomic<std::uint64_t> roundRobin = 0; // start of the next round robin over a service's servers
};

/// Runs one call to a plain service. Used on one traffic thread.
class ServiceCall : public std::enable_shared_from_this<ServiceCall>
{
public:
    ServiceCall(TrafficLoop &loop, ServiceCallContext &serviceContext, std::shared_ptr<CallerChannel> caller, ServiceRequest request);

    /// Runs the call and returns the response for the caller.
    asio::awaitable<Reply> run();

private:
    /// Retries at other servers; a retry after a call that may have run takes from the retry budget.
    asio::awaitable<Reply> runRepeatable(const ServiceView &service);
    /// Runs the call at most once per idempotency key, under a claim.
    asio::awaitable<Reply> runNonRepeatable(const ServiceView &service);
    /// Retries at other servers only after a failed connect or when a server refused the call before running it.
    asio::awaitable<Reply> runClaimed(const ServiceView &service, std::string token);
    asio::awaitable<ServiceAnswer> send(Endpoint server, UpstreamConnection upstream);
    /// Chooses an untried server: recently seen ones first, then those of the own zone. Invalid when there is none.
    Endpoint chooseServer(const ServiceView &service);
    /// Records and reports what the answer showed about the server.
    void recordAnswer(const Endpoint &server, const ServiceAnswer &answer);
    void reportSignal(ServerSignal::Kind kind, const Endpoint &server) const;
    /// Takes one retry from the retry budget; false when the budget is exhausted.
    bool consumeRetryCredit();
    Reply toReply(ServiceAnswer answer) const;
    Reply makeFailure(ResultCode code, RunState state, std::string_view message, Duration retryAfter = {}) const;
    void logServerChoice(const Endpoint &server, std::string_view reason) const;

    TrafficLoop &loop_;
    ServiceCallContext &serviceContext_;
    std::shared_ptr<CallerChannel> caller_;
    ServiceRequest request_;
    RoutingSnapshotPtr snapshot_;
    std::vector<Endpoint> triedServers_;
    ConnectionPtr activeConnection_; // connection of a repeatable call in progress, interrupted when the caller disconnects
};

}
