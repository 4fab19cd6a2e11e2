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

/// One request and the connection that its answer is written to.
class HttpExchange
{
public:
    /// Waits as long as the connection may not send.
    using Hold = std::function<boost::asio::awaitable<void>()>;

    HttpExchange(boost::beast::tcp_stream &stream, const HttpRequest &request, Hold hold)
        : stream_(stream)
        , request_(request)
        , hold_(std::move(hold))
    {
    }

    const HttpRequest &request() const
    {
        return request_;
    }
    /// The target without its query.
    std::string path() const;
    /// The decoded value of a query parameter; empty when it is missing.
    std::string queryValue(std::string_view key) const;
    std::string header(std::string_view name) const;

    boost::asio::awaitable<void> respond(unsigned status, std::string body, const Headers &headers = {});
    /// Starts a chunked text/event-stream answer.
    boost::asio::awaitable<void> beginStream(const Headers &headers);
    boost::asio::awaitable<void> sendChunk(std::string text);
    boost::asio::awaitable<void> endStream();
    /// Closes the connection in the middle of the answer.
    void abort();
    bool isOpen() const;

private:
    boost::beast::tcp_stream &stream_;
    const HttpRequest &request_;
    Hold hold_;
};

using HttpHandler = std::function<boost::asio::awaitable<void>(HttpExchange &)>;

/// Listens on one address; all of its work runs on the executor's single thread.
class HttpListener : public std::enable_shared_from_this<HttpListener>
{
public:
    /// @throws boost::system::system_error when the address cannot be bound.
    HttpListener(boost::asio::any_io_executor executor, const boost::asio::ip::tcp::endpoint &endpoint, HttpHandler handler);

    void start();
    /// Stops listening and closes every connection, as the end of the process would.
    void stop();
    /// While paused, connections are accepted by the system but nothing is read or answered.
    void setPaused(bool isPaused);
    /// Open connections never answer again; new ones work.
    void silenceOpenConnections();
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
        bool isSilenced = false;
    };

    boost::asio::awaitable<void> acceptLoop(std::shared_ptr<boost::asio::ip::tcp::acceptor> acceptor);
    boost::asio::awaitable<void> serve(std::shared_ptr<Connection> connection);
    boost::asio::awaitable<void> waitWhileHeld(const Connection &connection) const;

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
