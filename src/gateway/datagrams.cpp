#include "gateway/datagrams.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/address.hpp>

namespace carawaypoint
{

namespace asio = boost::asio;

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

void sendDatagram(asio::ip::udp::socket &socket, std::span<const std::byte> bytes, const Endpoint &receiver)
{
    boost::system::error_code ignored; // see the declaration
    const auto address = asio::ip::make_address(receiver.address, ignored);
    if (!ignored) {
        socket.send_to(asio::buffer(bytes.data(), bytes.size()), {address, receiver.port}, 0, ignored);
    }
}

}
