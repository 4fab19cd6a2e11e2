#include "gateway/change_feed.h"

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
    const auto error = openDatagramSocket(socket_, endpoint);
    if (!error) {
        auto receive = [handler = std::move(handler)](std::span<const std::byte> bytes) {
            if (const auto notice = decodeNotice(bytes)) {
                handler(*notice);
            }
        };
        asio::co_spawn(socket_.get_executor(), receiveDatagrams(socket_, MaxNoticeBytes, std::move(receive)), asio::detached);
    }
    return error;
}

void ChangeFeed::send(const ChangeNotice &notice, std::span<const PeerGateway> receivers)
{
    const auto bytes = encodeNotice(notice);
    for (const auto &receiver : receivers) {
        sendDatagram(socket_, bytes, receiver.changes);
    }
}

}
