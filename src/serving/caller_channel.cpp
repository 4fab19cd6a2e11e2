#include "serving/caller_channel.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <charconv>

namespace carawaypoint
{

namespace http = boost::beast::http;

namespace
{

std::string resultHeader(ResultCode code)
{
    return std::to_string(static_cast<unsigned>(code)) + " " + std::string(resultCodeName(code));
}

}

CallerChannel::CallerChannel(TrafficLoop &loop, ConnectionPtr connection)
    : loop_(loop)
    , connection_(std::move(connection))
{
}

asio::awaitable<bool> CallerChannel::send(const Reply &reply, const RequestId &id, bool keepAlive)
{
    http::response<http::string_body> response(static_cast<http::status>(reply.status != 0 ? reply.status : resultCodeInfo(reply.code).httpStatus), 11);
    for (const auto &[name, value] : reply.headers) {
        response.insert(name, value);
    }
    response.set(http::field::content_type, reply.contentType);
    response.set("X-Request-Id", id.str());
    response.set("X-Result-Code", resultHeader(reply.code));
    response.set("X-Run-State", runStateName(reply.state));
    if (reply.retryAfter > Duration::zero()) {
        response.set(http::field::retry_after, std::to_string(std::chrono::ceil<seconds>(reply.retryAfter).count()));
    }
    response.keep_alive(keepAlive && !reply.closesConnection);
    response.body() = reply.body;
    response.prepare_payload();
    connection_->limit(loop_.context.settings.callerWriteTimeout);
    const auto [error, size] = co_await http::async_write(connection_->socket(), response, UseResult);
    connection_->unlimit();
    isDisconnected_ = isDisconnected_ || error;
    co_return !error;
}

asio::awaitable<bool> CallerChannel::startStream(const RequestId &id, bool keepAlive)
{
    std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\nTransfer-Encoding: chunked\r\n";
    head += "X-Request-Id: " + id.str() + "\r\nX-Result-Code: " + resultHeader(ResultCode::Ok);
    // The run state is known only at the end and is sent in the final event.
    head += "\r\nX-Run-State: " + std::string(runStateName(RunState::Unknown)) + "\r\n";
    head += keepAlive ? "\r\n" : "Connection: close\r\n\r\n";
    co_return co_await write(head);
}

asio::awaitable<bool> CallerChannel::sendChunk(std::string data)
{
    std::array<char, 16> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), data.size(), 16).ptr;
    data.insert(0, std::string(digits.data(), end) + "\r\n");
    data += "\r\n";
    co_return co_await write(data);
}

asio::awaitable<bool> CallerChannel::endStream()
{
    const std::string end = "0\r\n\r\n";
    co_return co_await write(end);
}

asio::awaitable<bool> CallerChannel::write(const std::string &data)
{
    if (isDisconnected_) {
        co_return false;
    }
    connection_->limit(loop_.context.settings.callerWriteTimeout);
    const auto [error, size] = co_await asio::async_write(connection_->socket(), asio::buffer(data), UseResult);
    connection_->unlimit();
    isDisconnected_ = isDisconnected_ || error;
    co_return !error;
}

void CallerChannel::watchForDisconnect(std::function<void()> onDisconnect)
{
    onDisconnect_ = std::move(onDisconnect);
    ++watchId_;
    asio::co_spawn(
        loop_.io, [self = shared_from_this(), number = watchId_]() -> asio::awaitable<void> { return self->waitForDisconnect(number); }, asio::detached);
}

void CallerChannel::stopWatchingForDisconnect()
{
    ++watchId_;
    onDisconnect_ = nullptr;
    // Cancels only the wait of waitForDisconnect(): no other operation is pending on the socket between two requests.
    boost::system::error_code ignored;
    connection_->socket().cancel(ignored);
}

asio::awaitable<void> CallerChannel::waitForDisconnect(std::uint64_t watchId)
{
    const auto self = shared_from_this();
    if (connection_->buffer().size() != 0) {
        co_return;
    }
    co_await connection_->socket().async_wait(asio::ip::tcp::socket::wait_read, UseResult);
    if (watchId != watchId_ || !connection_->isPeerClosed()) {
        co_return;
    }
    isDisconnected_ = true;
    if (const auto onDisconnect = std::exchange(onDisconnect_, nullptr)) {
        onDisconnect();
    }
}

}
