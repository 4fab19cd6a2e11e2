#pragma once

#include "core/clock.h"
#include "core/connection.h"
#include "fleet/replica_view.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <system_error>
#include <unordered_map>
#include <vector>

namespace carawaypoint
{

/// A connection to a backend server, used by one request at a time.
struct BackendLink {
    ConnectionPtr connection;
    VmId server;
    std::uint64_t serverStartedAt = 0;
    bool isReused = false;
    bool isLost = false; // the connection ended by itself during a request

    /// Whether the server may be lost, and not only slow: its connection ended before the time limit of the request.
    bool mayHaveLostServer() const
    {
        return isLost && !connection->isTimedOut();
    }
};

/// Pool of idle connections to backend servers. Not thread-safe.
class BackendConnectionPool
{
public:
    explicit BackendConnectionPool(const Clock &clock);

    /// Provides a pooled or a new connection in @p link. On an error link.connection is null and nothing was sent.
    asio::awaitable<std::error_code> acquire(const ServingTarget &target, Duration timeout, BackendLink &link);
    /// As acquire(), always with a new connection.
    asio::awaitable<std::error_code> connect(const ServingTarget &target, Duration timeout, BackendLink &link);
    /// Returns a connection to the pool, where it is usable for @p keepAlive.
    void release(BackendLink link, Duration keepAlive);
    /// Servers to which an idle connection can be used.
    std::vector<VmId> connectedServers() const;
    void closeExpired();
    /// Closes the idle connections to @p server: one that failed while it was reused suggests that the others have failed too.
    void closeIdle(const VmId &server);

private:
    struct Idle {
        BackendLink link;
        TimePoint expiresAt;
    };

    ConnectionPtr takeIdle(const ServingTarget &target);

    const Clock &clock_;
    std::unordered_map<VmId, std::vector<Idle>> idle_; // most recently used at the back
};

}
