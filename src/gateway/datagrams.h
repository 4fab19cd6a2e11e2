#pragma once

#include "core/ids.h"

#include <boost/asio/ip/udp.hpp>

#include <cstddef>
#include <span>
#include <system_error>

namespace carawaypoint
{

/// Opens a socket for datagrams at @p endpoint whose sends never wait.
std::error_code openDatagramSocket(boost::asio::ip::udp::socket &socket, const Endpoint &endpoint);

/// Sends without waiting. A datagram that cannot be sent is dropped: whatever is sent this way is replaced by the next message.
void sendDatagram(boost::asio::ip::udp::socket &socket, std::span<const std::byte> bytes, const Endpoint &receiver);

}
