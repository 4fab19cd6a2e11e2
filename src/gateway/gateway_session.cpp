#include "gateway/gateway_session.h"

#include "gateway/gateway_server.h"
#include "gateway/http_fields.h"
#include "gateway/retry_after.h"
#include "observe/log.h"
#include "observe/metrics.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <exception>
#include <tuple>

namespace carawaypoint
{

namespace http = boost::beast::http;

namespace
{

/// Time limit for receiving the rest of a request body.
constexpr Duration BodyTimeout = seconds(10);
/// Time for a caller to read the last response before its connection is closed with unread input.
constexpr Duration LingerTimeout = milliseconds(500);
/// A caller that does not acknowledge data for this long counts as gone.
constexpr Duration CallerUserTimeout = seconds(10);

/// The result of a request that could not be received because of @p error.
ResultCode refusalCode(const boost::system::error_code &error, bool isTimedOut)
{
    if (error == boost::system::errc::not_enough_memory) {
        return ResultCode::RequestMemoryFull;
    }
    if (error == http::error::header_limit) {
        return ResultCode::HeaderTooLarge;
    }
    if (error == http::error::body_limit) {
        return ResultCode::RequestTooLarge;
    }
    return isTimedOut ? ResultCode::RequestTooSlow : ResultCode::MalformedRequest;
}

}

GatewaySession::GatewaySession(GatewayContext &context, GatewayServer &server, asio::ip::tcp::socket socket)
    : context_(context)
    , server_(server)
    , connection_(std::make_shared<Connection>(std::move(socket)))
    , idleSince_(context.now())
{
}

CallerLimits GatewaySession::limits() const
{
    return context_.snapshot && context_.snapshot->config() ? context_.snapshot->config()->limits : CallerLimits{};
}

asio::awaitable<void> GatewaySession::run()
{
    const auto self = shared_from_this();
    try {
        co_await serveRequests();
    } catch (const std::exception &error) {
        logLine(LogLevel::Error, "connection of a caller closed after an unexpected error", {{"error", error.what()}});
        connection_->close();
    }
    server_.remove(*this);
}

asio::awaitable<void> GatewaySession::serveRequests()
{
    boost::system::error_code ignored;
    connection_->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    connection_->setUserTimeout(CallerUserTimeout);
    bool isKept = true;
    while (isKept) {
        // GCC 12 does not short-circuit operands that contain co_await, so each step is a separate statement.
        const bool hasInput = co_await waitForRequest();
        if (!hasInput) {
            // A request that arrives from now on is not read, which tells its caller that it has not run.
            connection_->close();
            co_return;
        }
        RequestReader reader(*connection_, context_.requestMemory, {limits().maxHeaderBytes, limits().maxBodyBytes});
        const bool isRead = co_await readRequest(reader);
        if (!isRead) {
            connection_->close();
            co_return;
        }
        const auto call = std::make_shared<ForwardCall>(context_, connection_, reader.release(), receivedAt_);
        call_ = call;
        watchCaller(call);
        isKept = co_await forward(call);
        if (isWatching_) {
            connection_->socket().cancel(ignored);
        }
        hasServedRequest_ = true;
    }
    co_await waitForPeerToClose();
    connection_->close();
}

asio::awaitable<bool> GatewaySession::waitForRequest()
{
    const bool mustNotWait = context_.drain.isStarted() && hasServedRequest_;
    if (connection_->buffer().size() == 0 && !mustNotWait) {
        co_await waitWhileIdle();
    }
    // Decides by the input, since a request may arrive while the wait ends for another reason.
    if (connection_->buffer().size() == 0 && !connection_->hasInput()) {
        co_return false;
    }
    isIdle_ = false;
    receivedAt_ = context_.now();
    co_return true;
}

/// Waits for input, a cancel or the idle timeout. A timeout that a new configuration makes longer also applies to connections that are idle
/// already, since their callers rely on it at once.
asio::awaitable<void> GatewaySession::waitWhileIdle()
{
    isIdle_ = true;
    idleSince_ = context_.now();
    bool isTimedOut = true;
    while (isTimedOut && context_.now() - idleSince_ < limits().idleTimeout) {
        connection_->limit(idleSince_ + limits().idleTimeout - context_.now());
        co_await connection_->socket().async_wait(asio::ip::tcp::socket::wait_read, UseResult);
        connection_->unlimit();
        isTimedOut = connection_->isTimedOut();
    }
}

asio::awaitable<bool> GatewaySession::readRequest(RequestReader &reader)
{
    connection_->limit(limits().headerTimeout);
    auto error = co_await reader.readHeader();
    connection_->unlimit();
    if (!error && boost::beast::iequals(reader.header()[http::field::expect], "100-continue")) {
        static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
        connection_->limit(LingerTimeout);
        std::tie(error, std::ignore) = co_await asio::async_write(connection_->socket(), asio::buffer(Continue), UseResult);
        connection_->unlimit();
    }
    if (!error && !reader.isDone()) {
        connection_->limit(BodyTimeout);
        error = co_await reader.readBody();
        connection_->unlimit();
    }
    if (error) {
        co_await refuse(error, reader);
    }
    co_return !error;
}

/// Answers a request that was not received, and waits until the caller has the answer. None of these requests has run.
asio::awaitable<void> GatewaySession::refuse(const boost::system::error_code &error, const RequestReader &reader)
{
    const bool isAnswered = connection_->isTimedOut() || !isConnectionLost(error);
    if (isAnswered) {
        const auto code = refusalCode(error, connection_->isTimedOut());
        metricsRegistry().count(CounterMetric::UnreadRequests, resultCodeName(code));
        co_await sendErrorResponse(code);
    }
    if (!reader.mustCloseAtOnce()) {
        co_await connection_->discardInput(LingerTimeout);
    }
}

/// Runs the call. A caller whose request fails with an exception still gets a response, unless part of one was sent. Returns whether the
/// connection is kept.
asio::awaitable<bool> GatewaySession::forward(const std::shared_ptr<ForwardCall> &call)
{
    try {
        co_return co_await call->run();
    } catch (const std::exception &error) {
        logLine(LogLevel::Error, "request failed with an unexpected error", {{"request", call->requestId()}, {"error", error.what()}});
    }
    if (!call->hasSentResponse()) {
        co_await sendErrorResponse(ResultCode::Internal);
    }
    co_return false;
}

asio::awaitable<void> GatewaySession::sendErrorResponse(ResultCode code)
{
    const auto status = resultCodeInfo(code).httpStatus;
    logLine(LogLevel::Info, "request answered with an error", {{"status", status}, {"result", resultCodeName(code)}});
    const auto reason = http::obsolete_reason(static_cast<http::status>(status));
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + std::string(reason) + "\r\nContent-Length: 0\r\nConnection: close\r\n";
    if (code == ResultCode::RequestMemoryFull) {
        text += "Retry-After: " + retryAfterText(RetryAfterFull, context_.random) + "\r\n";
    }
    text += "\r\n";
    connection_->limit(LingerTimeout);
    co_await asio::async_write(connection_->socket(), asio::buffer(text), UseResult);
    connection_->unlimit();
}

/// Cancels the call when the caller closes its connection. Stops watching once bytes of a further request arrive.
void GatewaySession::watchCaller(const std::shared_ptr<ForwardCall> &call)
{
    isWatching_ = true;
    connection_->socket().async_wait(asio::ip::tcp::socket::wait_read,
                                     [self = shared_from_this(), weak = std::weak_ptr(call)](const boost::system::error_code &error) {
                                         self->isWatching_ = false;
                                         const auto watched = weak.lock();
                                         if (!error && watched && self->connection_->isPeerClosed()) {
                                             watched->abandon();
                                         }
                                     });
}

void GatewaySession::closeIfIdle()
{
    if (isIdle_) {
        boost::system::error_code ignored;
        connection_->socket().cancel(ignored);
    }
}

/// Gives the caller time to read the last response. Bytes that it sends after that are not read: they may be a request, which would then
/// neither be answered nor count as not read.
asio::awaitable<void> GatewaySession::waitForPeerToClose()
{
    boost::system::error_code ignored;
    connection_->socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    if (ignored) {
        co_return;
    }
    connection_->limit(LingerTimeout);
    const auto [error] = co_await connection_->socket().async_wait(asio::ip::tcp::socket::wait_read, UseResult);
    connection_->unlimit();
    if (!error && !connection_->isPeerClosed()) {
        asio::steady_timer pause(context_.io, LingerTimeout);
        co_await pause.async_wait(UseResult);
    }
}

}
