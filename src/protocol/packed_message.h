#pragma once

#include <capnp/message.h>

#include <cstddef>
#include <vector>

namespace carawaypoint
{

/// Returns @p message in Cap'n Proto's packed encoding.
std::vector<std::byte> packMessage(capnp::MessageBuilder &message);

}
