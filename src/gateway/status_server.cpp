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
/// Connections to both addresses together. Beyond them, the one that has been silent for longest is closed.
constexpr unsigned MaxConnections = 64;
constexpr RequestLimits Limits{.maxHeaderBytes = 8192, .maxBodyBytes = 0};
constexpr std::size_t MaxRequestMemory = std::size_t{2} * 1024 * 1024; // bytes

}

StatusServer::StatusServer(asio::io_context &io)
    : io_(io)
    , requestMemory_(MaxRequestMemory)
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
        const bool hasRoom = connectionCount_ < MaxConnections || requestMemory_.arriving.makeRoom(ArrivingRequests::Shortage::Descriptors);
        if (!error && hasRoom) {
            auto connection = std::make_shared<Connection>(std::move(socket));
            asio::co_spawn(io_, serve(std::move(connection), page), asio::detached);
        }
    }
}

asio::awaitable<void> StatusServer::serve(ConnectionPtr connection, Page page)
{
    ++connectionCount_;
    bool isKept = true;
    while (isKept) {
        RequestReader reader(*connection, requestMemory_, Limits);
        connection->limit(IdleTimeout);
        auto error = co_await reader.readHeader();
        if (!error) {
            error = co_await reader.readBody();
        }
        if (error) {
            break;
        }
        const auto request = reader.release();
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
    --connectionCount_;
}

}
