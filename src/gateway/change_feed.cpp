#include "gateway/change_feed.h"

#include "gateway/datagrams.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace carawaypoint
{

namespace asio = boost::asio;

ChangeFeed::ChangeFeed(asio::io_context &io)
    : socket_(io)
    // A restarted process must not continue the numbers of the one before, whose fragments may still be on their way.
    , lastMessageId_(static_cast<std::uint64_t>(clock_.now().time_since_epoch().count()))
{
}

void ChangeFeed::receive(std::span<const std::byte> bytes, const Endpoint &sender)
{
    auto message = decodeChangeMessage(bytes);
    if (message && message->fragment) {
        const auto whole = assembler_.add(sender, *std::move(message->fragment), clock_.now());
        message = whole ? decodeChangeMessage(*whole) : std::nullopt;
    }
    if (message && !message->fragment) {
        handler_(*message, sender);
    }
}

std::error_code ChangeFeed::open(const Endpoint &endpoint, Handler handler)
{
    const auto error = openDatagramSocket(socket_, endpoint);
    if (!error) {
        handler_ = std::move(handler);
        auto onDatagram = [this](std::span<const std::byte> bytes, const Endpoint &sender) {
            receive(bytes, sender);
        };
        asio::co_spawn(socket_.get_executor(), receiveDatagrams(socket_, MaxNoticeBytes, std::move(onDatagram)), asio::detached);
    }
    return error;
}

std::vector<std::vector<std::byte>> ChangeFeed::encode(const ChangeNotice &notice)
{
    return encodeNotice(notice, ++lastMessageId_);
}

void ChangeFeed::sendDatagrams(std::span<const std::vector<std::byte>> datagrams, const Endpoint &receiver)
{
    for (const auto &bytes : datagrams) {
        sendDatagram(socket_, bytes, receiver);
    }
}

void ChangeFeed::send(const ChangeNotice &notice, std::span<const Endpoint> receivers)
{
    for (const auto &bytes : encode(notice)) {
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
