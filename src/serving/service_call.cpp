#include "serving/service_call.h"

#include "observe/log.h"

#include <xxhash.h>

#include <algorithm>

namespace carawaypoint
{

using End = ServiceAnswer::End;

namespace
{

constexpr std::int64_t RetryCost = 1000; // in thousandths of a retry
constexpr std::int64_t MaxRetryCredit = 10'000;
constexpr auto RetryAfterDelay = seconds(1); // sent as Retry-After

/// Fingerprint of method, target and body, which detects a key that is reused for another call.
std::string fingerprintOf(const ServiceRequest &request)
{
    const auto text = request.method + "\n" + request.target + "\n" + request.body;
    const auto hash = XXH3_128bits(text.data(), text.size());
    return std::to_string(hash.high64) + "-" + std::to_string(hash.low64);
}

/// The result of a call that may have run and got no complete answer.
ResultCode failureCode(const ServiceAnswer &answer)
{
    if (answer.end == End::TimedOut) {
        return ResultCode::BackendTimeout;
    }
    if (answer.end == End::Malformed) {
        return ResultCode::BackendBadAnswer;
    }
    return answer.hasStarted ? ResultCode::AnswerTruncated : ResultCode::ReplicaLost;
}

}

ServiceCall::ServiceCall(TrafficLoop &loop, ServiceCallContext &serviceContext, std::shared_ptr<CallerChannel> caller, ServiceRequest request)
    : loop_(loop)
    , serviceContext_(serviceContext)
    , caller_(std::move(caller))
    , request_(std::move(request))
    , snapshot_(loop.context.dependencies.snapshot())
{
}

asio::awaitable<Reply> ServiceCall::run()
{
    const auto self = shared_from_this();
    if (!snapshot_ || snapshot_->generation == 0) {
        // An earlier request with the same key may have been run by another entry daemon.
        const auto state = request_.key.empty() ? RunState::NotRun : RunState::Unknown;
        co_return makeFailure(ResultCode::NotReady, state, "no configuration is in force yet", RetryAfterDelay);
    }
    const auto service = std::find_if(snapshot_->services.begin(), snapshot_->services.end(), [this](const auto &view) { return view.id == request_.service; });
    if (service == snapshot_->services.end()) {
        co_return makeFailure(ResultCode::UnknownService, RunState::NotRun, "no such service: " + request_.service.str());
    }
    request_.timeout = service->timeout;
    const auto &customers = snapshot_->customers;
    if (std::none_of(customers.begin(), customers.end(), [this](const auto &view) { return view.id == request_.customer; })) {
        co_return makeFailure(ResultCode::UnknownCustomer, RunState::NotRun, "X-Customer is missing or not a declared customer");
    }
    if (!service->isRepeatable) {
        // The call continues when the caller disconnects: its outcome is recorded for a retry with the same key.
        co_return co_await runNonRepeatable(*service);
    }
    caller_->watchForDisconnect([weak = weak_from_this()] {
        if (const auto call = weak.lock(); call && call->activeConnection_) {
            call->activeConnection_->interrupt();
        }
    });
    serviceContext_.retryCredit =
        std::min<std::int64_t>(MaxRetryCredit, serviceContext_.retryCredit + static_cast<std::int64_t>(loop_.context.settings.serviceRetryRatio * RetryCost));
    co_return co_await runRepeatable(*service);
}

asio::awaitable<Reply> ServiceCall::runRepeatable(const ServiceView &service)
{
    auto code = ResultCode::NoServerAvailable;
    bool mayHaveRun = false;
    for (unsigned tries = 0; tries < loop_.context.settings.maxAttempts; ++tries) {
        const auto server = chooseServer(service);
        if (!server.isValid()) {
            break;
        }
        auto upstream = loop_.pool.takeIdle(server);
        auto answer = ServiceAnswer();
        if (upstream.connection) {
            answer = co_await send(server, upstream);
        }
        // A pooled connection can be dead although the server works, so the request is sent again on a new connection.
        if (!answer.hasStarted && !caller_->isDisconnected()) {
            mayHaveRun = mayHaveRun || upstream.isReused;
            loop_.pool.purge(server);
            upstream = co_await loop_.pool.connect(server);
            if (!upstream.connection) {
                reportSignal(ServerSignal::Kind::ConnectFailed, server);
                continue;
            }
            answer = co_await send(server, std::move(upstream));
        }
        recordAnswer(server, answer);
        if (answer.end == End::Answered) {
            co_return toReply(std::move(answer));
        }
        if (answer.end == End::RefusedBeforeRun) {
            code = ResultCode::BackendRefused;
            continue;
        }
        mayHaveRun = true;
        code = failureCode(answer);
        if (caller_->isDisconnected() || answer.end == End::TooLarge) {
            code = caller_->isDisconnected() ? ResultCode::CallerClosed : ResultCode::BackendBadAnswer;
            break;
        }
        if (!consumeRetryCredit()) {
            code = ResultCode::RetryBudgetExhausted;
            break;
        }
    }
    co_return makeFailure(code, mayHaveRun ? RunState::Unknown : RunState::NotRun, "no server of the service answered", RetryAfterDelay);
}

asio::awaitable<Reply> ServiceCall::runNonRepeatable(const ServiceView &service)
{
    if (request_.key.empty()) {
        co_return makeFailure(ResultCode::KeyRequired, RunState::NotRun, "the service needs an Idempotency-Key");
    }
    if (!serviceContext_.claims.isEnabled()) {
        co_return makeFailure(ResultCode::ClaimUnavailable, RunState::Unknown, "this entry has no claims", RetryAfterDelay);
    }
    // A named variable, because GCC 12 destroys a braced temporary inside a co_await expression twice.
    ClaimCall call{request_.service, request_.key, fingerprintOf(request_), request_.id};
    auto claim = co_await serviceContext_.claims.acquire(loop_, std::move(call));
    if (claim.code == ResultCode::OkReplayed) {
        Reply reply;
        reply.code = claim.code;
        reply.status = claim.answer.status;
        reply.contentType = claim.answer.contentType;
        reply.body = std::move(claim.answer.body);
        if (claim.answer.isBodyOmitted) {
            reply.headers.emplace_back("X-Body-Omitted", "1");
        }
        co_return reply;
    }
    if (claim.code != ResultCode::Ok) {
        const bool mayRetry = claim.code == ResultCode::ClaimUnavailable || claim.code == ResultCode::KeyInUse;
        co_return makeFailure(claim.code, claim.state, claim.reason, mayRetry ? Duration(RetryAfterDelay) : Duration());
    }
    co_return co_await runClaimed(service, claim.token);
}

asio::awaitable<Reply> ServiceCall::runClaimed(const ServiceView &service, std::string token)
{
    auto code = ResultCode::NoServerAvailable;
    for (unsigned tries = 0; tries < loop_.context.settings.maxAttempts; ++tries) {
        const auto server = chooseServer(service);
        if (!server.isValid()) {
            break;
        }
        // Always a new connection: the server may close a pooled one while the request is in transit, which loses the answer.
        auto upstream = co_await loop_.pool.connect(server);
        if (!upstream.connection) {
            reportSignal(ServerSignal::Kind::ConnectFailed, server);
            continue;
        }
        if (!co_await serviceContext_.claims.dispatch(loop_, token)) {
            code = ResultCode::ClaimUnavailable;
            break;
        }
        auto answer = co_await exchangeWithService(loop_, server, std::move(upstream), request_);
        recordAnswer(server, answer);
        if (answer.end == End::RefusedBeforeRun) {
            serviceContext_.claims.recordRefusal(token);
            code = ResultCode::BackendRefused;
            continue;
        }
        if (answer.end == End::Answered) {
            serviceContext_.claims.recordAnswer(token, {answer.status, answer.contentType, answer.body, false});
            co_return toReply(std::move(answer));
        }
        if (answer.end == End::TooLarge) {
            serviceContext_.claims.recordAnswer(token, {answer.status, answer.contentType, {}, true});
            co_return makeFailure(ResultCode::BackendBadAnswer, RunState::Completed, "the call ran; its answer exceeds the limit");
        }
        serviceContext_.claims.recordLostAnswer(token);
        co_return makeFailure(ResultCode::OutcomeUnknown, RunState::Unknown,
                              answer.end == End::TimedOut ? "the server did not answer in time" : "the connection broke");
    }
    // When the claim was lost, another entry daemon may be running the call under the same key.
    const bool isNotRun = co_await serviceContext_.claims.close(loop_, token);
    code = isNotRun ? code : ResultCode::ClaimUnavailable;
    const auto state = isNotRun ? RunState::NotRun : RunState::Unknown;
    co_return makeFailure(code, state, "the call was not sent, or every server refused it before running", RetryAfterDelay);
}

asio::awaitable<ServiceAnswer> ServiceCall::send(Endpoint server, UpstreamConnection upstream)
{
    activeConnection_ = upstream.connection;
    auto answer = co_await exchangeWithService(loop_, server, std::move(upstream), request_);
    activeConnection_ = nullptr;
    co_return answer;
}

Endpoint ServiceCall::chooseServer(const ServiceView &service)
{
    const auto now = loop_.context.dependencies.clock->now();
    const auto start = serviceContext_.roundRobin++;
    const ServiceServerView *best = nullptr;
    int bestRank = -1;
    for (std::size_t i = 0; i < service.servers.size(); ++i) {
        const auto &server = service.servers[(start + i) % service.servers.size()];
        const bool isTried = std::find(triedServers_.begin(), triedServers_.end(), server.address) != triedServers_.end();
        if (isTried || server.isLeaving || serviceContext_.leavingServers.contains(server.address, now)) {
            continue;
        }
        const bool isFresh = now - server.lastSeen <= snapshot_->policy.observationBound;
        const int rank = (isFresh ? 2 : 0) + (server.zone == snapshot_->zone ? 1 : 0);
        if (rank > bestRank) {
            best = &server;
            bestRank = rank;
        }
    }
    if (best == nullptr) {
        logServerChoice({}, "no untried server is available");
        return {};
    }
    triedServers_.push_back(best->address);
    logServerChoice(best->address, "next untried server");
    return best->address;
}

void ServiceCall::recordAnswer(const Endpoint &server, const ServiceAnswer &answer)
{
    if (answer.isLeaving) {
        serviceContext_.leavingServers.add(server, loop_.context.dependencies.clock->now() + loop_.context.settings.leavingServerRetention);
        loop_.pool.purge(server);
        reportSignal(answer.end == End::RefusedBeforeRun ? ServerSignal::Kind::Draining : ServerSignal::Kind::Leaving, server);
    }
    if ((answer.end == End::ConnectionLost || answer.end == End::Malformed) && !caller_->isDisconnected()) {
        reportSignal(ServerSignal::Kind::ConnectionLost, server);
    }
}

void ServiceCall::reportSignal(ServerSignal::Kind kind, const Endpoint &server) const
{
    loop_.context.reportSignal({kind, server, {}, 0, request_.service});
}

bool ServiceCall::consumeRetryCredit()
{
    if (serviceContext_.retryCredit.fetch_sub(RetryCost) >= RetryCost) {
        return true;
    }
    serviceContext_.retryCredit += RetryCost;
    return false;
}

Reply ServiceCall::toReply(ServiceAnswer answer) const
{
    Reply reply;
    reply.status = answer.status;
    reply.contentType = std::move(answer.contentType);
    reply.headers = std::move(answer.headers);
    reply.body = std::move(answer.body);
    return reply;
}

Reply ServiceCall::makeFailure(ResultCode code, RunState state, std::string_view message, Duration retryAfter) const
{
    return makeErrorReply(code, state, message, retryAfter);
}

void ServiceCall::logServerChoice(const Endpoint &server, std::string_view reason) const
{
    logDecision("routing", request_.id.str(), server.isValid() ? server.toString() : "none", reason,
                {{"service", request_.service.str()}, {"tried", static_cast<std::uint64_t>(triedServers_.size())}});
}

}
