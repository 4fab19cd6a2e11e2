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

/// A reachable server accepts within milliseconds, an unreachable one not at all.
constexpr Duration ConnectTimeout = milliseconds(350);
/// Added to the deadline that the server was given, so that its own timeout response can arrive.
constexpr Duration ResponseMargin = milliseconds(200);
/// No attempt is started with less time than this until the deadline.
constexpr Duration MinAttemptTime = milliseconds(20);
/// Share of the remaining time after which an idempotent request without a response is sent to another server.
constexpr double RetryAfterShare = 0.3;
constexpr unsigned MaxFailedConnects = 3;
/// Time for the body of a response which states that the request did not run.
constexpr Duration RejectionBodyTimeout = milliseconds(50);
constexpr unsigned MaxStaleResponses = 2;
constexpr unsigned MaxInterimResponses = 8;
constexpr unsigned SwitchingProtocols = 101;

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

/// Keeps a request in the load tracker while it exists, also when an exception ends its scope.
class TrackedAttempt
{
public:
    TrackedAttempt(BackendLoadTracker &tracker, const VmId &server, ReroutableCall *stream, unsigned &pendingPrefillTokens)
        : tracker_(tracker)
        , server_(server)
        , stream_(stream)
        , pendingPrefillTokens_(pendingPrefillTokens)
    {
        tracker_.recordRequestStart(server_, stream_, pendingPrefillTokens_);
    }
    TrackedAttempt(const TrackedAttempt &) = delete;
    TrackedAttempt &operator=(const TrackedAttempt &) = delete;
    ~TrackedAttempt()
    {
        tracker_.recordRequestEnd(server_, stream_, std::exchange(pendingPrefillTokens_, 0));
    }

private:
    BackendLoadTracker &tracker_;
    const VmId &server_;
    ReroutableCall *stream_;
    unsigned &pendingPrefillTokens_;
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
    return request_.keep_alive() && !context_.isDraining && !mustCloseCaller_;
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
        entry_.customer = customer_.str();
    }
    if (entry_.id.empty()) {
        failWith(ResultCode::MalformedRequest, "the request has no id");
        return false;
    }
    model_ = ModelId(std::string(request_[context_.names.model]));
    entry_.model = model_.str();
    service_ = pickService();
    context_.retryBudget.addRequest(service_, context_.now());
    if (const auto last = parseNumber(request_["Last-Event-Id"])) {
        lastEventId_ = *last;
    }
    return true;
}

/// The first number of the token usage header, which lists the tokens of the prompt and of the response.
unsigned ForwardCall::promptTokens() const
{
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
    const auto &services = snapshot_->config()->services;
    const auto service = services.find(service_);
    const bool hasEngine = service != services.end() && service->second.engine.has_value();
    return {service_, hasEngine ? model_ : ModelId()};
}

RequestStage ForwardCall::stage() const
{
    if (hasEvents_) {
        return RequestStage::StreamStarted;
    }
    return isRetry_ ? RequestStage::Retried : RequestStage::New;
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
    const auto staleness = context_.countAge == Duration{} ? StalenessEstimate() : context_.demand.staleness(pool, context_.countAge, now);
    const auto choice = context_.loadTracker.choose(targets, context_.settings.zone, excluded_, now, context_.random, stage(), staleness);
    entry_.load = choice.load;
    entry_.freeCapacity = choice.freeCapacity;
    entry_.expected = choice.expected;
    if (choice.target != nullptr) {
        return choice.target;
    }
    if (sentAttempts_ == 0) {
        recordRejection(pool);
        failWith(choice.isFull ? ResultCode::QueueFull : ResultCode::NoReplicaAvailable,
                 choice.isFull ? "all places are taken" : "no healthy server is known for the model");
        retryAfter_ = choice.isFull ? RetryAfterFull : RetryAfterNoReplica;
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
            const auto *target = chooseTarget();
            if (target == nullptr) {
                break;
            }
            const auto end = co_await attempt(*target);
            if (end == AttemptEnd::Answered || end == AttemptEnd::CallerLost) {
                isAnswered = true;
                isKept = end == AttemptEnd::Answered && isCallerKept();
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
        retryAfter_ = RetryAfterServerLoss;
    } else {
        failWith(ResultCode::ReplicaLost, isRerouting_ ? "the server is stalled" : "the server failed");
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

asio::awaitable<ForwardCall::AttemptEnd> ForwardCall::attempt(ServingTarget target)
{
    entry_.server = target.server.str();
    entry_.replica = target.replica.str();
    entry_.attempts = sentAttempts_ + 1;
    excluded_.push_back(target.server);
    isRerouting_ = false;
    ReroutableCall *stream = route_->kind == CallKind::Stream ? this : nullptr;
    pendingPrefillTokens_ = stream == nullptr ? 0 : promptTokens();
    const auto attemptStartedAt = context_.now();
    auto end = AttemptEnd::NotSent;
    {
        const TrackedAttempt tracked(context_.loadTracker, target.server, stream, pendingPrefillTokens_);
        end = co_await connectAndExchange(target);
    }
    if (end == AttemptEnd::Failed) {
        mayHaveRun_ = true;
        if (!isCallerGone_ && !isRerouting_) {
            context_.loadTracker.recordFailure(target.server, context_.now());
        }
    } else if (end == AttemptEnd::Answered) {
        context_.loadTracker.recordSuccess(target.server);
        context_.demand.recordRequestEnd(serverPool(), context_.now() - attemptStartedAt);
    }
    co_return end;
}

asio::awaitable<ForwardCall::AttemptEnd> ForwardCall::connectAndExchange(ServingTarget target)
{
    BackendLink link;
    const auto error = co_await context_.pool.acquire(target, std::min(ConnectTimeout, remaining()), link);
    if (error) {
        context_.loadTracker.recordFailure(target.server, context_.now());
        co_return AttemptEnd::NotSent;
    }
    if (isCallerGone_) {
        link.connection->close();
        co_return AttemptEnd::CallerLost;
    }
    activeLink_ = link;
    const auto end = co_await exchange(link, target);
    activeLink_.reset();
    co_return end;
}

asio::awaitable<ForwardCall::AttemptEnd> ForwardCall::exchange(BackendLink &link, ServingTarget target)
{
    ++sentAttempts_;
    auto limit = remaining() + ResponseMargin;
    const bool mayRetryEarly = route_->kind == CallKind::Idempotent && sentAttempts_ < route_->maxAttempts;
    if (mayRetryEarly) {
        limit = std::min(limit, Duration(static_cast<std::int64_t>(static_cast<double>(remaining().count()) * RetryAfterShare)));
    }
    link.connection->limit(limit);
    std::optional<Response> response;
    // GCC 12 does not short-circuit operands that contain co_await, so each step is a separate statement.
    bool isRead = co_await sendRequest(link, target);
    if (isRead) {
        isRead = co_await readHeader(link, response);
    }
    if (!isRead) {
        link.connection->close();
        co_return AttemptEnd::Failed;
    }
    const auto &header = response->get();
    const bool isNotRun = header.result_int() == 421 || header.find(context_.names.notExecuted) != header.end();
    if (isNotRun) {
        // The body says nothing more, and another server can have the request meanwhile.
        link.connection->limit(RejectionBodyTimeout);
        if (co_await discardBody(link, *response)) {
            keepOrClose(link, *response);
        } else {
            link.connection->close();
        }
        co_return AttemptEnd::NotRun;
    }
    const bool isSuccess = header.result_int() / 100 == 2;
    const bool isSigned = header.find(context_.names.signature) != header.end();
    if (isSuccess && !isSigned) {
        link.connection->close();
        co_return AttemptEnd::Failed;
    }
    if (isHeaderSent_ && !isSuccess) {
        // The caller has received part of a successful response, which an error cannot continue.
        link.connection->close();
        co_return AttemptEnd::Failed;
    }
    if (route_->kind == CallKind::Stream && isSuccess) {
        co_return co_await relayStream(link, *response);
    }
    co_return co_await relayCompleteResponse(link, *response);
}

asio::awaitable<bool> ForwardCall::sendRequest(BackendLink &link, const ServingTarget &target)
{
    CallerRequest message(request_.method(), request_.target(), 11);
    message.method_string(request_.method_string());
    copyEndToEndFields(request_, message);
    message.erase(http::field::authorization);
    message.erase(http::field::expect);
    message.erase(context_.names.customer);
    if (!customer_.isEmpty()) {
        message.set(context_.names.customer, customer_.str());
    }
    message.set(context_.names.expectedServer, target.server.str());
    message.set(context_.names.deadline, std::to_string(std::max<std::int64_t>(1, inMilliseconds(remaining()))));
    if (lastEventId_ && hasEvents_) {
        message.set("Last-Event-Id", std::to_string(*lastEventId_));
    }
    message.body() = request_.body();
    const bool hasBody = !request_.body().empty() || request_.has_content_length() || request_.chunked();
    if (hasBody) {
        message.content_length(request_.body().size());
    }
    const auto [error, bytes] = co_await http::async_write(link.connection->socket(), message, UseResult);
    co_return !error;
}

asio::awaitable<bool> ForwardCall::readHeader(BackendLink &link, std::optional<Response> &response)
{
    unsigned staleCount = 0;
    unsigned interimCount = 0;
    while (staleCount <= MaxStaleResponses && interimCount <= MaxInterimResponses) {
        response.emplace();
        response->body_limit(boost::none);
        response->skip(request_.method() == http::verb::head);
        const auto [error, bytes] = co_await http::async_read_header(link.connection->socket(), link.connection->buffer(), *response, UseResult);
        const auto status = response->get().result_int();
        if (error || status == SwitchingProtocols) {
            co_return false;
        }
        if (status / 100 == 1) {
            ++interimCount;
            continue;
        }
        // A late response to an earlier request may precede the expected one; it is recognised by its id. Without an id, an error response
        // is accepted only from a connection that has had no other request, since it may answer an earlier one.
        const auto id = response->get()[context_.names.attemptId];
        const bool mayLackId = !link.isReused && staleCount == 0 && status / 100 != 2;
        if (id == entry_.id || (id.empty() && mayLackId)) {
            co_return true;
        }
        if (id.empty()) {
            co_return false;
        }
        const bool isRead = co_await discardBody(link, *response);
        if (!isRead || response->need_eof()) {
            co_return false;
        }
        ++staleCount;
    }
    co_return false;
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
        // Adds up to half of the time as jitter, so that callers do not retry at the same time.
        std::uniform_real_distribution<double> jitter(1.0, 1.5);
        const auto afterMs = static_cast<std::int64_t>(static_cast<double>(inMilliseconds(retryAfter_)) * jitter(context_.random));
        fields.set(http::field::retry_after, std::to_string(afterMs / 1000) + "." + std::to_string(afterMs % 1000 / 100));
    }
    auto text = headerText(fields, status, http::obsolete_reason(static_cast<http::status>(status)), isCallerKept());
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
    if (request_.method() != http::verb::head) {
        text += body;
    }
    const bool isWritten = co_await writeCaller(std::move(text));
    co_return isWritten &&isCallerKept();
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
    if (activeLink_) {
        activeLink_->connection->interrupt();
    }
}

void ForwardCall::reroute()
{
    const bool mayReroute = route_->isRepeatable() && sentAttempts_ < route_->maxAttempts && !isRerouting_;
    if (!mayReroute || !activeLink_) {
        return;
    }
    isRerouting_ = true;
    activeLink_->connection->interrupt();
}

}
