#include "protocol/rpc_context.h"

namespace carawaypoint::rpc
{

namespace
{

std::uint64_t sizeOf(kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments)
{
    // Segment table: the segment count and the size of each segment, 4 bytes each, padded to a word.
    std::uint64_t bytes = (segments.size() / 2 + 1) * sizeof(capnp::word);
    for (const auto &segment : segments) {
        bytes += segment.size() * sizeof(capnp::word);
    }
    return bytes;
}

// MessageReader::sizeInWords() must not be used here: before the first getRoot() it accesses an arena that does not exist yet.
std::uint64_t sizeOf(capnp::MessageReader &message)
{
    std::uint64_t bytes = 0;
    unsigned count = 0;
    for (auto segment = message.getSegment(0); segment != nullptr; segment = message.getSegment(++count)) {
        bytes += segment.size() * sizeof(capnp::word);
    }
    return bytes + (count / 2 + 1) * sizeof(capnp::word);
}

}

kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>>
CountingStream::tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> fds, capnp::ReaderOptions options, kj::ArrayPtr<capnp::word> scratch)
{
    return inner_.tryReadMessage(fds, options, scratch)
        .then(
            [this](kj::Maybe<capnp::MessageReaderAndFds> &&message) {
                KJ_IF_MAYBE (present, message) {
                    counters_.bytesReceived += sizeOf(*present->reader);
                }
                return kj::mv(message);
            },
            [this](kj::Exception &&exception) -> kj::Maybe<capnp::MessageReaderAndFds> {
                if (exception.getType() != kj::Exception::Type::DISCONNECTED) {
                    ++counters_.malformedMessages;
                    hasSeenMalformed_ = true;
                }
                kj::throwFatalException(kj::mv(exception));
            });
}

kj::Promise<void> CountingStream::writeMessage(kj::ArrayPtr<const int> fds, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments)
{
    counters_.bytesSent += sizeOf(segments);
    return inner_.writeMessage(fds, segments);
}

kj::Promise<void> CountingStream::writeMessages(kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages)
{
    for (const auto &message : messages) {
        counters_.bytesSent += sizeOf(message);
    }
    return inner_.writeMessages(messages);
}

}
