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
        auto receive = [handler = std::move(handler)](std::span<const std::byte> bytes, const Endpoint &sender) {
            if (const auto message = decodeChangeMessage(bytes)) {
                handler(*message, sender);
            }
        };
        asio::co_spawn(socket_.get_executor(), receiveDatagrams(socket_, MaxNoticeBytes, std::move(receive)), asio::detached);
    }
    return error;
}

void ChangeFeed::send(const ChangeNotice &notice, std::span<const Endpoint> receivers)
{
    for (const auto &bytes : encodeNotice(notice)) {
        for (const auto &receiver : receivers) {
            sendDatagram(socket_, bytes, receiver);
        }
    }
}

void ChangeFeed::request(const ChangeRequest &request, const Endpoint &relay)
{
    sendDatagram(socket_, encodeRequest(request), relay);
}

}
