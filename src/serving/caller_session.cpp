#include "serving/caller_session.h"

#include "observe/log.h"
#include "serving/chat_call.h"
#include "serving/service_call.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/string_body.hpp>

namespace carawaypoint
{

namespace http = boost::beast::http;

namespace
{

constexpr std::size_t ReadBufferBytes = 4UL * 1024;
constexpr std::string_view ServicePrefix = "/services/";
constexpr auto LingerTimeout = seconds(1);
constexpr auto RetryAfterFull = seconds(1); // when the memory for requests is used up

/// Counts a request in FrontEndContext::requestsInProgress from its arrival until its answer was written.
class RequestCountGuard
{
public:
    explicit RequestCountGuard(FrontEndContext &context)
        : context_(context)
    {
        ++context_.requestsInProgress;
    }
    ~RequestCountGuard()
    {
        --context_.requestsInProgress;
    }
    RequestCountGuard(const RequestCountGuard &) = delete;
    RequestCountGuard &operator=(const RequestCountGuard &) = delete;

private:
    FrontEndContext &context_;
};

}

struct CallerSession::Request {
    http::request<http::string_body> message;
    RequestId id;

    std::string_view target() const
    {
        return {message.target().data(), message.target().size()};
    }
    std::string_view header(std::string_view name) const
    {
        const auto value = message[name];
        return {value.data(), value.size()};
    }
};

CallerSession::CallerSession(TrafficLoop &loop, ServiceCallContext &serviceContext, ConnectionPtr connection)
    : loop_(loop)
    , serviceContext_(serviceContext)
    , connection_(std::move(connection))
    , channel_(std::make_shared<CallerChannel>(loop_, connection_))
{
    ++loop_.callerConnections;
    loop_.context.count(ServingEvent::CallerConnected);
}

CallerSession::~CallerSession()
{
    --loop_.callerConnections;
}

void CallerSession::start()
{
    asio::co_spawn(
        loop_.io, [self = shared_from_this()]() -> asio::awaitable<void> { return self->run(); }, asio::detached);
}

asio::awaitable<void> CallerSession::run()
{
    const auto self = shared_from_this();
    while (co_await waitForInput()) {
        const RequestCountGuard guard(loop_.context);
        arrivedAt_ = loop_.context.dependencies.clock->now();
        RequestReader reader(*connection_, loop_.requestMemory, {loop_.context.settings.maxHeaderBytes, loop_.context.settings.maxBodyBytes});
        const auto request = co_await readRequest(reader);
        if (!request) {
            break;
        }
        const bool isReusable = co_await handleRequest(*request);
        channel_->stopWatchingForDisconnect();
        if (!isReusable) {
            break;
        }
    }
    connection_->close();
}

asio::awaitable<bool> CallerSession::waitForInput()
{
    auto &buffer = connection_->buffer();
    if (buffer.size() != 0) {
        co_return true;
    }
    connection_->limit(loop_.context.settings.idleTimeout);
    const auto [error, size] = co_await connection_->socket().async_read_some(buffer.prepare(ReadBufferBytes), UseResult);
    connection_->unlimit();
    buffer.commit(size);
    co_return !error && size > 0;
}

RequestId CallerSession::nextRequestId()
{
    requestSequence_ = ++loop_.context.requestSequence;
    return RequestId(std::to_string(loop_.context.dependencies.processIncarnation) + "-" + std::to_string(requestSequence_));
}

asio::awaitable<std::unique_ptr<CallerSession::Request>> CallerSession::readRequest(RequestReader &reader)
{
    const auto &settings = loop_.context.settings;
    connection_->limit(settings.headerTimeout);
    auto error = co_await reader.readHeader();
    if (!error) {
        connection_->limit(settings.bodyTimeout);
        error = co_await reader.readBody();
    }
    connection_->unlimit();
    if (error) {
        co_await refuse(error);
        co_return nullptr;
    }
    auto request = std::make_unique<Request>();
    request->message = reader.release();
    if (request->message.version() != 11) {
        co_await refuseAndClose(ResultCode::MalformedRequest, "only HTTP/1.1 is served");
        co_return nullptr;
    }
    request->id = nextRequestId();
    co_return request;
}

/// Answers a request that was not received.
asio::awaitable<void> CallerSession::refuse(const boost::system::error_code &error)
{
    const bool isHttp = error.category() == http::make_error_code(http::error::bad_method).category();
    if (error == boost::system::errc::not_enough_memory) {
        co_await refuseAndClose(ResultCode::RequestMemoryFull, "too many large requests at once", RetryAfterFull);
    } else if (connection_->isTimedOut()) {
        co_await refuseAndClose(ResultCode::RequestTooSlow, "the request did not arrive in time");
    } else if (error == http::error::body_limit || error == http::error::header_limit) {
        co_await refuseAndClose(ResultCode::RequestTooLarge, "header or body exceeds its limit");
    } else if (isHttp && error != http::error::end_of_stream && error != http::error::partial_message) {
        co_await refuseAndClose(ResultCode::MalformedRequest, "the request is not HTTP: " + error.message());
    }
}

asio::awaitable<void> CallerSession::refuseAndClose(ResultCode code, std::string message, Duration retryAfter)
{
    const auto id = nextRequestId();
    co_await channel_->send(makeErrorReply(code, RunState::NotRun, message, retryAfter), id, false);
    logLine(LogLevel::Info, "request refused", {{"request", id.str()}, {"code", resultCodeName(code)}, {"reason", message}});
    if (auto *metrics = loop_.context.dependencies.metrics) {
        metrics->onRequestFinished(code, RunState::NotRun, loop_.context.dependencies.clock->now() - arrivedAt_);
    }
    co_await connection_->discardInput(LingerTimeout);
}

asio::awaitable<bool> CallerSession::sendReply(const Request &request, const Reply &reply)
{
    const bool keepAlive = request.message.keep_alive() && !reply.closesConnection && !loop_.context.isDraining;
    const bool isSent = co_await channel_->send(reply, request.id, keepAlive);
    const bool isProbe = request.target() == "/healthz" || request.target() == "/readyz";
    if (auto *metrics = loop_.context.dependencies.metrics; metrics != nullptr && !isProbe) {
        metrics->onRequestFinished(reply.code, reply.state, loop_.context.dependencies.clock->now() - arrivedAt_);
    }
    co_return isSent &&keepAlive;
}

asio::awaitable<bool> CallerSession::handleRequest(const Request &request)
{
    auto &context = loop_.context;
    const auto target = request.target().substr(0, request.target().find('?'));
    if (target == "/healthz") {
        Reply healthy;
        healthy.body = R"({"status":"running"})";
        co_return co_await sendReply(request, healthy);
    }
    if (target == "/readyz") {
        const auto snapshot = context.dependencies.snapshot();
        const bool isConfigured = snapshot && snapshot->generation > 0 && (!context.dependencies.isReady || context.dependencies.isReady());
        if (context.isDraining || !isConfigured) {
            const auto code = context.isDraining ? ResultCode::Draining : ResultCode::NotReady;
            co_return co_await sendReply(request, makeErrorReply(code, RunState::NotRun, {}));
        }
        Reply ready;
        ready.body = R"({"status":"ready"})";
        co_return co_await sendReply(request, ready);
    }
    if (context.refusesRequests) {
        // An earlier request with the same key may have been run by another entry daemon.
        const auto state = request.header("Idempotency-Key").empty() ? RunState::NotRun : RunState::Unknown;
        auto refusal = makeErrorReply(ResultCode::Draining, state, "this entry is shutting down", seconds(1));
        refusal.closesConnection = true;
        co_return co_await sendReply(request, refusal);
    }
    if (target == "/v1/chat/completions") {
        co_return co_await handleChat(request);
    }
    if (target.starts_with(ServicePrefix)) {
        co_return co_await handleServiceCall(request);
    }
    co_return co_await sendReply(request, makeErrorReply(ResultCode::UnknownPath, RunState::NotRun, "no such path"));
}

asio::awaitable<bool> CallerSession::handleServiceCall(const Request &request)
{
    const auto rest = request.target().substr(ServicePrefix.size());
    const auto end = rest.find_first_of("/?");
    ServiceRequest call;
    call.id = request.id;
    call.customer = CustomerId(std::string(request.header("X-Customer")));
    call.service = ServiceId(std::string(rest.substr(0, end)));
    call.key = std::string(request.header("Idempotency-Key"));
    call.method = std::string(request.message.method_string());
    const auto path = end == std::string_view::npos ? std::string_view() : rest.substr(end);
    call.target = (path.starts_with('/') ? "" : "/") + std::string(path);
    for (const auto &field : request.message) {
        const std::string name(field.name_string());
        if (!isHopByHopHeader(name)) {
            call.headers.emplace_back(name, std::string(field.value()));
        }
    }
    call.body = request.message.body();
    const auto serviceCall = std::make_shared<ServiceCall>(loop_, serviceContext_, channel_, std::move(call));
    const auto answer = co_await serviceCall->run();
    co_return co_await sendReply(request, answer);
}

asio::awaitable<bool> CallerSession::handleChat(const Request &request)
{
    auto &context = loop_.context;
    if (request.message.method() != http::verb::post) {
        auto refusal = makeErrorReply(ResultCode::MalformedRequest, RunState::NotRun, "the method is not POST");
        refusal.status = 405;
        refusal.headers.emplace_back("Allow", "POST");
        co_return co_await sendReply(request, refusal);
    }
    const auto snapshot = context.dependencies.snapshot();
    if (!snapshot || snapshot->generation == 0) {
        co_return co_await sendReply(request, makeErrorReply(ResultCode::NotReady, RunState::NotRun, "no configuration is in force yet", seconds(1)));
    }
    const ChatInput input{request.message.body(), request.header("X-Customer"), request.header("X-Deadline-Ms")};
    auto check = checkChatRequest(input, *snapshot, arrivedAt_, context.settings);
    if (check.code != ResultCode::Ok) {
        co_return co_await sendReply(request, makeErrorReply(check.code, RunState::NotRun, check.message));
    }
    check.request.routing.id = request.id;
    const auto call = std::make_shared<ChatCall>(loop_, channel_, std::move(check.request), requestSequence_, arrivedAt_);
    const bool isReusable = co_await call->run(request.message.keep_alive() && !context.isDraining);
    if (auto *metrics = context.dependencies.metrics) {
        metrics->onRequestFinished(call->code(), call->runState(), context.dependencies.clock->now() - arrivedAt_);
    }
    co_return isReusable;
}

}
