#pragma once

#include "serving/caller_channel.h"
#include "serving/chat_request.h"
#include "serving/engine_attempt.h"

#include <functional>
#include <memory>
#include <string>

namespace carawaypoint
{

/// Runs one model request from admission to its last byte. Used on one traffic thread.
class ChatCall : public std::enable_shared_from_this<ChatCall>, public TokenSink
{
public:
    ChatCall(TrafficLoop &loop, std::shared_ptr<CallerChannel> caller, ChatRequest request, std::uint64_t sequence, TimePoint arrivedAt);
    ~ChatCall() override;

    /// Answers the caller; false when its connection must not be used again.
    asio::awaitable<bool> run(bool keepAlive);

    ResultCode code() const
    {
        return code_;
    }
    RunState state() const
    {
        return state_;
    }

private:
    asio::awaitable<bool> takeTokens(std::vector<EngineEvent> tokens) override;
    asio::awaitable<void> obtainGrant();
    asio::awaitable<AttemptResult> runOnReplica();
    asio::awaitable<AttemptResult> sendOnce(UpstreamConnection upstream);
    asio::awaitable<bool> complete(const AttemptResult &result);
    asio::awaitable<bool> fail(ResultCode code, Duration retryAfter, std::string message);
    void noteAttemptEnd(const AttemptResult &result);
    void signal(ServerSignal::Kind kind) const;
    void leave();

    TrafficLoop &loop_;
    std::shared_ptr<CallerChannel> caller_;
    ChatRequest request_;
    std::uint64_t sequence_;
    TimePoint arrivedAt_;
    std::function<void()> interrupt_; // of the present wait
    enum class Hold : std::uint8_t {
        Nothing,
        Queue,
        Slot,
    };
    Hold hold_ = Hold::Nothing; // of the dispatcher
    Dispatcher::Ticket ticket_ = 0;
    DispatchDecision decision_;
    std::vector<ReplicaId> excluded_; // replicas that failed this request
    std::uint32_t attempts_ = 0; // sent so far, for attempt ids
    std::uint32_t delivered_ = 0; // tokens taken over from engines
    std::uint32_t reported_ = 0; // tokens reported to the dispatcher
    std::string collected_; // text for a caller that does not stream
    bool mayHaveRun_ = false;
    bool hasStarted_ = false; // the streamed response's header was sent
    bool isKeptAlive_ = true;
    bool isTooLarge_ = false;
    ResultCode code_ = ResultCode::Internal;
    RunState state_ = RunState::Unknown;
};

}
