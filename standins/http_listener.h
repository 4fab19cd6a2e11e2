#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypoint::standins
{

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using Headers = std::map<std::string, std::string>;

/// One HTTP request and the connection for its answer.
class HttpExchange
{
public:
    /// Waits while the listener is paused or the connection is unresponsive.
    using WaitWhilePaused = std::function<boost::asio::awaitable<void>()>;

    HttpExchange(boost::beast::tcp_stream &stream, const HttpRequest &request, WaitWhilePaused waitWhilePaused)
        : stream_(stream)
        , request_(request)
        , waitWhilePaused_(std::move(waitWhilePaused))
    {
    }

    const HttpRequest &request() const
    {
        return request_;
    }
    /// Returns the decoded target without its query.
    std::string path() const;
    /// Returns the decoded value of a query parameter; empty when it is missing.
    std::string queryValue(std::string_view key) const;
    std::string header(std::string_view name) const;

    boost::asio::awaitable<void> respond(unsigned status, std::string body, const Headers &headers = {});
    /// Starts a chunked text/event-stream answer.
    boost::asio::awaitable<void> startStream(const Headers &headers);
    boost::asio::awaitable<void> sendChunk(std::string text);
    boost::asio::awaitable<void> endStream();
    /// Closes the connection without completing the answer.
    void abort();
    bool isOpen() const;

private:
    boost::beast::tcp_stream &stream_;
    const HttpRequest &request_;
    WaitWhilePaused waitWhilePaused_;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

/// HTTP server on one address. All of its work runs on the executor's single thread.
class HttpListener : public std::enable_shared_from_this<HttpListener>
{
public:
    /// @throws boost::system::system_error when the address cannot be bound.
    HttpListener(boost::asio::any_io_executor executor, const boost::asio::ip::tcp::endpoint &endpoint, HttpHandler handler);

    void start();
    /// Stops listening and closes every connection, as the exit of the process would.
    void stop();
    /// While paused, the kernel accepts connections, but requests are not handled or answered.
    void setPaused(bool isPaused);
    /// Stops answering on the connections that are open now; new ones work.
    void makeOpenConnectionsUnresponsive();
    boost::asio::ip::tcp::endpoint endpoint() const
    {
        return endpoint_;
    }

private:
    struct Connection {
        explicit Connection(boost::asio::ip::tcp::socket socket)
            : stream(std::move(socket))
        {
        }
        boost::beast::tcp_stream stream;
        bool isUnresponsive = false;
    };

    boost::asio::awaitable<void> acceptLoop(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor);
    boost::asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    boost::asio::awaitable<void> waitWhilePaused(const Connection &connection) const;

    boost::asio::any_io_executor executor_;
    boost::asio::ip::tcp::endpoint endpoint_;
    HttpHandler handler_;
    std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor_;
    std::set<std::shared_ptr<Connection>> connections_;
    bool isPaused_ = false;
};

/// Waits without blocking the thread.
boost::asio::awaitable<void> sleepFor(std::chrono::microseconds time);

}
