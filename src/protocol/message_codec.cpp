#include "protocol/message_codec.h"

#include "core/result_code.h"
#include "protocol/wire_conversion.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>

#include <cstring>

namespace carawaypoint
{

std::vector<std::byte> encodeMessage(const PeerMessage &message)
{
    capnp::MallocMessageBuilder builder;
    wire::write(builder.initRoot<wire::Message>(), message);
    const auto words = capnp::messageToFlatArray(builder);
    const auto bytes = words.asBytes();
    std::vector<std::byte> result(bytes.size());
    std::memcpy(result.data(), bytes.begin(), bytes.size());
    return result;
}

std::error_code decodeMessage(std::span<const std::byte> bytes, PeerMessage &message)
{
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.begin(), bytes.data(), words.size() * sizeof(capnp::word));
    try {
        capnp::FlatArrayMessageReader reader(words);
        message = wire::read(reader.getRoot<wire::Message>());
    } catch (const wire::MalformedError &) {
        return ResultCode::PeerMalformed;
    } catch (const kj::Exception &) {
        return ResultCode::PeerMalformed;
    }
    return {};
}

}
