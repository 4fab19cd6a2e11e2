#include "protocol/packed_message.h"

#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <cstring>

namespace carawaypoint
{

std::vector<std::byte> packMessage(capnp::MessageBuilder &message)
{
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    std::vector<std::byte> result(bytes.size());
    std::memcpy(result.data(), bytes.begin(), bytes.size());
    return result;
}

}
