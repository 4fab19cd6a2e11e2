#include "protocol/message_codec.h"

#include "core/result_code.h"
#include "protocol/packed_message.h"
#include "protocol/wire_conversion.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

namespace carawaypoint
{

namespace
{

constexpr std::size_t MaxUnpackedBytes = 4'000'000; // size of a full exchange with 4,096 members

}

std::vector<std::byte> encodeMessage(const PeerMessage &message)
{
    capnp::MallocMessageBuilder builder;
    wire::write(builder.initRoot<wire::Message>(), message);
    return packMessage(builder);
}

std::error_code decodeMessage(std::span<const std::byte> bytes, PeerMessage &message)
{
    // Limits the memory to which a few packed bytes can expand.
    capnp::ReaderOptions options;
    options.traversalLimitInWords = MaxUnpackedBytes / sizeof(capnp::word);
    kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
    try {
        capnp::PackedMessageReader reader(in, options);
        message = wire::read(reader.getRoot<wire::Message>());
    } catch (const wire::MalformedError &) {
        return ResultCode::PeerMalformed;
    } catch (const kj::Exception &) {
        return ResultCode::PeerMalformed;
    }
    return {};
}

}
