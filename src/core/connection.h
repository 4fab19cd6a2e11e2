#pragma once

#include "core/clock.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <memory>

namespace carawaypoint
{

namespace asio = boost::asio;

/// Completion token for coroutines that receive errors as values instead of exceptions.
inline constexpr auto UseResult = asio::as_tuple(asio::use_awaitable);

/// Whether the peer closed its side of the connection of @p socket. Does not block or consume bytes.
bool isClosedByPeer(asio::ip::tcp::socket &socket);

/// A TCP connection with a timeout that cancels operations but does not close the socket, so that an error response can still be
/// sent.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
    explicit Connection(asio::ip::tcp::socket socket);

    asio::ip::tcp::socket &socket()
    {
        return socket_;
    }
    boost::beast::flat_buffer &buffer()
    {
        return buffer_;
    }

    /// Sets a timeout: after @p time, cancels the socket's operations until unlimit() or the next limit() is called.
    void limit(Duration time);
    /// Removes the timeout.
    void unlimit();
    /// Cancels all operations of the socket, now and in future.
    void interrupt();
    bool isTimedOut() const
    {
        return isTimedOut_;
    }
    bool isInterrupted() const
    {
        return isInterrupted_;
    }

    /// Sets TCP_USER_TIMEOUT: the connection fails when sent data stays unacknowledged for longer than @p time.
    void setUserTimeout(Duration time);
    /// Whether the peer closed the connection or there are unread bytes. Does not block or consume bytes.
    bool hasInput();
    /// Whether the peer closed its side of the connection. Does not block or consume bytes.
    bool isPeerClosed()
    {
        return isClosedByPeer(socket_);
    }
    /// Ends the sending side, then reads and drops input until the peer closes or @p time has passed, but no more than 256 KB. Closing a socket
    /// with unread input resets the connection, and the peer could lose the last response.
    asio::awaitable<void> discardInput(Duration time);
    void close();

private:
    void waitForTimeout();
    void cancelOperations();

    asio::ip::tcp::socket socket_;
    asio::steady_timer timer_;
    boost::beast::flat_buffer buffer_;
    std::uint64_t timeoutId_ = 0; // increased by limit(), unlimit() and interrupt(); a timer with an older id is ignored
    bool isTimedOut_ = false;
    bool isInterrupted_ = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

}
