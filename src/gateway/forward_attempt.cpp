// The part of ForwardCall that sends a request to one backend server and reads the header of the response.

#include "core/chunked_body.h"
#include "core/response_head.h"
#include "core/time_units.h"
#include "gateway/forward_call.h"
#include "gateway/http_fields.h"
#include "gateway/monitored_request.h"
#include "gateway/tracked_attempt.h"
#include "observe/metrics.h"

#include <boost/beast/http.hpp>

#include <algorithm>
#include <utility>

namespace carawaypoint
{

namespace http = boost::beast::http;

namespace
{

/// A reachable server accepts within milliseconds, an unreachable one not at all.
constexpr Duration ConnectTimeout = milliseconds(350);
/// A server that has just ended refuses connections at once; one that does not answer for this long counts as lost too.
constexpr Duration LostServerTimeout = milliseconds(150);
/// Time for which the connection is kept that has shown that a server lives. Servers keep idle connections for seconds.
constexpr Duration ProbeKeepAlive = seconds(1);
/// Added to the deadline that the server was given, so that its own timeout response can arrive.
constexpr Duration ResponseMargin = milliseconds(200);
/// Share of the remaining time after which an idempotent request without a response is sent to another server too.
constexpr double StandbyShare = 0.3;
/// Time for the body of a response which states that the request did not run.
constexpr Duration RejectionBodyTimeout = milliseconds(50);
constexpr unsigned MaxStaleResponses = 2;
constexpr unsigned MaxInterimResponses = 8;
constexpr unsigned SwitchingProtocols = 101;
constexpr unsigned MisdirectedRequest = 421; // the server is not the one that the request names

}

asio::awaitable<ForwardCall::AttemptEnd> ForwardCall::attemptWithStandby(ServingTarget target)
{
    auto end = co_await attempt(std::move(target));
    while (standby_ && end != AttemptEnd::Answered && end != AttemptEnd::CallerLost) {
        end = co_await continueAtStandby(end);
    }
    dropStandby();
    co_return end;
}

asio::awaitable<ForwardCall::AttemptEnd> ForwardCall::attempt(ServingTarget target)
{
    excluded_.push_back(target.server);
    beginAttempt(target);
    const auto startedAt = context_.now();
    auto end = AttemptEnd::NotSent;
    {
        const TrackedAttempt tracked(context_.loadTracker, target.server, trackedStream(), pendingPrefillTokens_);
        end = co_await connectAndExchange(target);
    }
    co_return co_await endAttempt(end, std::move(target), startedAt);
}

void ForwardCall::beginAttempt(const ServingTarget &target)
{
    entry_.server = target.server.str();
    entry_.replica = target.replica.str();
    entry_.attempts = sentAttempts_ + 1;
    isRerouting_ = false;
    hasAnswer_ = false;
    firstDataAt_.reset();
    mayHaveLostServer_ = false;
    lostServerCrash_ = 0;
    pendingPrefillTokens_ = prefillTokens();
}

/// Records the end of an attempt for the choice of servers.
asio::awaitable<ForwardCall::AttemptEnd> ForwardCall::endAttempt(AttemptEnd end, ServingTarget target, TimePoint startedAt)
{
    if (end == AttemptEnd::Failed) {
        mayHaveRun_ = true;
        // The load tracker knows of a silent server of streams already.
        if (!isCallerGone_ && !(isRerouting_ && trackedStream() != nullptr)) {
            context_.loadTracker.recordFailure(target.server, context_.now());
        }
        if (!isCallerGone_ && !isRerouting_ && !hasAnswer_ && mayHaveLostServer_) {
            co_await checkLostServer(target);
        }
    } else if (end == AttemptEnd::Answered) {
        context_.loadTracker.recordSuccess(target.server);
        context_.demand.recordRequestEnd(serverPool(), context_.now() - startedAt);
    }
    co_return end;
}

/// This call as a stream that the load tracker can reroute; null for other kinds of requests.
ReroutableCall *ForwardCall::trackedStream()
{
    return route_->kind == CallKind::Stream ? this : nullptr;
}

/// Time limit for the whole response of a server.
Duration ForwardCall::responseTime() const
{
    return remaining() + ResponseMargin;
}

asio::awaitable<std::error_code> ForwardCall::connectTo(const ServingTarget &target, BackendLink &link)
{
    const auto error = co_await context_.pool.acquire(target, std::min(ConnectTimeout, remaining()), link);
    if (error) {
        context_.loadTracker.recordFailure(target.server, context_.now());
    }
    co_return error;
}

asio::awaitable<ForwardCall::AttemptEnd> ForwardCall::connectAndExchange(ServingTarget target)
{
    BackendLink link;
    const auto error = co_await connectTo(target, link);
    if (error) {
        co_return AttemptEnd::NotSent;
    }
    if (isCallerGone_) {
        link.connection->close();
        co_return AttemptEnd::CallerLost;
    }
    activeLink_ = link;
    const auto end = co_await exchange(link, target);
    activeLink_.reset();
    mayHaveLostServer_ = link.mayHaveLostServer();
    co_return end;
}

/// A connection that fails early in an answer may be that of a server which the request has crashed. A server that accepts another connection
/// was not lost.
asio::awaitable<void> ForwardCall::checkLostServer(const ServingTarget &target)
{
    if (remaining() < LostServerTimeout) {
        co_return;
    }
    BackendLink link;
    link.server = target.server;
    link.serverStartedAt = target.startedAt;
    // Asks other gateways too: the links of this one may be lost instead.
    const auto error = co_await context_.links.probe(target, LostServerTimeout, link);
    if (!error) {
        context_.pool.release(link, ProbeKeepAlive);
        co_return;
    }
    // Other errors, such as a lack of descriptors, are this gateway's own.
    if (error != std::errc::connection_refused && error != std::errc::connection_reset && error != std::errc::timed_out) {
        co_return;
    }
    context_.pool.closeIdle(target.server);
    lostServerCrash_ = context_.quarantine.recordLostServer(target.server, target.startedAt, entry_.id, traits_, context_.now());
}

/// The server has answered. Only @p isServed shows that its model bears the request: an overloaded server refuses without running it.
void ForwardCall::recordAnswer(bool isServed)
{
    if (!std::exchange(hasAnswer_, true) && isServed) {
        context_.quarantine.recordAnswer(traits_, context_.now());
    }
}

asio::awaitable<ForwardCall::AttemptEnd> ForwardCall::exchange(BackendLink &link, ServingTarget target)
{
    ++sentAttempts_;
    const MonitoredRequest monitored(context_.links.monitor(), context_.clock);
    link.connection->limit(responseTime());
    asio::steady_timer standbyTimer(context_.io);
    if (route_->kind == CallKind::Idempotent) {
        askAnotherServerAfter(Duration(static_cast<std::int64_t>(static_cast<double>(remaining().count()) * StandbyShare)), standbyTimer);
    }
    std::optional<Response> response;
    // GCC 12 does not short-circuit operands that contain co_await, so each step is a separate statement.
    bool isRead = co_await sendRequest(link, target);
    if (isRead) {
        isRead = co_await readHeader(link, response);
    }
    if (!isRead) {
        link.connection->close();
        if (link.isReused && !isCallerGone_) {
            context_.pool.closeIdle(target.server);
        }
        co_return AttemptEnd::Failed;
    }
    context_.links.monitor().recordData(context_.now());
    const auto &header = response->get();
    recordStatedLoad(header, target.server);
    recordStatements(header, target);
    if (isNotRun(header)) {
        // The body says nothing more, and another server can have the request meanwhile.
        link.connection->limit(RejectionBodyTimeout);
        if (co_await discardBody(link, *response)) {
            keepOrClose(link, *response);
        } else {
            link.connection->close();
        }
        co_return AttemptEnd::NotRun;
    }
    // The caller may have received part of a successful response, which an error cannot continue.
    const bool isLateError = isHeaderSent_ && header.result_int() / 100 != 2;
    // The end of a proxied connection may be that of the gateway in between, so that it completes no response.
    const bool isEndUncertain = link.isProxied && response->need_eof();
    if (isUnsignedSuccess(header) || isLateError || isEndUncertain) {
        link.connection->close();
        co_return AttemptEnd::Failed;
    }
    co_return co_await relayResponse(link, *response);
}

asio::awaitable<ForwardCall::AttemptEnd> ForwardCall::relayResponse(BackendLink &link, Response &response)
{
    const auto error = co_await receiveChunkedBegin(link.connection->socket(), link.connection->buffer(), response);
    if (error) {
        link.isLost = isConnectionLost(error);
        link.connection->close();
        co_return isCallerGone_ ? AttemptEnd::CallerLost : AttemptEnd::Failed;
    }
    const auto status = response.get().result_int();
    if (route_->kind == CallKind::Stream && status / 100 == 2) {
        co_return co_await relayStream(link, response);
    }
    co_return co_await relayCompleteResponse(link, response);
}

/// Calls reroute() after @p time. The destructor of @p timer prevents that.
void ForwardCall::askAnotherServerAfter(Duration time, asio::steady_timer &timer)
{
    timer.expires_after(time);
    timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
        if (!error) {
            self->reroute();
        }
    });
}

/// Whether the response states that the server did not run the request.
bool ForwardCall::isNotRun(const Response::value_type &header) const
{
    return header.result_int() == MisdirectedRequest || header.find(context_.names.notExecuted) != header.end();
}

bool ForwardCall::isUnsignedSuccess(const Response::value_type &header) const
{
    return header.result_int() / 100 == 2 && header.find(context_.names.signature) == header.end();
}

/// Uses the load that the server states in its response, if any. A server that refuses requests for another one states its own load.
void ForwardCall::recordStatedLoad(const Response::value_type &header, const VmId &server)
{
    const auto &names = context_.names;
    const auto field = names.parseServerLoad == nullptr ? header.end() : header.find(names.serverLoad);
    if (field == header.end() || header.result_int() == MisdirectedRequest) {
        return;
    }
    if (const auto load = names.parseServerLoad(field->value())) {
        context_.loadTracker.recordStatedLoad(server, load->running + load->waiting, context_.now());
    } else {
        metricsRegistry().count(CounterMetric::IgnoredServerLoads, "malformed");
    }
}

/// Uses what the server states of itself, if anything. A response that refuses a request for another server describes that server.
void ForwardCall::recordStatements(const Response::value_type &header, const ServingTarget &target)
{
    if (header.result_int() == MisdirectedRequest) {
        return;
    }
    auto &statements = context_.serverStatements;
    const auto now = context_.now();
    if (const auto leaving = header.find(context_.names.serverLeaving); leaving != header.end() && leaving->value() == "1") {
        statements.recordLeaving(target, entry_.id, now);
        context_.pool.closeIdle(target.server);
    } else if (leaving != header.end()) {
        metricsRegistry().count(CounterMetric::ServerStatements, "malformed");
    }
    const auto retryAfter = header.find(http::field::retry_after);
    if (header.result() != http::status::service_unavailable || retryAfter == header.end()) {
        return;
    }
    if (const auto time = parseDeferral(retryAfter->value())) {
        statements.recordDeferral(target, *time, entry_.id, now);
    } else {
        metricsRegistry().count(CounterMetric::ServerStatements, "malformed");
    }
}

asio::awaitable<bool> ForwardCall::sendRequest(BackendLink &link, const ServingTarget &target)
{
    // The body is not copied: each attempt would hold one more copy of it.
    http::request<http::span_body<const char>> message(request_.method(), request_.target(), 11);
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
    if (!context_.names.priority.empty()) {
        message.set(context_.names.priority, std::to_string(queuePriority()));
    }
    if (lastEventId_ && hasEvents_) {
        message.set("Last-Event-Id", std::to_string(*lastEventId_));
    }
    message.body() = {request_.body().data(), request_.body().size()};
    const bool hasBody = !request_.body().empty() || request_.has_content_length() || request_.chunked();
    if (hasBody) {
        message.content_length(request_.body().size());
    }
    const auto [error, bytes] = co_await http::async_write(link.connection->socket(), message, UseResult);
    link.isLost = static_cast<bool>(error);
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
        link.isLost = isConnectionLost(error);
        if (error || checkResponseHead(response->get()) || status == SwitchingProtocols) {
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

}
