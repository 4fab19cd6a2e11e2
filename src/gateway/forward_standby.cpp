// The part of ForwardCall that asks another server while that of a request is silent.

#include "gateway/forward_call.h"
#include "gateway/http_fields.h"
#include "gateway/monitored_request.h"
#include "gateway/tracked_attempt.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http.hpp>

#include <utility>

namespace carawaypoint
{

struct ForwardCall::Standby {
    Standby(asio::io_context &io, ServingTarget chosen)
        : target(std::move(chosen))
        , ended(io)
    {
    }

    ServingTarget target;
    BackendLink link;
    std::optional<Response> response;
    bool hasBegun = false; // the server has begun to answer
    bool hasEnded = false;
    bool isCancelled = false;
    asio::steady_timer ended; // cancelled when the server has begun to answer or the attempt has ended
};

void ForwardCall::reroute()
{
    const bool mayReroute =
        route_->isRepeatable() && sentAttempts_ < route_->maxAttempts && activeLink_ && !standby_ && !isCallerGone_ && remaining() >= MinAttemptTime;
    const auto *target = mayReroute ? chooseTarget() : nullptr;
    if (target == nullptr || !context_.retryBudget.tryTake(service_, context_.now())) {
        return;
    }
    context_.log.writeStep(entry_.id, "request also sent to another server", "the server is silent", entry_.server, context_.now());
    excluded_.push_back(target->server);
    standby_ = std::make_shared<Standby>(context_.io, *target);
    asio::co_spawn(context_.io, runStandby(standby_), asio::detached);
}

asio::awaitable<void> ForwardCall::runStandby(std::shared_ptr<Standby> standby)
{
    const auto self = shared_from_this();
    unsigned pendingPrefillTokens = prefillTokens();
    const TrackedAttempt tracked(context_.loadTracker, standby->target.server, nullptr, pendingPrefillTokens);
    standby->hasBegun = co_await beginAtStandby(*standby);
    standby->hasEnded = true;
    standby->ended.cancel();
    if (standby->isCancelled || !standby->hasBegun) {
        standby->hasBegun = false;
        if (standby->link.connection) {
            standby->link.connection->close();
        }
        if (standby_ == standby) {
            standby_.reset();
        }
    } else if (activeLink_) {
        isRerouting_ = true;
        activeLink_->connection->interrupt();
    }
}

/// Sends the request and waits for the beginning of a response that may replace that of the silent server.
asio::awaitable<bool> ForwardCall::beginAtStandby(Standby &standby)
{
    auto &link = standby.link;
    const auto error = co_await connectTo(standby.target, link);
    if (error || standby.isCancelled) {
        co_return false;
    }
    ++sentAttempts_;
    const MonitoredRequest monitored(context_.links.monitor(), context_.clock);
    mayHaveRun_ = true;
    link.connection->limit(responseTime());
    bool isRead = co_await sendRequest(link, standby.target);
    if (isRead) {
        isRead = co_await readHeader(link, standby.response);
    }
    if (!isRead) {
        co_await recordStandbyFailure(standby);
        co_return false;
    }
    context_.links.monitor().recordData(context_.now());
    const auto &header = standby.response->get();
    recordStatedLoad(header, standby.target.server);
    recordStatements(header, standby.target);
    const auto status = header.result_int();
    const bool isFailure = status >= 500 || impliesNotRun(status) || (route_->kind == CallKind::Stream && status / 100 != 2);
    const bool isEndUncertain = link.isProxied && standby.response->need_eof();
    if (isFailure || isNotRun(header) || isUnsignedSuccess(header) || isEndUncertain) {
        co_return false;
    }
    // A server may send the header of a stream before its first event.
    if (link.connection->buffer().size() == 0 && !standby.response->is_done()) {
        const auto [waitError] = co_await link.connection->socket().async_wait(asio::ip::tcp::socket::wait_read, UseResult);
        link.isLost = waitError || link.connection->isPeerClosed();
        if (link.isLost) {
            co_await recordStandbyFailure(standby);
            co_return false;
        }
    }
    co_return true;
}

/// The other server failed before it began to answer. The request may have crashed it, as it may the first one.
asio::awaitable<void> ForwardCall::recordStandbyFailure(const Standby &standby)
{
    if (standby.isCancelled) {
        co_return;
    }
    context_.loadTracker.recordFailure(standby.target.server, context_.now());
    if (standby.link.mayHaveLostServer()) {
        co_await checkLostServer(standby.target);
    }
}

/// Waits until the other server has begun to answer, and continues with its response. Otherwise returns @p end, that of the latest attempt.
asio::awaitable<ForwardCall::AttemptEnd> ForwardCall::continueAtStandby(AttemptEnd end)
{
    const auto standby = standby_;
    if (!standby->hasEnded) {
        standby->ended.expires_after(remaining());
        co_await standby->ended.async_wait(UseResult);
    }
    if (!standby->hasBegun || isCallerGone_) {
        dropStandby();
        co_return end;
    }
    standby_.reset();
    beginAttempt(standby->target);
    entry_.attempts = sentAttempts_;
    const auto startedAt = context_.now();
    {
        const TrackedAttempt tracked(context_.loadTracker, standby->target.server, trackedStream(), pendingPrefillTokens_);
        activeLink_ = standby->link;
        standby->link.connection->limit(responseTime());
        end = co_await relayResponse(standby->link, *standby->response);
        activeLink_.reset();
        mayHaveLostServer_ = standby->link.mayHaveLostServer();
    }
    co_return co_await endAttempt(end, standby->target, startedAt);
}

/// Ends the attempt at the other server, since the first one answers or nobody needs an answer.
void ForwardCall::dropStandby()
{
    const auto standby = std::exchange(standby_, nullptr);
    if (!standby) {
        return;
    }
    standby->isCancelled = true;
    if (standby->link.connection) {
        standby->link.connection->close();
    }
}

}
