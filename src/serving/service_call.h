#pragma once

#include "serving/caller_channel.h"
#include "serving/claim_port.h"
#include "serving/leaving_servers.h"
#include "serving/service_exchange.h"

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

namespace carawaypoint
{

/// What the calls to plain services of all traffic threads share.
struct ServiceShared {
    ServiceShared(const FrontEndDependencies &dependencies, const ClaimStoreSettings &settings)
        : claims(dependencies, settings)
    {
    }
    ClaimPort claims;
    LeavingServers leaving;
    std::atomic<std::int64_t> retryCredit = 10'000; // thousandths of a retry; each call adds, each retry takes 1000
    std::atomic<std::uint64_t> turn = 0; // for round robin
};

/// Runs one call to a plain service. Used on one traffic thread.
class ServiceCall : public std::enable_shared_from_this<ServiceCall>
{
public:
    ServiceCall(TrafficLoop &loop, ServiceShared &shared, std::shared_ptr<CallerChannel> caller, ServiceRequest request);

    /// The answer for the caller.
    asio::awaitable<Reply> run();

private:
    asio::awaitable<Reply> runRepeatable(const ServiceView &service);
    asio::awaitable<Reply> runOnce(const ServiceView &service);
    asio::awaitable<Reply> runClaimed(const ServiceView &service, std::string token);
    asio::awaitable<ServiceAnswer> send(Endpoint server, UpstreamConnection upstream);
    /// A server that was not tried yet; fresh ones of the own zone first. Invalid when there is none.
    Endpoint chooseServer(const ServiceView &service);
    void noteAnswer(const Endpoint &server, const ServiceAnswer &answer);
    void signal(ServerSignal::Kind kind, const Endpoint &server) const;
    bool takeRetry();
    Reply passOn(ServiceAnswer answer) const;
    Reply fail(ResultCode code, RunState state, std::string_view message, Duration retryAfter = {}) const;
    void log(const Endpoint &server, std::string_view reason) const;

    TrafficLoop &loop_;
    ServiceShared &shared_;
    std::shared_ptr<CallerChannel> caller_;
    ServiceRequest request_;
    RoutingSnapshotPtr snapshot_;
    std::vector<Endpoint> tried_;
    ConnectionPtr inUse_; // of a repeatable call, interrupted when the caller leaves
};

}
