#pragma once

#include "serving/reply.h"
#include "serving/traffic_loop.h"

#include <functional>
#include <memory>
#include <string>

namespace carawaypoint
{

/// Sends responses to one caller and detects when it disconnects. Used on one traffic thread.
class CallerChannel : public std::enable_shared_from_this<CallerChannel>
{
public:
    CallerChannel(TrafficLoop &loop, ConnectionPtr connection);

    /// Sends a complete response; false when the caller disconnected or exceeded callerWriteTimeout.
    asio::awaitable<bool> send(const Reply &reply, const RequestId &id, bool keepAlive);
    /// Sends the header of a streamed response; false as for send().
    asio::awaitable<bool> startStream(const RequestId &id, bool keepAlive);
    /// Returns once the data is written to the caller's connection, which applies backpressure to the stream of a slow caller.
    asio::awaitable<bool> sendChunk(std::string data);
    /// Sends the last chunk of a complete stream. Not called for a truncated stream, so that the caller detects the truncation.
    asio::awaitable<bool> endStream();

    /// Calls @p onDisconnect once when the caller closes its connection. After a pipelined request has arrived, a disconnect
    /// is detected only by the next write. Half-closed connections count as closed.
    void watchForDisconnect(std::function<void()> onDisconnect);
    void stopWatchingForDisconnect();
    bool isDisconnected() const
    {
        return isDisconnected_;
    }

private:
    asio::awaitable<void> waitForDisconnect(std::uint64_t watchId);
    asio::awaitable<bool> write(const std::string &data);

    TrafficLoop &loop_;
    ConnectionPtr connection_;
    std::function<void()> onDisconnect_;
    std::uint64_t watchId_ = 0; // identifies the current watch; a wait with an older id has no effect
    bool isDisconnected_ = false;
};

}
