#include "serving/chat_call.h"

#include "observe/log.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace carawaypoint
{

namespace json = boost::json;
using End = AttemptResult::End;

namespace
{

constexpr std::uint32_t TokensPerProgressReport = 16; // limits contention on the dispatcher's mutex

std::string joinWithSpaces(const std::vector<std::string> &parts)
{
    std::string text;
    for (const auto &part : parts) {
        text.append(text.empty() ? "" : " ").append(part);
    }
    return text;
}

AttemptOutcome toOutcome(End end)
{
    switch (end) {
    case End::Finished:
        return AttemptOutcome::Completed;
    case End::RefusedBeforeRun:
    case End::Rejected:
        return AttemptOutcome::Refused;
    case End::TimedOut:
    case End::BadAnswer: // the server misbehaved but did not crash, so the request is no crash suspect
        return AttemptOutcome::Stalled;
    case End::SinkClosed:
        return AttemptOutcome::Cancelled;
    case End::ConnectionLost:
        break;
    }
    return AttemptOutcome::ReplicaLost;
}

}

ChatCall::ChatCall(TrafficLoop &loop, std::shared_ptr<CallerChannel> caller, ChatRequest request, std::uint64_t sequence, TimePoint arrivedAt)
    : loop_(loop)
    , caller_(std::move(caller))
    , request_(std::move(request))
    , requestSequence_(sequence)
    , arrivedAt_(arrivedAt)
{
}

ChatCall::~ChatCall()
{
    // Anything is left to release only when the front end was stopped while the call was in progress.
    auto &dispatcher = *loop_.context.dependencies.dispatcher;
    if (dispatchState_ == DispatchState::SlotHeld || (dispatchState_ == DispatchState::Queued && !dispatcher.cancel(ticket_))) {
        dispatcher.finish(ticket_, AttemptOutcome::Cancelled, deliveredTokens_);
    }
}

asio::awaitable<bool> ChatCall::run(bool keepAlive)
{
    const auto self = shared_from_this();
    isKeptAlive_ = keepAlive;
    caller_->watchForDisconnect([weak = weak_from_this()] {
        if (const auto call = weak.lock()) {
            call->handleCallerDisconnect();
        }
    });
    const auto &settings = loop_.context.settings;
    auto &dispatcher = *loop_.context.dependencies.dispatcher;
    for (unsigned tries = 1;; ++tries) {
        co_await waitForGrant();
        if (caller_->isDisconnected()) {
            break;
        }
        logDecision("routing", request_.routing.id.str(), decision_.replica.str(), decision_.reason,
                    {{"code", resultCodeName(decision_.code)},
                     {"attempt", tries},
                     {"delivered", deliveredTokens_},
                     {"considered", joinWithSpaces(decision_.considered)}});
        if (decision_.code != ResultCode::Ok) {
            co_return co_await sendFailure(decision_.code, decision_.retryAfter, decision_.reason);
        }
        const auto result = co_await runOnReplica();
        mayHaveRun_ = mayHaveRun_ || result.mayHaveRun;
        dispatchState_ = DispatchState::None;
        dispatcher.finish(ticket_, toOutcome(result.end), deliveredTokens_);
        reportAttemptEnd(result);
        if (result.end == End::Finished) {
            co_return co_await sendCompletion(result);
        }
        if (caller_->isDisconnected()) {
            break;
        }
        if (result.end == End::SinkClosed || result.end == End::Rejected || tries >= settings.maxAttempts) {
            co_return co_await sendFailure(isTooLarge_ ? ResultCode::BackendBadAnswer : result.code, {}, result.detail);
        }
        excludedReplicas_.push_back(decision_.replica);
    }
    code_ = ResultCode::CallerClosed;
    runState_ = mayHaveRun_ ? RunState::Unknown : RunState::NotRun;
    loop_.context.count(ServingEvent::CallerDisconnected);
    co_return false;
}

asio::awaitable<void> ChatCall::waitForGrant()
{
    auto &dispatcher = *loop_.context.dependencies.dispatcher;
    const auto mailbox = std::make_shared<Mailbox<DispatchDecision>>(loop_);
    const auto onGrant = [mailbox](const DispatchDecision &decision) {
        mailbox->deliver(decision);
    };
    dispatchState_ = DispatchState::Queued;
    ticket_ = excludedReplicas_.empty() ? dispatcher.submit(request_.routing, onGrant) : dispatcher.resubmit(ticket_, excludedReplicas_, onGrant);
    interruptWait_ = [mailbox] {
        mailbox->interrupt();
    };
    std::optional<DispatchDecision> decision;
    if (!caller_->isDisconnected()) {
        decision = co_await mailbox->wait(loop_);
    }
    interruptWait_ = nullptr;
    if (!decision && !dispatcher.cancel(ticket_)) {
        // The grant was made already and occupies a slot until it is released.
        decision = co_await mailbox->wait(loop_);
    }
    dispatchState_ = decision && decision->code == ResultCode::Ok ? DispatchState::SlotHeld : DispatchState::None;
    if (!decision) {
        co_return;
    }
    decision_ = std::move(*decision);
    if (caller_->isDisconnected() && dispatchState_ == DispatchState::SlotHeld) {
        dispatchState_ = DispatchState::None;
        dispatcher.finish(ticket_, AttemptOutcome::Cancelled, deliveredTokens_);
    }
}

asio::awaitable<AttemptResult> ChatCall::runOnReplica()
{
    auto &context = loop_.context;
    AttemptResult notSent;
    notSent.end = End::RefusedBeforeRun;
    notSent.code = ResultCode::NoReplicaAvailable;
    notSent.mayHaveRun = false;
    bool mayHaveRun = false;
    auto upstream = loop_.pool.takeIdle(decision_.leader);
    while (true) {
        if (!upstream.connection) {
            upstream = co_await loop_.pool.connect(decision_.leader);
            context.count(ServingEvent::UpstreamConnected);
        } else {
            context.count(ServingEvent::UpstreamReused);
        }
        if (!upstream.connection) {
            notSent.refusal = ServerSignal::Kind::ConnectFailed;
            notSent.detail = "no connection to " + decision_.leader.toString();
            notSent.mayHaveRun = mayHaveRun;
            co_return notSent;
        }
        if (caller_->isDisconnected() || !context.dependencies.dispatcher->isEligible(decision_.replica, decision_.incarnation)) {
            notSent.detail = "the replica stopped being eligible before the request was sent";
            notSent.mayHaveRun = mayHaveRun;
            loop_.pool.release(decision_.leader, std::move(upstream));
            co_return notSent;
        }
        const bool isReused = upstream.isReused;
        auto result = co_await sendAttempt(std::move(upstream));
        const bool isConnectionFailure = (result.end == End::ConnectionLost || result.end == End::TimedOut) && !result.hasResponseStarted;
        if (!isReused || !isConnectionFailure) {
            result.mayHaveRun = result.mayHaveRun || mayHaveRun;
            co_return result;
        }
        // A pooled connection can be dead although the engine works, so the request is sent again on a new connection.
        mayHaveRun = true;
        loop_.pool.purge(decision_.leader);
        context.count(ServingEvent::FreshConnectionRetry);
        upstream = {};
    }
}

asio::awaitable<AttemptResult> ChatCall::sendAttempt(UpstreamConnection upstream)
{
    AttemptPlan plan;
    plan.decision = decision_;
    plan.id = {loop_.context.dependencies.processIncarnation, requestSequence_, ++attemptsSent_};
    plan.request = request_.routing.id;
    plan.body = request_.engineBody;
    plan.resumeFrom = deliveredTokens_;
    if (deliveredTokens_ > 0) {
        loop_.context.count(ServingEvent::Resumed);
    }
    const auto id = plan.id;
    const auto attempt = std::make_shared<EngineAttempt>(loop_, std::move(plan), std::move(upstream), *this);
    interruptWait_ = [attempt] {
        attempt->interrupt();
    };
    auto result = co_await attempt->run();
    interruptWait_ = nullptr;
    if (result.end != End::Finished && result.mayHaveRun && result.end != End::Rejected) {
        cancelAtEngine(loop_, decision_.leader, id);
    }
    co_return result;
}

asio::awaitable<bool> ChatCall::handleTokens(std::vector<EngineEvent> tokens)
{
    auto &context = loop_.context;
    if (deliveredTokens_ == 0 && context.dependencies.metrics != nullptr) {
        context.dependencies.metrics->onFirstToken(context.dependencies.clock->now() - arrivedAt_);
    }
    deliveredTokens_ += static_cast<std::uint32_t>(tokens.size());
    context.count(ServingEvent::TokensDelivered, tokens.size());
    if (deliveredTokens_ - reportedTokens_ >= TokensPerProgressReport || reportedTokens_ == 0) {
        reportedTokens_ = deliveredTokens_;
        context.dependencies.dispatcher->reportProgress(ticket_, deliveredTokens_);
    }
    std::string chunk;
    for (const auto &token : tokens) {
        if (!request_.isStreamed) {
            collectedText_ += token.content;
            continue;
        }
        chunk += R"(data: {"id":")" + request_.routing.id.str() + R"(","index":)" + std::to_string(token.index) + R"(,"choices":[{"index":0,"delta":)"
            + token.delta + "}]}\n\n";
    }
    if (!request_.isStreamed) {
        isTooLarge_ = collectedText_.size() > context.settings.maxAnswerBytes;
        co_return !isTooLarge_ && !caller_->isDisconnected();
    }
    if (!hasStreamStarted_) {
        hasStreamStarted_ = true;
        if (!co_await caller_->startStream(request_.routing.id, isKeptAlive_)) {
            co_return false;
        }
    }
    co_return co_await caller_->sendChunk(std::move(chunk));
}

asio::awaitable<bool> ChatCall::sendCompletion(const AttemptResult &result)
{
    const auto &id = request_.routing.id;
    code_ = ResultCode::Ok;
    runState_ = RunState::Completed;
    const json::object usage{{"prompt_tokens", result.promptTokens}, {"completion_tokens", deliveredTokens_}};
    if (!request_.isStreamed) {
        const json::object message{{"role", "assistant"}, {"content", collectedText_}};
        const json::object choice{{"index", 0}, {"message", message}, {"finish_reason", result.finishReason}};
        Reply reply;
        reply.body =
            json::serialize(json::object{{"id", id.str()}, {"model", request_.routing.model.str()}, {"choices", json::array{choice}}, {"usage", usage}});
        co_return co_await caller_->send(reply, id, isKeptAlive_) && isKeptAlive_;
    }
    // Not written as one expression: GCC 12 does not short-circuit operands that contain co_await.
    bool isStarted = hasStreamStarted_;
    if (!isStarted) {
        isStarted = co_await caller_->startStream(id, isKeptAlive_);
    }
    if (!isStarted) {
        co_return false;
    }
    const json::object choice{{"index", 0}, {"delta", json::object()}, {"finish_reason", result.finishReason}};
    std::string end = "data: " + json::serialize(json::object{{"id", id.str()}, {"choices", json::array{choice}}, {"usage", usage}}) + "\n\n";
    end += makeResultEvent(id, code_, runState_, deliveredTokens_) + "data: [DONE]\n\n";
    if (!co_await caller_->sendChunk(std::move(end))) {
        co_return false;
    }
    co_return co_await caller_->endStream() && isKeptAlive_;
}

asio::awaitable<bool> ChatCall::sendFailure(ResultCode code, Duration retryAfter, std::string message)
{
    code_ = code;
    // A quarantined request has crashed servers in earlier attempts, so "not run" would be wrong.
    runState_ = mayHaveRun_ || code == ResultCode::RequestQuarantined ? RunState::Unknown : RunState::NotRun;
    if (!hasStreamStarted_) {
        co_return co_await caller_->send(makeErrorReply(code_, runState_, message, retryAfter), request_.routing.id, isKeptAlive_) && isKeptAlive_;
    }
    // The end marker and the last chunk are left out, so that the caller detects the truncation.
    co_await caller_->sendChunk(makeResultEvent(request_.routing.id, code_, runState_, deliveredTokens_));
    co_return false;
}

void ChatCall::reportAttemptEnd(const AttemptResult &result)
{
    if (result.end == End::Finished) {
        return;
    }
    logDecision("routing", request_.routing.id.str(), decision_.replica.str(), result.detail,
                {{"code", resultCodeName(result.code)}, {"attempt_ended", true}, {"delivered", deliveredTokens_}, {"may_have_run", result.mayHaveRun}});
    if (result.refusal) {
        reportSignal(*result.refusal);
    } else if (result.end == End::ConnectionLost) {
        reportSignal(ServerSignal::Kind::ConnectionLost);
    }
}

void ChatCall::reportSignal(ServerSignal::Kind kind) const
{
    loop_.context.reportSignal({kind, decision_.leader, decision_.replica, decision_.incarnation, {}});
}

void ChatCall::handleCallerDisconnect()
{
    if (interruptWait_) {
        interruptWait_();
    }
}

}
