#pragma once

#include "serving/reply.h"
#include "serving/traffic_loop.h"

#include <functional>
#include <memory>
#include <string>

namespace carawaypoint
{

/// Writes to one caller and notices when it leaves. Used on one traffic thread.
class CallerChannel : public std::enable_shared_from_this<CallerChannel>
{
public:
    CallerChannel(TrafficLoop &loop, ConnectionPtr connection);

    /// False when the caller is gone or too slow.
    asio::awaitable<bool> send(const Reply &reply, const RequestId &id, bool keepAlive);
    asio::awaitable<bool> startStream(const RequestId &id, bool keepAlive);
    /// Returns when the caller's connection took the data, so that a slow caller slows its stream down.
    asio::awaitable<bool> sendChunk(std::string data);
    /// Ends a stream that is complete; a stream that is not gets no last chunk.
    asio::awaitable<bool> endStream();

    /// Calls @p onGone once when the caller closes its connection. A caller that sends its next request early is not
    /// watched any further; its leaving shows at the next write. Half-closed connections count as closed.
    void watch(std::function<void()> onGone);
    void stopWatching();
    bool isGone() const
    {
        return isGone_;
    }

private:
    asio::awaitable<void> waitForEnd(std::uint64_t watchNumber);
    asio::awaitable<bool> write(const std::string &data);

    TrafficLoop &loop_;
    ConnectionPtr connection_;
    std::function<void()> onGone_;
    std::uint64_t watchNumber_ = 0;
    bool isGone_ = false;
};

}
