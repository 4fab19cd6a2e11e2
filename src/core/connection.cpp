#include "core/connection.h"

#include <array>
#include <cerrno>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <tuple>

namespace carawaypoint
{

namespace
{
// A composed operation may start its next step just after a cancel, so the cancel is repeated until the timeout is removed.
constexpr auto CancelInterval = milliseconds(10);
constexpr std::size_t DiscardReadBytes = 4096;
constexpr std::size_t MaxDiscardedBytes = std::size_t{256} * 1024;
}

bool isClosedByPeer(asio::ip::tcp::socket &socket)
{
    char byte = 0;
    const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

Connection::Connection(asio::ip::tcp::socket socket)
    : socket_(std::move(socket))
    , timer_(socket_.get_executor())
{
}

void Connection::limit(Duration time)
{
    if (isInterrupted_) {
        return;
    }
    ++timeoutId_;
    isTimedOut_ = false;
    timer_.expires_after(time);
    waitForTimeout();
}

void Connection::unlimit()
{
    if (isInterrupted_) {
        return;
    }
    ++timeoutId_;
    timer_.cancel();
}

void Connection::interrupt()
{
    isInterrupted_ = true;
    ++timeoutId_;
    cancelOperations();
}

void Connection::waitForTimeout()
{
    timer_.async_wait([weak = weak_from_this(), number = timeoutId_](boost::system::error_code error) {
        const auto self = weak.lock();
        if (error || !self || self->timeoutId_ != number) {
            return;
        }
        self->isTimedOut_ = !self->isInterrupted_;
        self->cancelOperations();
    });
}

void Connection::cancelOperations()
{
    boost::system::error_code ignored;
    socket_.cancel(ignored);
    if (!socket_.is_open()) {
        return;
    }
    timer_.expires_after(CancelInterval);
    waitForTimeout();
}

void Connection::setUserTimeout(Duration time)
{
    const auto value = static_cast<unsigned>(std::chrono::duration_cast<milliseconds>(time).count());
    ::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof(value));
}

bool Connection::hasInput()
{
    char byte = 0;
    const auto received = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

asio::awaitable<void> Connection::discardInput(Duration time)
{
    boost::system::error_code error;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, error);
    limit(time);
    std::array<char, DiscardReadBytes> space{};
    for (std::size_t total = 0; !error && total < MaxDiscardedBytes;) {
        std::size_t count = 0;
        std::tie(error, count) = co_await socket_.async_read_some(asio::buffer(space), UseResult);
        total += count;
    }
    unlimit();
}

void Connection::close()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
}

}
