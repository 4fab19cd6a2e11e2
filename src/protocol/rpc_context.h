#pragma once

// Types shared by RpcClient and RpcServer; internal to the package.
#include "protocol/peer_service.h"

#include <capnp/serialize-async.h>
#include <kj/async-io.h>
#include <kj/timer.h>

#include <atomic>
#include <functional>

namespace carawaypoint::rpc
{

struct AtomicCounters {
    std::atomic<std::uint64_t> callsServed = 0;
    std::atomic<std::uint64_t> malformedMessages = 0;
    std::atomic<std::uint64_t> refusedConnections = 0;
    std::atomic<std::uint64_t> failedCalls = 0;
    std::atomic<std::uint64_t> bytesReceived = 0;
    std::atomic<std::uint64_t> bytesSent = 0;
};

/// State of the PeerService that RpcClient and RpcServer use.
struct Context {
    PeerServiceOptions options;
    std::uint64_t process = 0;
    PeerRequestHandler &handler;
    std::function<void(std::function<void()>)> postToControl;
    AtomicCounters &counters;
};

inline kj::Duration toKj(Duration duration)
{
    return duration.count() * kj::MICROSECONDS;
}

/// Message stream that counts bytes and malformed messages.
class CountingStream : public capnp::MessageStream
{
public:
    CountingStream(kj::AsyncIoStream &stream, AtomicCounters &counters)
        : inner_(stream)
        , counters_(counters)
    {
    }

    bool hasSeenMalformed() const
    {
        return hasSeenMalformed_;
    }

    kj::Promise<kj::Maybe<capnp::MessageReaderAndFds>>
    tryReadMessage(kj::ArrayPtr<kj::AutoCloseFd> fds, capnp::ReaderOptions options, kj::ArrayPtr<capnp::word> scratch) override;
    kj::Promise<void> writeMessage(kj::ArrayPtr<const int> fds, kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>> segments) override;
    kj::Promise<void> writeMessages(kj::ArrayPtr<kj::ArrayPtr<const kj::ArrayPtr<const capnp::word>>> messages) override;
    kj::Maybe<int> getSendBufferSize() override
    {
        return inner_.getSendBufferSize();
    }
    kj::Promise<void> end() override
    {
        return inner_.end();
    }

private:
    capnp::AsyncIoMessageStream inner_;
    AtomicCounters &counters_;
    bool hasSeenMalformed_ = false;
};

}
