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

/// Parameters of one attempt to run a model request on a replica.
struct AttemptPlan {
    DispatchDecision decision;
    AttemptId id;
    RequestId request;
    std::string body;
    std::uint32_t resumeFrom = 0; // tokens delivered by earlier attempts; the engine continues after them
};

struct AttemptResult {
    enum class End : std::uint8_t {
        Finished, // all tokens and the end marker were received
        RefusedBeforeRun, // the engine refused the request before running it
        ConnectionLost, // the connection to the engine broke
        TimedOut, // no token or response within its timeout
        BadAnswer, // a malformed answer, the answer of another attempt or replica, or a missing token
        Rejected, // the engine rejected the request as invalid, as any other replica would
        SinkClosed, // the caller disconnected or its answer exceeded maxAnswerBytes
    };
    End end = End::ConnectionLost;
    ResultCode code = ResultCode::ReplicaLost;
    bool hasResponseStarted = false; // any byte of a response was received
    bool mayHaveRun = true; // whether the engine may have started to run the request
    std::string detail; // cause of a failure, for logs and error responses
    std::string finishReason;
    std::uint32_t promptTokens = 0;
    std::optional<ServerSignal::Kind> refusal; // signal to report about the server that refused
};

/// Receives the tokens of an attempt in order, without gaps or duplicates.
class TokenSink
{
public:
    virtual ~TokenSink() = default;
    /// Returning false ends the attempt. No further tokens are read from the engine until the call has completed.
    virtual asio::awaitable<bool> handleTokens(std::vector<EngineEvent> tokens) = 0;
};

/// Sends a model request to an engine over one connection and reads the answer. Used on one traffic thread.
class EngineAttempt : public std::enable_shared_from_this<EngineAttempt>
{
public:
    EngineAttempt(TrafficLoop &loop, AttemptPlan plan, UpstreamConnection upstream, TokenSink &sink);
    ~EngineAttempt();

    asio::awaitable<AttemptResult> run();
    /// Makes run() return early because the caller disconnected.
    void interrupt();

private:
    class Reader;

    asio::awaitable<AttemptResult> exchange();
    asio::awaitable<AttemptResult> readRefusal(unsigned status);
    asio::awaitable<AttemptResult> readTokens();
    /// Reads the rest of the chunked encoding, then returns the connection to the pool.
    asio::awaitable<void> readToEndOfBody();
    /// Handles the events received so far and appends their tokens to @p tokens; true when the answer has ended or failed.
    bool handleEvents(std::vector<EngineEvent> &tokens, AttemptResult &result);
    /// Checks the token count of a finish event; false when tokens are missing.
    bool handleFinish(const EngineEvent &event, AttemptResult &result);
    AttemptResult failure(AttemptResult::End end, ResultCode code, std::string detail) const;
    AttemptResult transportFailure(std::string_view what, const std::string &error) const;

    TrafficLoop &loop_;
    AttemptPlan plan_;
    UpstreamConnection upstream_;
    TokenSink *sink_;
    std::unique_ptr<Reader> reader_;
    EventStreamParser events_;
    std::uint32_t nextIndex_; // index of the token expected next
    bool hasResponseStarted_ = false;
    bool hasFinishReason_ = false;
};

/// Sends a cancel request for an attempt to its engine in the background.
void cancelAtEngine(TrafficLoop &loop, const Endpoint &engine, const AttemptId &attempt);

}
