#include "serving/engine_attempt.h"

#include "core/chunked_body.h"
#include "core/response_reader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <array>

namespace carawaypoint
{

namespace http = boost::beast::http;

namespace
{

constexpr std::size_t ReadBytes = 16UL * 1024;
constexpr std::size_t MaxRefusalBytes = 4UL * 1024;
constexpr std::uint32_t MaxCancelsInProgress = 512; // per thread; an engine that receives no cancel request ends the attempt at its own limit
constexpr auto EndOfBodyTimeout = seconds(1); // from the end marker to the end of the chunked encoding

http::request<http::string_body> makeRequest(const AttemptPlan &plan)
{
    http::request<http::string_body> request(http::verb::post, "/v1/chat/completions", 11);
    const auto &decision = plan.decision;
    request.set(http::field::host, decision.leader.toString());
    request.set(http::field::content_type, "application/json");
    request.set("X-Request-Id", plan.request.str());
    request.set("X-Attempt-Id", plan.id.toString());
    request.set("X-Replica", decision.replica.str() + "/" + std::to_string(decision.incarnation));
    request.set("X-Priority", std::to_string(decision.priority));
    request.set("X-Long-Work", decision.isLongWork ? "1" : "0");
    if (plan.resumeFrom > 0) {
        request.set("X-Resume-From", std::to_string(plan.resumeFrom));
    }
    request.body() = plan.body;
    request.prepare_payload();
    return request;
}

}

/// Reads the response header, then the body in parts.
class EngineAttempt::Reader
{
public:
    explicit Reader(Connection &connection)
        : connection_(connection)
    {
        parser.body_limit(boost::none);
    }

    asio::awaitable<boost::system::error_code> readHeader()
    {
        return readResponseHead(connection_.socket(), connection_.buffer(), parser);
    }

    asio::awaitable<boost::system::error_code> readSome()
    {
        received = {};
        if (!std::exchange(hasBodyBegun_, true)) {
            const auto beginError = co_await receiveChunkedBegin(connection_.socket(), connection_.buffer(), parser);
            if (beginError) {
                co_return beginError;
            }
        }
        parser.get().body().data = buffer_.data();
        parser.get().body().size = buffer_.size();
        parser.get().body().more = true;
        const auto [error, size] = co_await http::async_read_some(connection_.socket(), connection_.buffer(), parser, UseResult);
        received = std::string_view(buffer_.data(), buffer_.size() - parser.get().body().size);
        co_return error == http::error::need_buffer ? boost::system::error_code() : error;
    }

    std::string_view header(std::string_view name)
    {
        const auto value = parser.get()[name];
        return {value.data(), value.size()};
    }

    http::response_parser<http::buffer_body> parser;
    std::string_view received; // bytes that the last readSome() read

private:
    Connection &connection_;
    std::array<char, ReadBytes> buffer_{};
    bool hasBodyBegun_ = false;
};

EngineAttempt::EngineAttempt(TrafficLoop &loop, AttemptPlan plan, UpstreamConnection upstream, TokenSink &sink)
    : loop_(loop)
    , plan_(std::move(plan))
    , upstream_(std::move(upstream))
    , sink_(&sink)
    , reader_(std::make_unique<Reader>(*upstream_.connection))
    , events_(loop_.context.settings.maxEventBytes)
    , nextIndex_(plan_.resumeFrom)
{
}

EngineAttempt::~EngineAttempt() = default;

void EngineAttempt::interrupt()
{
    upstream_.connection->interrupt();
}

AttemptResult EngineAttempt::failure(AttemptResult::End end, ResultCode code, std::string detail) const
{
    AttemptResult result;
    result.end = end;
    result.code = code;
    result.hasResponseStarted = hasResponseStarted_;
    result.detail = std::move(detail);
    return result;
}

AttemptResult EngineAttempt::transportFailure(std::string_view what, const std::string &error) const
{
    if (upstream_.connection->isInterrupted()) {
        return failure(AttemptResult::End::SinkClosed, ResultCode::CallerClosed, "the caller left");
    }
    if (upstream_.connection->isTimedOut()) {
        return failure(AttemptResult::End::TimedOut, ResultCode::BackendTimeout, std::string(what) + " timed out");
    }
    return failure(AttemptResult::End::ConnectionLost, ResultCode::ReplicaLost, std::string(what) + " failed: " + error);
}

asio::awaitable<AttemptResult> EngineAttempt::run()
{
    const auto self = shared_from_this();
    auto result = co_await exchange();
    if (result.end == AttemptResult::End::Finished) {
        // The answer to the caller does not wait for the end of the chunked encoding.
        asio::co_spawn(
            loop_.io, [self]() -> asio::awaitable<void> { return self->readToEndOfBody(); }, asio::detached);
    } else if (result.end != AttemptResult::End::RefusedBeforeRun || upstream_.connection->isTimedOut()) {
        upstream_.connection->close();
    }
    co_return result;
}

asio::awaitable<AttemptResult> EngineAttempt::exchange()
{
    auto &connection = *upstream_.connection;
    const auto request = makeRequest(plan_);
    connection.limit(loop_.context.settings.firstByteTimeout);
    const auto [error, size] = co_await http::async_write(connection.socket(), request, UseResult);
    if (error) {
        co_return transportFailure("sending the request", error.message());
    }
    if (const auto headError = co_await reader_->readHeader()) {
        hasResponseStarted_ = reader_->parser.got_some();
        if (reader_->parser.is_header_done()) {
            co_return failure(AttemptResult::End::BadAnswer, ResultCode::BackendBadAnswer, "the head of the answer is malformed: " + headError.message());
        }
        co_return transportFailure("waiting for the answer", headError.message());
    }
    hasResponseStarted_ = true;
    if (reader_->header("X-Attempt-Id") != plan_.id.toString()) {
        loop_.context.count(ServingEvent::WrongAttemptDropped);
        co_return failure(AttemptResult::End::BadAnswer, ResultCode::BackendBadAnswer, "the answer carries another attempt id");
    }
    if (!reader_->parser.get().keep_alive()) {
        loop_.context.reportSignal({ServerSignal::Kind::Leaving, plan_.decision.leader, plan_.decision.replica, plan_.decision.incarnation, {}});
    }
    const auto status = reader_->parser.get().result_int();
    if (status != 200) {
        co_return co_await readRefusal(status);
    }
    const auto replica = plan_.decision.replica.str() + "/" + std::to_string(plan_.decision.incarnation);
    if (const auto answered = reader_->header("X-Replica"); answered != replica) {
        co_return failure(AttemptResult::End::BadAnswer, ResultCode::BackendBadAnswer, "the answer comes from another replica");
    }
    co_return co_await readTokens();
}

asio::awaitable<AttemptResult> EngineAttempt::readRefusal(unsigned status)
{
    std::string body;
    while (!reader_->parser.is_done() && body.size() < MaxRefusalBytes) {
        if (const auto error = co_await reader_->readSome()) {
            co_return transportFailure("reading a refusal", error.message());
        }
        body += reader_->received;
    }
    const auto hasCode = [&body](std::string_view code) {
        return body.find("\"" + std::string(code) + "\"") != std::string::npos;
    };
    const bool isRefusal = (status == 409 && hasCode("wrong_replica")) || (status == 503 && (hasCode("draining") || hasCode("not_loaded") || hasCode("full")));
    if (!isRefusal) {
        const bool isRejected = status >= 400 && status < 500 && status != 408 && status != 409 && status != 429;
        co_return failure(isRejected ? AttemptResult::End::Rejected : AttemptResult::End::BadAnswer, ResultCode::BackendBadAnswer,
                          "the engine answered with status " + std::to_string(status));
    }
    auto result = failure(AttemptResult::End::RefusedBeforeRun, ResultCode::BackendRefused, "the engine refused: " + body);
    result.mayHaveRun = false;
    result.refusal = hasCode("draining") ? ServerSignal::Kind::Draining : ServerSignal::Kind::Refused;
    if (reader_->parser.is_done() && reader_->parser.get().keep_alive()) {
        loop_.pool.release(plan_.decision.leader, upstream_);
    }
    co_return result;
}

asio::awaitable<AttemptResult> EngineAttempt::readTokens()
{
    auto &connection = *upstream_.connection;
    const auto &settings = loop_.context.settings;
    AttemptResult result;
    while (true) { // firstByteTimeout, set before sending, still applies until the first token arrives
        boost::system::error_code error;
        if (!reader_->parser.is_done()) {
            error = co_await reader_->readSome();
            events_.feed(reader_->received);
        } else {
            error = http::error::end_of_stream;
        }
        std::vector<EngineEvent> tokens;
        const bool hasEnded = handleEvents(tokens, result);
        if (!tokens.empty()) {
            connection.unlimit();
            if (!co_await sink_->handleTokens(std::move(tokens))) {
                co_return failure(AttemptResult::End::SinkClosed, ResultCode::CallerClosed, "the caller does not take the answer");
            }
            connection.limit(settings.interTokenTimeout);
        }
        if (hasEnded) {
            co_return result;
        }
        if (error) {
            loop_.context.count(ServingEvent::TruncatedAnswer);
            co_return transportFailure("reading the answer", error.message());
        }
    }
}

bool EngineAttempt::handleEvents(std::vector<EngineEvent> &tokens, AttemptResult &result)
{
    const auto fail = [&](std::string detail) {
        result = failure(AttemptResult::End::BadAnswer, ResultCode::BackendBadAnswer, std::move(detail));
        return true;
    };
    while (const auto data = events_.next()) {
        if (data->empty()) {
            continue; // a comment line that serves as keep-alive
        }
        auto event = parseEngineEvent(*data);
        if (event.kind == EngineEvent::Kind::Malformed) {
            return fail("an event is malformed");
        }
        if (event.kind == EngineEvent::Kind::Done) {
            if (!hasFinishReason_) {
                return fail("the end marker came without a finish reason");
            }
            result.end = AttemptResult::End::Finished;
            result.code = ResultCode::Ok;
            return true;
        }
        if (event.id != plan_.id.toString()) {
            loop_.context.count(ServingEvent::WrongAttemptDropped);
            continue;
        }
        if (event.kind == EngineEvent::Kind::Finish) {
            if (!handleFinish(event, result)) {
                return true;
            }
            continue;
        }
        if (event.index < nextIndex_) {
            loop_.context.count(ServingEvent::RepeatedTokenDropped);
            continue;
        }
        if (event.index > nextIndex_) {
            loop_.context.count(ServingEvent::TokenGap);
            return fail("token " + std::to_string(nextIndex_) + " is missing, token " + std::to_string(event.index) + " came instead");
        }
        ++nextIndex_;
        tokens.push_back(std::move(event));
    }
    return events_.isTooLarge() && fail("an event is larger than the limit");
}

bool EngineAttempt::handleFinish(const EngineEvent &event, AttemptResult &result)
{
    // After a resume, some engines report the token count of the complete answer, others only the tokens that they sent.
    const bool isCountConsistent = !event.completionTokens || *event.completionTokens == nextIndex_ || *event.completionTokens + plan_.resumeFrom == nextIndex_;
    if (!isCountConsistent) {
        loop_.context.count(ServingEvent::TruncatedAnswer);
        result = failure(AttemptResult::End::BadAnswer, ResultCode::AnswerTruncated,
                         "the engine counts " + std::to_string(*event.completionTokens) + " tokens, " + std::to_string(nextIndex_) + " were received");
        return false;
    }
    hasFinishReason_ = true;
    result.finishReason = event.finishReason;
    result.promptTokens = event.promptTokens;
    return true;
}

asio::awaitable<void> EngineAttempt::readToEndOfBody()
{
    const auto self = shared_from_this();
    auto &connection = *upstream_.connection;
    connection.limit(EndOfBodyTimeout);
    boost::system::error_code error;
    while (!error && !reader_->parser.is_done() && reader_->received.size() <= MaxRefusalBytes) {
        error = co_await reader_->readSome();
    }
    if (!error && reader_->parser.is_done() && reader_->parser.get().keep_alive()) {
        loop_.pool.release(plan_.decision.leader, std::move(upstream_));
    } else {
        connection.close();
    }
}

namespace
{

asio::awaitable<void> sendCancel(TrafficLoop &loop, Endpoint engine, std::string attempt)
{
    auto upstream = loop.pool.takeIdle(engine);
    if (!upstream.connection) {
        upstream = co_await loop.pool.connect(engine);
    }
    --loop.cancelsInProgress;
    if (!upstream.connection) {
        loop.context.count(ServingEvent::CancelFailed);
        co_return;
    }
    http::request<http::string_body> request(http::verb::post, "/control/cancel", 11);
    request.set(http::field::host, engine.toString());
    request.set(http::field::content_type, "application/json");
    request.body() = "{\"attempt\":\"" + attempt + "\"}";
    request.prepare_payload();
    auto &connection = *upstream.connection;
    connection.limit(loop.context.settings.cancelTimeout);
    const auto [writeError, written] = co_await http::async_write(connection.socket(), request, UseResult);
    http::response_parser<http::string_body> parser;
    boost::system::error_code readError = writeError;
    if (!readError) {
        readError = co_await readResponse(connection.socket(), connection.buffer(), parser);
    }
    loop.context.count(readError ? ServingEvent::CancelFailed : ServingEvent::CancelSent);
    if (!readError && parser.get().keep_alive()) {
        loop.pool.release(engine, std::move(upstream));
    } else {
        connection.close();
    }
}

}

void cancelAtEngine(TrafficLoop &loop, const Endpoint &engine, const AttemptId &attempt)
{
    if (loop.cancelsInProgress >= MaxCancelsInProgress) {
        loop.context.count(ServingEvent::CancelFailed);
        return;
    }
    ++loop.cancelsInProgress;
    asio::co_spawn(loop.io, sendCancel(loop, engine, attempt.toString()), asio::detached);
}

}
