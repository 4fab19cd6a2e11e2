#include "gateway/datagrams.h"

#include "core/connection.h"
#include "observe/log.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>

#include <exception>
#include <vector>

namespace carawaypoint
{

namespace asio = boost::asio;

namespace
{

/// An exception ends only the processing of this datagram. Otherwise one malformed message would make the gateway ignore all later ones.
void handleDatagram(const DatagramHandler &handler, std::span<const std::byte> bytes, const Endpoint &sender)
{
    try {
        handler(bytes, sender);
    } catch (const std::exception &error) {
        logLine(LogLevel::Error, "datagram could not be processed",
                {{"sender", sender.toString()}, {"bytes", static_cast<std::uint64_t>(bytes.size())}, {"error", error.what()}});
    }
}

}

std::error_code openDatagramSocket(asio::ip::udp::socket &socket, const Endpoint &endpoint)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(endpoint.address, error);
    if (!error) {
        socket.open(asio::ip::udp::v4(), error);
    }
    if (!error) {
        socket.bind({address, endpoint.port}, error);
    }
    if (!error) {
        socket.non_blocking(true, error);
    }
    return error;
}

asio::awaitable<void> receiveDatagrams(asio::ip::udp::socket &socket, std::size_t maxBytes, DatagramHandler handler)
{
    std::vector<std::byte> space(maxBytes);
    asio::ip::udp::endpoint sender;
    while (socket.is_open()) {
        const auto [error, count] = co_await socket.async_receive_from(asio::buffer(space), sender, UseResult);
        if (error == asio::error::operation_aborted) {
            break;
        }
        if (!error) {
            handleDatagram(handler, std::span(space).first(count), {sender.address().to_string(), sender.port()});
        }
    }
}

void sendDatagram(asio::ip::udp::socket &socket, std::span<const std::byte> bytes, const Endpoint &receiver)
{
    boost::system::error_code ignored; // a datagram that cannot be sent is dropped
    const auto address = asio::ip::make_address(receiver.address, ignored);
    if (!ignored) {
        socket.send_to(asio::buffer(bytes.data(), bytes.size()), {address, receiver.port}, 0, ignored);
    }
}

}
