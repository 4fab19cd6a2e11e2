#pragma once

#include <capnp/message.h>

#include <cstddef>
#include <vector>

namespace carawaypoint
{

/// The bytes of @p message in the packed encoding, for a datagram.
std::vector<std::byte> packMessage(capnp::MessageBuilder &message);

}
