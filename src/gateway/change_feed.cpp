#include "gateway/change_feed.h"

#include "core/connection.h"
#include "gateway/datagrams.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace carawaypoint
{

namespace asio = boost::asio;

ChangeFeed::ChangeFeed(asio::io_context &io)
    : socket_(io)
{
}

std::error_code ChangeFeed::open(const Endpoint &endpoint, Handler handler)
{
    handler_ = std::move(handler);
    const auto error = openDatagramSocket(socket_, endpoint);
    if (!error) {
        asio::co_spawn(socket_.get_executor(), receiveAll(), asio::detached);
    }
    return error;
}

asio::awaitable<void> ChangeFeed::receiveAll()
{
    asio::ip::udp::endpoint sender;
    while (socket_.is_open()) {
        const auto [error, count] = co_await socket_.async_receive_from(asio::buffer(space_), sender, UseResult);
        if (error == asio::error::operation_aborted) {
            break;
        }
        if (error) {
            continue; // of a datagram that was sent before; the next notice stands for it
        }
        if (const auto notice = decodeNotice({space_.data(), count})) {
            handler_(*notice);
        }
    }
}

void ChangeFeed::send(const ChangeNotice &notice, std::span<const PeerGateway> receivers)
{
    const auto bytes = encodeNotice(notice);
    for (const auto &receiver : receivers) {
        sendDatagram(socket_, bytes, receiver.changes);
    }
}

}
