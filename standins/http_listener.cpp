#include "standins/http_listener.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace carawaypoint::standins
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{

constexpr std::uint32_t MaxHeaderBytes = 65536;
constexpr std::size_t MaxBodyBytes = 4'000'000;
constexpr std::chrono::milliseconds PausePollInterval{5};

std::string percentDecoded(std::string_view text)
{
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] == '%' && at + 2 < text.size()) {
            decoded += static_cast<char>(std::stoi(std::string(text.substr(at + 1, 2)), nullptr, 16));
            at += 2;
        } else {
            decoded += text[at];
        }
    }
    return decoded;
}

}

asio::awaitable<void> sleepFor(std::chrono::microseconds time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_after(time);
    co_await timer.async_wait(asio::use_awaitable);
}

std::string HttpExchange::path() const
{
    const std::string_view target = request_.target();
    return percentDecoded(target.substr(0, target.find('?')));
}

std::string HttpExchange::queryValue(std::string_view key) const
{
    std::string_view target = request_.target();
    auto at = target.find('?');
    while (at != std::string_view::npos) {
        target.remove_prefix(at + 1);
        at = target.find('&');
        const auto pair = target.substr(0, at);
        if (pair.starts_with(key) && pair.size() > key.size() && pair[key.size()] == '=') {
            return percentDecoded(pair.substr(key.size() + 1));
        }
    }
    return {};
}

std::string HttpExchange::header(std::string_view name) const
{
    return std::string(request_[name]);
}

asio::awaitable<void> HttpExchange::respond(unsigned status, std::string body, const Headers &headers)
{
    http::response<http::string_body> response{http::int_to_status(status), request_.version()};
    response.set(http::field::content_type, "application/json");
    for (const auto &[name, value] : headers) {
        response.set(name, value);
    }
    response.keep_alive(request_.keep_alive() && response[http::field::connection] != "close");
    response.body() = std::move(body);
    response.prepare_payload();
    co_await waitWhilePaused_();
    co_await http::async_write(stream_, response, asio::use_awaitable);
    if (!response.keep_alive()) {
        abort();
    }
}

asio::awaitable<void> HttpExchange::startStream(const Headers &headers)
{
    http::response<http::empty_body> response{http::status::ok, request_.version()};
    response.set(http::field::content_type, "text/event-stream");
    for (const auto &[name, value] : headers) {
        response.set(name, value);
    }
    response.keep_alive(request_.keep_alive());
    response.chunked(true);
    http::response_serializer<http::empty_body> serializer(response);
    co_await http::async_write_header(stream_, serializer, asio::use_awaitable);
}

asio::awaitable<void> HttpExchange::sendChunk(std::string text)
{
    co_await waitWhilePaused_();
    co_await asio::async_write(stream_, http::make_chunk(asio::buffer(text)), asio::use_awaitable);
}

asio::awaitable<void> HttpExchange::endStream()
{
    co_await asio::async_write(stream_, http::make_chunk_last(), asio::use_awaitable);
}

void HttpExchange::abort()
{
    beast::error_code ignored;
    stream_.socket().shutdown(tcp::socket::shutdown_both, ignored);
    stream_.socket().close(ignored);
}

bool HttpExchange::isOpen() const
{
    return stream_.socket().is_open();
}

HttpListener::HttpListener(asio::any_io_executor executor, const tcp::endpoint &endpoint, HttpHandler handler)
    : executor_(std::move(executor))
    , endpoint_(endpoint)
    , handler_(std::move(handler))
{
}

void HttpListener::start()
{
    acceptor_ = std::make_shared<tcp::acceptor>(executor_);
    acceptor_->open(endpoint_.protocol());
    acceptor_->set_option(asio::socket_base::reuse_address(true));
    acceptor_->bind(endpoint_);
    acceptor_->listen();
    endpoint_ = acceptor_->local_endpoint();
    asio::co_spawn(
        executor_, [self = shared_from_this(), acceptor = acceptor_] { return self->acceptLoop(acceptor); }, asio::detached);
}

void HttpListener::stop()
{
    beast::error_code ignored;
    if (acceptor_) {
        acceptor_->close(ignored);
        acceptor_.reset();
    }
    for (const auto &connection : connections_) {
        connection->stream.socket().close(ignored);
    }
    connections_.clear();
}

void HttpListener::setPaused(bool isPaused)
{
    isPaused_ = isPaused;
}

void HttpListener::makeOpenConnectionsUnresponsive()
{
    for (const auto &connection : connections_) {
        connection->isUnresponsive = true;
    }
}

asio::awaitable<void> HttpListener::acceptLoop(std::shared_ptr<tcp::acceptor> acceptor)
{
    while (acceptor->is_open()) {
        tcp::socket socket(executor_);
        try {
            co_await acceptor->async_accept(socket, asio::use_awaitable);
        } catch (const boost::system::system_error &) {
            co_return;
        }
        socket.set_option(tcp::no_delay(true));
        auto connection = std::make_shared<Connection>(std::move(socket));
        connections_.insert(connection);
        asio::co_spawn(
            executor_, [self = shared_from_this(), connection] { return self->serve(connection); }, asio::detached);
    }
}

asio::awaitable<void> HttpListener::waitWhilePaused(const Connection &connection) const
{
    while ((isPaused_ || connection.isUnresponsive) && connection.stream.socket().is_open()) {
        co_await sleepFor(PausePollInterval);
    }
}

asio::awaitable<void> HttpListener::serve(std::shared_ptr<Connection> connection)
{
    beast::flat_buffer buffer;
    try {
        while (connection->stream.socket().is_open()) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(MaxBodyBytes);
            parser.header_limit(MaxHeaderBytes);
            co_await http::async_read(connection->stream, buffer, parser, asio::use_awaitable);
            const HttpRequest request = parser.release();
            co_await waitWhilePaused(*connection);
            HttpExchange exchange(connection->stream, request, [this, &connection] { return waitWhilePaused(*connection); });
            co_await handler_(exchange);
            if (!request.keep_alive()) {
                exchange.abort();
            }
        }
    } catch (const std::exception &) {
        // The peer closed the connection or sent a malformed request; either ends only this connection.
        beast::error_code ignored;
        connection->stream.socket().close(ignored);
    }
    connections_.erase(connection);
}

}
