#include "gateway/forward_call.h"

#include "core/time_units.h"
#include "gateway/http_fields.h"
#include "gateway/request_parser.h"
#include "gateway/retry_after.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>

namespace carawaypoint
{

namespace http = boost::beast::http;

namespace
{

constexpr unsigned MaxFailedConnects = 3;
/// Larger configured priorities count as this one, so that two stages of each fit the range of the header.
constexpr unsigned MaxConfiguredPriority = 3;

/// Counts while it exists, also when an exception ends its scope.
class ScopedCount
{
public:
    explicit ScopedCount(unsigned &count)
        : count_(count)
    {
        ++count_;
    }
    ScopedCount(const ScopedCount &) = delete;
    ScopedCount &operator=(const ScopedCount &) = delete;
    ~ScopedCount()
    {
        --count_;
    }

private:
    unsigned &count_;
};

}

ForwardCall::ForwardCall(GatewayContext &context, ConnectionPtr caller, CallerRequest request, TimePoint receivedAt)
    : context_(context)
    , caller_(std::move(caller))
    , request_(std::move(request))
    , receivedAt_(receivedAt)
    , snapshot_(context.snapshot)
    , buffered_(context.responseMemory)
{
    entry_.id = std::string(request_[context_.names.attemptId]);
}

Duration ForwardCall::remaining() const
{
    return deadline_ - context_.now();
}

bool ForwardCall::isCallerKept() const
{
    return request_.keep_alive() && !context_.drain.isStarted() && !mustCloseCaller_;
}

/// Status line and header fields of a response to the caller, which also say whether its connection is kept. A stop of the gateway that
/// begins after this does not change that.
std::string ForwardCall::responseHead(const http::fields &fields, unsigned status, std::string_view reason)
{
    isCloseAnnounced_ = !isCallerKept();
    return headerText(fields, status, reason, !isCloseAnnounced_);
}

void ForwardCall::failWith(ResultCode code, std::string_view reason)
{
    entry_.code = code;
    entry_.reason = reason;
}

void ForwardCall::parseTimes()
{
    const auto statedMs = parseNumber(request_[context_.names.deadline]);
    if (statedMs) {
        isRetry_ = context_.retryDetector.isRetry(route_->name, milliseconds(*statedMs), route_->timeout);
    }
    callerDeadline_ = receivedAt_ + (statedMs ? Duration(milliseconds(*statedMs)) : Duration(hours(1)));
    deadline_ = std::min(callerDeadline_, receivedAt_ + route_->timeout);
}

/// Finds the route and the customer. Returns false with the failure set when the request is not admitted.
bool ForwardCall::admit()
{
    if (!snapshot_ || !snapshot_->config()) {
        failWith(ResultCode::NotReady, "no configuration is known yet");
        retryAfter_ = RetryAfterNoReplica;
        return false;
    }
    const auto &config = *snapshot_->config();
    entry_.configVersion = config.version;
    route_ = config.findRoute(request_[http::field::host], request_.target());
    if (route_ == nullptr) {
        failWith(ResultCode::UnknownPath, "no route matches");
        return false;
    }
    entry_.route = route_->name;
    parseTimes();
    if (config.requiresKeys && !route_->isPublic) {
        const auto *customer = config.findCustomer(parseKey(request_[http::field::authorization], context_.names.keyScheme));
        if (customer == nullptr) {
            failWith(ResultCode::UnknownCustomer, "no customer holds the key");
            return false;
        }
        customer_ = customer->id;
        customerPriority_ = customer->priority;
        entry_.customer = customer_.str();
    }
    if (entry_.id.empty()) {
        failWith(ResultCode::MalformedRequest, "the request has no id");
        return false;
    }
    if (!context_.drain.mayTake(deadline_, context_.now())) {
        failWith(ResultCode::Draining, "this gateway may end before the request does");
        retryAfter_ = RetryAfterDrain;
        return false;
    }
    model_ = ModelId(std::string(request_[context_.names.model]));
    entry_.model = model_.str();
    service_ = pickService();
    traits_ = requestTraits(context_.names, request_, serverPool(), customer_);
    context_.retryBudget.addRequest(service_, context_.now());
    if (const auto last = parseNumber(request_["Last-Event-Id"])) {
        lastEventId_ = *last;
    }
    return true;
}

/// Prompt tokens that a server has to process before the first event of a stream: the first number of the token usage header. None for calls.
unsigned ForwardCall::prefillTokens() const
{
    if (route_->kind != CallKind::Stream) {
        return 0;
    }
    const std::string_view usage = request_[context_.names.tokenUsage];
    return static_cast<unsigned>(parseNumber(usage.substr(0, usage.find(','))).value_or(0));
}

const ServiceId &ForwardCall::pickService() const
{
    unsigned total = 0;
    for (const auto &target : route_->targets) {
        total += target.weight;
    }
    std::uniform_int_distribution<unsigned> distribution(0, std::max(1U, total) - 1);
    auto point = distribution(context_.random);
    for (const auto &target : route_->targets) {
        if (point < target.weight) {
            return target.service;
        }
        point -= target.weight;
    }
    return route_->targets.back().service;
}

ServerPool ForwardCall::serverPool() const
{
    const bool hasEngine = snapshot_->config()->findEngine(service_) != nullptr;
    return {service_, hasEngine ? model_ : ModelId()};
}

RequestStage ForwardCall::stage() const
{
    if (hasEvents_) {
        return RequestStage::StreamStarted;
    }
    return isRetry_ ? RequestStage::Retried : RequestStage::New;
}

/// Order among the requests that wait at a server; smaller ones go first. A started stream would pause, a new request can still be in time,
/// and that of a caller who was refused before is late already. Among these the priority of the customer or else of the route decides.
unsigned ForwardCall::queuePriority() const
{
    if (stage() == RequestStage::StreamStarted) {
        return 0;
    }
    const auto configured = std::min(customerPriority_.value_or(route_->priority), MaxConfiguredPriority);
    return 1 + 2 * configured + (stage() == RequestStage::Retried ? 1 : 0);
}

const ServingTarget *ForwardCall::chooseTarget()
{
    // Uses the current snapshot, so that servers that have left meanwhile get no more attempts.
    snapshot_ = context_.snapshot ? context_.snapshot : snapshot_;
    const auto now = context_.now();
    const auto pool = serverPool();
    const auto &targets = snapshot_->targets(pool.first, pool.second);
    // The model is named by the caller: models that no server runs must not use memory.
    if (excluded_.empty() && !targets.empty()) {
        context_.demand.recordChoice(pool, now);
    }
    const auto countAge = context_.countAge.at(now);
    const auto staleness = countAge == Duration{} ? StalenessEstimate() : context_.demand.staleness(pool, countAge, now);
    auto excluded = context_.serverStatements.unavailable(targets, now);
    excluded.insert(excluded.end(), excluded_.begin(), excluded_.end());
    const auto connected = context_.pool.connectedServers();
    const TargetQuery query{
        .targets = targets,
        .now = now,
        .zone = context_.settings.zone,
        .stage = stage(),
        .staleness = staleness,
        .excluded = excluded,
        .connected = connected,
    };
    const auto choice = context_.targetSelector.choose(query, context_.random);
    entry_.load = choice.load;
    entry_.freeCapacity = choice.freeCapacity;
    entry_.expected = choice.expected;
    entry_.countAge = countAge;
    if (choice.target != nullptr) {
        return choice.target;
    }
    if (sentAttempts_ == 0) {
        recordRejection(pool);
        failWith(choice.isFull ? ResultCode::QueueFull : ResultCode::NoReplicaAvailable,
                 choice.isFull ? "all places are taken" : "no healthy server is known for the model");
        retryAfter_ = choice.isFull ? RetryAfterFull : RetryAfterNoReplica;
    }
    if (const auto left = deferralOfAllServers()) {
        if (sentAttempts_ == 0) {
            failWith(ResultCode::BackendRefused, "all servers have asked for no requests for some time");
        }
        retryAfter_ = *left;
    }
    return nullptr;
}

/// Counts the rejection as demand that the replicas of a configured model did not meet.
void ForwardCall::recordRejection(const ServerPool &pool)
{
    const auto service = snapshot_->config()->services.find(pool.first);
    const bool isConfigured =
        service != snapshot_->config()->services.end() && (!service->second.engine || service->second.engine->findModel(pool.second) != nullptr);
    if (isConfigured) {
        context_.demand.recordRejection(pool, context_.now());
    }
}

asio::awaitable<bool> ForwardCall::run()
{
    const auto self = shared_from_this();
    const ScopedCount inProgress(context_.requestsInProgress);
    ++context_.requestsStarted;
    context_.demand.recordRequestStart(context_.now());
    bool isKept = false;
    bool isAnswered = false;
    if (admit()) {
        // Keeps the configuration that owns route_ alive, since chooseTarget() replaces the snapshot.
        const auto admitted = snapshot_;
        while (!isCallerGone_) {
            if (remaining() < MinAttemptTime) {
                failWith(mayHaveRun_ ? ResultCode::BackendTimeout : ResultCode::DeadlinePassed, "the deadline has passed");
                break;
            }
            if (refuseIfQuarantined()) {
                break;
            }
            const auto *target = chooseTarget();
            if (target == nullptr) {
                break;
            }
            const auto end = co_await attemptWithStandby(*target);
            if (end == AttemptEnd::Answered || end == AttemptEnd::CallerLost) {
                isAnswered = true;
                isKept = end == AttemptEnd::Answered && !isCloseAnnounced_ && !mustCloseCaller_;
                break;
            }
            if (!mayRetry(end)) {
                break;
            }
        }
        if (!isAnswered && !isCallerGone_) {
            isKept = co_await sendFailureResponse();
        }
        if (isCallerGone_ && !isAnswered) {
            failWith(ResultCode::CallerClosed, "the caller closed the connection");
        }
        writeLog();
    } else {
        isKept = co_await sendFailureResponse();
        writeLog();
    }
    co_return isKept;
}

/// Time until the first server of the pool accepts requests again when all of them defer requests.
std::optional<Duration> ForwardCall::deferralOfAllServers() const
{
    const auto now = context_.now();
    const auto pool = serverPool();
    const auto &targets = snapshot_->targets(pool.first, pool.second);
    const bool areAllUnavailable = context_.serverStatements.unavailable(targets, now).size() == targets.size();
    return areAllUnavailable ? context_.serverStatements.firstDeferralLeft(targets, now) : std::nullopt;
}

/// Whether the request must not be sent because it would crash its server; the failure is set then, unless an attempt has set it.
bool ForwardCall::refuseIfQuarantined()
{
    const auto left = context_.quarantine.timeLeft(traits_, context_.now());
    if (left <= Duration{}) {
        return false;
    }
    if (sentAttempts_ == 0) {
        failWith(ResultCode::PromptQuarantined, "requests with these traits crash servers");
        retryAfter_ = left;
    }
    return true;
}

/// Whether the request may be sent again; otherwise the failure is set.
bool ForwardCall::mayRetry(AttemptEnd end)
{
    const auto now = context_.now();
    if (end == AttemptEnd::NotSent) {
        ++failedConnects_;
        failWith(mayHaveRun_ ? ResultCode::ReplicaLost : ResultCode::NoServerAvailable, "no connection to the server");
        retryAfter_ = RetryAfterServerLoss;
        return failedConnects_ < MaxFailedConnects;
    }
    if (remaining() < MinAttemptTime) {
        failWith(mayHaveRun_ ? ResultCode::BackendTimeout : ResultCode::DeadlinePassed, "the deadline has passed");
        return false;
    }
    const bool mayRunAgain = !mayHaveRun_ || route_->isRepeatable();
    if (end == AttemptEnd::Failed && !route_->isRepeatable()) {
        failWith(ResultCode::ReplicaLost, "the server failed and the request may have run");
        return false;
    }
    if (end == AttemptEnd::NotRun) {
        failWith(mayHaveRun_ ? ResultCode::ReplicaLost : ResultCode::BackendRefused, "the server did not take the request");
        retryAfter_ = deferralOfAllServers().value_or(RetryAfterServerLoss);
    } else {
        failWith(ResultCode::ReplicaLost, "the server failed");
    }
    if (lostServerCrash_ != 0 && context_.quarantine.isSuspect(traits_, lostServerCrash_)) {
        failWith(ResultCode::ReplicaLost, "servers were lost with such requests, so it is not sent to another one");
        return false;
    }
    if (!mayRunAgain || sentAttempts_ >= route_->maxAttempts || isCallerGone_) {
        return false;
    }
    if (!context_.retryBudget.tryTake(service_, now)) {
        entry_.reason = "retry budget exhausted";
        return false;
    }
    context_.log.writeStep(entry_.id, "request sent again", entry_.reason, entry_.server, now);
    return true;
}

/// Sends the failure that was set to the caller. Returns whether its connection may be kept.
asio::awaitable<bool> ForwardCall::sendFailureResponse()
{
    if (isHeaderSent_) {
        // The caller detects the incomplete stream by the missing last chunk.
        entry_.code = ResultCode::StreamCut;
        co_return false;
    }
    const auto &info = resultCodeInfo(entry_.code);
    auto status = info.httpStatus;
    if (mayHaveRun_ && impliesNotRun(status)) {
        status = 502;
    }
    entry_.status = status;
    std::string body = R"({"error":{"code":)" + std::to_string(static_cast<int>(info.code)) + R"(,"name":")" + std::string(info.name) + "\"}}\n";
    http::fields fields;
    if (!entry_.id.empty()) {
        fields.set(context_.names.attemptId, entry_.id);
    }
    fields.set(http::field::content_type, "application/json");
    if (impliesNotRun(status) && retryAfter_.count() > 0) {
        fields.set(http::field::retry_after, retryAfterText(retryAfter_, context_.random));
    }
    auto text = responseHead(fields, status, http::obsolete_reason(static_cast<http::status>(status)));
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (request_.method() != http::verb::head) {
        text += body;
    }
    const bool isWritten = co_await writeCaller(std::move(text));
    co_return isWritten && !isCloseAnnounced_;
}

void ForwardCall::logCut()
{
    failWith(isHeaderSent_ ? ResultCode::StreamCut : ResultCode::Draining, "the drain time is over");
    writeLog();
}

void ForwardCall::writeLog()
{
    entry_.total = context_.now() - receivedAt_;
    entry_.model = model_.str();
    context_.log.write(entry_, context_.now());
}

void ForwardCall::abandon()
{
    isCallerGone_ = true;
    dropStandby();
    if (activeLink_) {
        activeLink_->connection->interrupt();
    }
}

}
