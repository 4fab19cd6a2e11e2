#include "gateway/server_connector.h"

#include <boost/asio/this_coro.hpp>

namespace carawaypoint
{

namespace
{

/// A peer that does not acknowledge data for this long counts as unreachable.
constexpr Duration UserTimeout = seconds(3);
/// Received bytes that the parser of a response has not consumed yet. Exceeds the longest header; a chunk header or trailers without end
/// would otherwise use memory without limit.
constexpr std::size_t MaxUnparsedBytes = std::size_t{64} * 1024;

}

asio::awaitable<std::error_code> openConnection(const Endpoint &endpoint, Duration timeout, ConnectionPtr &connection)
{
    connection = nullptr;
    boost::system::error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (error) {
        co_return std::make_error_code(std::errc::invalid_argument);
    }
    const auto executor = co_await asio::this_coro::executor;
    auto opened = std::make_shared<Connection>(asio::ip::tcp::socket(executor));
    opened->buffer().max_size(MaxUnparsedBytes);
    opened->limit(timeout);
    const auto [failure] = co_await opened->socket().async_connect({address, endpoint.port}, UseResult);
    opened->unlimit();
    if (failure) {
        const bool isTimedOut = opened->isTimedOut();
        opened->close();
        co_return isTimedOut ? std::make_error_code(std::errc::timed_out) : std::error_code(failure);
    }
    opened->socket().set_option(asio::ip::tcp::no_delay(true), error);
    opened->setUserTimeout(UserTimeout);
    connection = std::move(opened);
    co_return std::error_code{};
}

asio::awaitable<std::error_code> DirectConnector::connect(const ServingTarget &target, Duration timeout, BackendLink &link)
{
    link.isProxied = false;
    co_return co_await openConnection(target.address, timeout, link.connection);
}

}
