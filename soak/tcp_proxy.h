#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <memory>
#include <set>

namespace carawaypoint::soak
{

/// Injected fault of a link.
enum class LinkFault : std::uint8_t {
    None,
    Delay, // each piece of data is forwarded after 120 ms
    Reset, // open and new connections are reset
    DropForward, // data from the caller to the server is dropped
    DropAll, // data is dropped in both directions
};

/// TCP proxy on the loopback interface that injects faults into the connections between two processes.
class TcpProxy : public std::enable_shared_from_this<TcpProxy>
{
public:
    TcpProxy(const boost::asio::any_io_executor &executor, const boost::asio::ip::tcp::endpoint &listen, const boost::asio::ip::tcp::endpoint &target);

    void start();
    void setFault(LinkFault fault);
    LinkFault fault() const
    {
        return fault_;
    }

private:
    using Socket = boost::asio::ip::tcp::socket;
    /// Connection of a caller and the corresponding connection to the server.
    struct Link {
        explicit Link(Socket accepted)
            : caller(std::move(accepted))
            , server(caller.get_executor())
        {
        }
        Socket caller;
        Socket server;
    };

    boost::asio::awaitable<void> acceptLoop();
    boost::asio::awaitable<void> connect(std::shared_ptr<Link> link);
    boost::asio::awaitable<void> forwardData(std::shared_ptr<Link> link, bool isForward);
    static void reset(Link &link);

    boost::asio::any_io_executor executor_;
    boost::asio::ip::tcp::acceptor acceptor_;
    boost::asio::ip::tcp::endpoint target_;
    std::set<std::shared_ptr<Link>> links_;
    LinkFault fault_ = LinkFault::None;
};

}
