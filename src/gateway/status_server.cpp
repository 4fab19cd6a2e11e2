#include "gateway/status_server.h"

#include "observe/metrics.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/http.hpp>

namespace carawaypoint
{

namespace http = boost::beast::http;

namespace
{

constexpr int Backlog = 32;
constexpr Duration IdleTimeout = seconds(20);

}

StatusServer::StatusServer(asio::io_context &io)
    : io_(io)
{
}

std::error_code StatusServer::listenReadiness(const Endpoint &endpoint, const std::string &path)
{
    return listen(endpoint, {path, [this] {
                                 return isReady_ ? Answer{200, "ready\n"} : Answer{503, "not ready\n"};
                             }});
}

std::error_code StatusServer::listenMetrics(const Endpoint &endpoint)
{
    return listen(endpoint, {"/metrics", [] {
                                 return Answer{200, metricsRegistry().serialize()};
                             }});
}

std::error_code StatusServer::listen(const Endpoint &endpoint, Page page)
{
    boost::system::error_code error;
    asio::ip::tcp::acceptor acceptor(io_);
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (!error) {
        acceptor.open(asio::ip::tcp::v4(), error);
    }
    if (!error) {
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
        acceptor.bind({address, endpoint.port}, error);
    }
    if (!error) {
        acceptor.listen(Backlog, error);
    }
    if (!error) {
        asio::co_spawn(io_, acceptAll(std::move(acceptor), std::move(page)), asio::detached);
    }
    return error;
}

asio::awaitable<void> StatusServer::acceptAll(asio::ip::tcp::acceptor acceptor, Page page)
{
    while (acceptor.is_open()) {
        auto [error, socket] = co_await acceptor.async_accept(UseResult);
        if (error == asio::error::operation_aborted) {
            break;
        }
        if (!error) {
            auto connection = std::make_shared<Connection>(std::move(socket));
            asio::co_spawn(io_, serve(std::move(connection), page), asio::detached);
        }
    }
}

asio::awaitable<void> StatusServer::serve(ConnectionPtr connection, Page page)
{
    bool isKept = true;
    while (isKept) {
        http::request<http::empty_body> request;
        connection->limit(IdleTimeout);
        const auto [error, bytes] = co_await http::async_read(connection->socket(), connection->buffer(), request, UseResult);
        if (error) {
            break;
        }
        const bool isKnown = request.target() == page.path;
        const Answer answer = isKnown ? page.handler() : Answer{404, "unknown path\n"};
        http::response<http::string_body> response(static_cast<http::status>(answer.status), request.version());
        response.keep_alive(request.keep_alive());
        response.set(http::field::content_type, "text/plain");
        response.body() = answer.body;
        response.prepare_payload();
        const auto [writeError, count] = co_await http::async_write(connection->socket(), response, UseResult);
        isKept = !writeError && response.keep_alive();
    }
    connection->close();
}

}
