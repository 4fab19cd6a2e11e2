#pragma once

#include "core/ids.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/udp.hpp>

#include <cstddef>
#include <functional>
#include <span>
#include <system_error>

namespace carawaypoint
{

/// Opens a non-blocking datagram socket at @p endpoint.
std::error_code openDatagramSocket(boost::asio::ip::udp::socket &socket, const Endpoint &endpoint);

using DatagramHandler = std::function<void(std::span<const std::byte>, const Endpoint &sender)>;

/// Passes each datagram of up to @p maxBytes to @p handler until the socket is closed. Ignores receive errors, such as those that report
/// a failed earlier send, since the next message replaces a lost one.
boost::asio::awaitable<void> receiveDatagrams(boost::asio::ip::udp::socket &socket, std::size_t maxBytes, DatagramHandler handler);

/// Sends without blocking. Drops a datagram that cannot be sent, since the next message replaces it.
void sendDatagram(boost::asio::ip::udp::socket &socket, std::span<const std::byte> bytes, const Endpoint &receiver);

}
