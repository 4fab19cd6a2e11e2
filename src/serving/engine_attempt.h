#pragma once

#include "core/result_code.h"
#include "routing/dispatcher.h"
#include "serving/event_stream.h"
#include "serving/traffic_loop.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace carawaypoint
{

/// One try to run a model request on one replica.
struct AttemptPlan {
    DispatchDecision decision;
    AttemptId id;
    RequestId request;
    std::string body;
    std::uint32_t resumeFrom = 0; // tokens that the caller has already
};

struct AttemptResult {
    enum class End : std::uint8_t {
        Finished, // every token up to the end marker was taken over
        RefusedBeforeRun, // the engine said so
        Lost, // the connection broke
        TimedOut,
        BadAnswer, // another form, another attempt's answer, or a missing token
        Rejected, // the engine considers the request wrong; another replica would too
        SinkClosed, // the caller left or its answer grew too large
    };
    End end = End::Lost;
    ResultCode code = ResultCode::ReplicaLost;
    bool hasAnswerBegun = false; // any byte of a response was received
    bool mayHaveRun = true;
    std::string detail;
    std::string finishReason;
    std::uint32_t promptTokens = 0;
    std::optional<ServerSignal::Kind> refusal; // what a refusal says about the server
};

/// Receives the tokens of an attempt in order, without gaps and repetitions.
class TokenSink
{
public:
    virtual ~TokenSink() = default;
    /// False ends the attempt. The next tokens are read from the engine only after this returned.
    virtual asio::awaitable<bool> takeTokens(std::vector<EngineEvent> tokens) = 0;
};

/// Sends one attempt over one connection and reads its answer. Used on one traffic thread.
class EngineAttempt : public std::enable_shared_from_this<EngineAttempt>
{
public:
    EngineAttempt(TrafficLoop &loop, AttemptPlan plan, UpstreamConnection upstream, TokenSink &sink);
    ~EngineAttempt();

    asio::awaitable<AttemptResult> run();
    /// Makes run() return early; for a caller that left.
    void interrupt();

private:
    class Reader;

    asio::awaitable<AttemptResult> exchange();
    asio::awaitable<AttemptResult> readRefusal(unsigned status);
    asio::awaitable<AttemptResult> readTokens();
    asio::awaitable<void> readRest();
    /// Checks the events received so far; true when the answer has ended or failed.
    bool takeEvents(std::vector<EngineEvent> &tokens, AttemptResult &result);
    bool takeFinish(const EngineEvent &event, AttemptResult &result);
    AttemptResult failure(AttemptResult::End end, ResultCode code, std::string detail) const;
    AttemptResult transportFailure(std::string_view what, const std::string &error) const;

    TrafficLoop &loop_;
    AttemptPlan plan_;
    UpstreamConnection upstream_;
    TokenSink *sink_;
    std::unique_ptr<Reader> reader_;
    EventStreamParser events_;
    std::uint32_t nextIndex_;
    bool hasAnswerBegun_ = false;
    bool hasFinish_ = false;
};

/// Tells an engine to end an attempt; does not wait for the answer.
void cancelAtEngine(TrafficLoop &loop, const Endpoint &engine, const AttemptId &attempt);

}
