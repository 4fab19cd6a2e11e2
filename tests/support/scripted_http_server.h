#pragma once

#include "core/ids.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <functional>
#include <string>
#include <vector>

namespace carawaypoint
{

/// HTTP server whose answers are raw text from a script, so that tests can send malformed ones.
class ScriptedHttpServer
{
public:
    using Request = boost::beast::http::request<boost::beast::http::string_body>;
    /// Returns the raw answer: empty to send none, "close" to close the connection without an answer.
    using Script = std::function<std::string(const Request &)>;

    ScriptedHttpServer(boost::asio::io_context &context, Script script)
        : acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0})
        , script_(std::move(script))
    {
        boost::asio::co_spawn(context, accept(), boost::asio::detached);
    }

    Endpoint endpoint() const
    {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

    static std::string answer(unsigned status, const std::string &body)
    {
        return "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    int connections = 0; // connections accepted so far
    std::vector<Request> requests;

private:
    using Socket = boost::asio::ip::tcp::socket;

    boost::asio::awaitable<void> accept()
    {
        for (;;) {
            auto socket = co_await acceptor_.async_accept(boost::asio::use_awaitable);
            ++connections;
            boost::asio::co_spawn(acceptor_.get_executor(), serve(std::move(socket)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(Socket socket)
    {
        boost::beast::flat_buffer buffer;
        try {
            for (;;) {
                Request request;
                co_await boost::beast::http::async_read(socket, buffer, request, boost::asio::use_awaitable);
                requests.push_back(request);
                const auto text = script_(request);
                if (text == "close") {
                    co_return;
                }
                co_await boost::asio::async_write(socket, boost::asio::buffer(text), boost::asio::use_awaitable);
            }
        } catch (const std::exception &) {
            // The client closed the connection.
        }
    }

    boost::asio::ip::tcp::acceptor acceptor_;
    Script script_;
};

}
