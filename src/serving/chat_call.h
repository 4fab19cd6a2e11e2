#pragma once

#include "serving/caller_channel.h"
#include "serving/chat_request.h"
#include "serving/engine_attempt.h"

#include <functional>
#include <memory>
#include <string>

namespace carawaypoint
{

/// Runs one model request from admission to the last byte of its answer, with retries at other replicas. Used on one traffic thread.
class ChatCall : public std::enable_shared_from_this<ChatCall>, public TokenSink
{
public:
    ChatCall(TrafficLoop &loop, std::shared_ptr<CallerChannel> caller, ChatRequest request, std::uint64_t sequence, TimePoint arrivedAt);
    ~ChatCall() override;

    /// Answers the caller; false when the caller's connection must be closed afterwards.
    asio::awaitable<bool> run(bool keepAlive);

    ResultCode code() const
    {
        return code_;
    }
    RunState runState() const
    {
        return runState_;
    }

private:
    asio::awaitable<bool> handleTokens(std::vector<EngineEvent> tokens) override;
    asio::awaitable<void> waitForGrant();
    asio::awaitable<AttemptResult> runOnReplica();
    asio::awaitable<AttemptResult> sendAttempt(UpstreamConnection upstream);
    asio::awaitable<bool> sendCompletion(const AttemptResult &result);
    asio::awaitable<bool> sendFailure(ResultCode code, Duration retryAfter, std::string message);
    void reportAttemptEnd(const AttemptResult &result);
    void reportSignal(ServerSignal::Kind kind) const;
    void handleCallerDisconnect();

    TrafficLoop &loop_;
    std::shared_ptr<CallerChannel> caller_;
    ChatRequest request_;
    std::uint64_t requestSequence_;
    TimePoint arrivedAt_;
    std::function<void()> interruptWait_; // ends the wait for a grant or an engine; empty while there is none
    /// What the dispatcher holds for this call under ticket_.
    enum class DispatchState : std::uint8_t {
        None,
        Queued,
        SlotHeld,
    };
    DispatchState dispatchState_ = DispatchState::None;
    Dispatcher::Ticket ticket_ = 0;
    DispatchDecision decision_;
    std::vector<ReplicaId> excludedReplicas_; // replicas that failed this request
    std::uint32_t attemptsSent_ = 0; // attempts sent so far, part of attempt ids
    std::uint32_t deliveredTokens_ = 0; // tokens received from engines for this request
    std::uint32_t reportedTokens_ = 0; // tokens reported to the dispatcher
    std::string collectedText_; // text of the answer for a caller that does not stream
    bool mayHaveRun_ = false; // an attempt may have started to run
    bool hasStreamStarted_ = false; // the header of the streamed response was sent
    bool isKeptAlive_ = true; // whether the caller's connection stays open after the answer
    bool isTooLarge_ = false; // collectedText_ exceeds maxAnswerBytes
    ResultCode code_ = ResultCode::Internal;
    RunState runState_ = RunState::Unknown;
};

}
