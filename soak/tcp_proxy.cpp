#include "soak/tcp_proxy.h"

#include "standins/http_listener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace carawaypoint::soak
{

namespace
{

namespace asio = boost::asio;
using namespace std::chrono_literals;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);
constexpr auto LinkDelay = 120ms;

}

TcpProxy::TcpProxy(const asio::any_io_executor &executor, const asio::ip::tcp::endpoint &listen, const asio::ip::tcp::endpoint &target)
    : executor_(executor)
    , acceptor_(executor, listen)
    , target_(target)
{
}

void TcpProxy::start()
{
    asio::co_spawn(
        executor_, [self = shared_from_this()] { return self->acceptLoop(); }, asio::detached);
}

void TcpProxy::reset(Link &link)
{
    boost::system::error_code ignored;
    for (auto *socket : {&link.caller, &link.server}) {
        socket->set_option(asio::socket_base::linger(true, 0), ignored);
        socket->close(ignored);
    }
}

void TcpProxy::setFault(LinkFault fault)
{
    fault_ = fault;
    if (fault == LinkFault::Reset) {
        for (const auto &link : links_) {
            reset(*link);
        }
        links_.clear();
    }
}

asio::awaitable<void> TcpProxy::acceptLoop()
{
    while (true) {
        auto [error, socket] = co_await acceptor_.async_accept(Token);
        if (error) {
            co_return;
        }
        auto link = std::make_shared<Link>(std::move(socket));
        if (fault_ == LinkFault::Reset) {
            reset(*link);
            continue;
        }
        links_.insert(link);
        asio::co_spawn(
            executor_, [self = shared_from_this(), link] { return self->connect(link); }, asio::detached);
    }
}

asio::awaitable<void> TcpProxy::connect(std::shared_ptr<Link> link)
{
    const auto [error] = co_await link->server.async_connect(target_, Token);
    if (error) {
        reset(*link);
        links_.erase(link);
        co_return;
    }
    for (const bool isForward : {true, false}) {
        asio::co_spawn(
            executor_, [self = shared_from_this(), link, isForward] { return self->forwardData(link, isForward); }, asio::detached);
    }
}

asio::awaitable<void> TcpProxy::forwardData(std::shared_ptr<Link> link, bool isForward)
{
    auto &from = isForward ? link->caller : link->server;
    auto &to = isForward ? link->server : link->caller;
    std::array<char, 16384> buffer{};
    bool isSilent = false; // bytes after lost ones never arrive
    while (true) {
        const auto [error, count] = co_await from.async_read_some(asio::buffer(buffer), Token);
        if (error == asio::error::eof) {
            boost::system::error_code ignored;
            to.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
            break;
        }
        if (error) {
            reset(*link);
            break;
        }
        if (fault_ == LinkFault::Delay) {
            co_await standins::sleepFor(LinkDelay);
        }
        isSilent = isSilent || fault_ == LinkFault::DropAll || (fault_ == LinkFault::DropForward && isForward);
        if (isSilent) {
            continue;
        }
        const auto [writeError, written] = co_await asio::async_write(to, asio::buffer(buffer, count), Token);
        if (writeError) {
            reset(*link);
            break;
        }
    }
    links_.erase(link);
}

}
