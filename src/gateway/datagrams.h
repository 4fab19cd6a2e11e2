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

/// Opens a socket for datagrams at @p endpoint whose sends never wait.
std::error_code openDatagramSocket(boost::asio::ip::udp::socket &socket, const Endpoint &endpoint);

using DatagramHandler = std::function<void(std::span<const std::byte>)>;

/// Passes each datagram of up to @p maxBytes to @p handler until the socket is closed. An error of one, such as that of a datagram that
/// was sent before, is left out: the next message stands for it.
boost::asio::awaitable<void> receiveDatagrams(boost::asio::ip::udp::socket &socket, std::size_t maxBytes, DatagramHandler handler);

/// Sends without waiting. A datagram that cannot be sent is dropped: whatever is sent this way is replaced by the next message.
void sendDatagram(boost::asio::ip::udp::socket &socket, std::span<const std::byte> bytes, const Endpoint &receiver);

}
