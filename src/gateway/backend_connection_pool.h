#pragma once

#include "gateway/server_connector.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace carawaypoint
{

/// Pool of idle connections to backend servers. Not thread-safe.
class BackendConnectionPool
{
public:
    /// @param connector opens the connections; must outlive the pool.
    BackendConnectionPool(const Clock &clock, ServerConnector &connector);

    /// Provides a pooled or a new connection in @p link. On an error link.connection is null and nothing was sent.
    asio::awaitable<std::error_code> acquire(const ServingTarget &target, Duration timeout, BackendLink &link);
    /// Returns a connection to the pool, where it is usable for @p keepAlive.
    void release(BackendLink link, Duration keepAlive);
    /// Servers to which an idle connection can be used.
    std::vector<VmId> connectedServers() const;
    void closeExpired();
    /// Closes the idle connections to @p server: one that failed while it was reused suggests that the others have failed too.
    void closeIdle(const VmId &server);
    /// Closes all idle connections.
    void closeAllIdle();

private:
    struct Idle {
        BackendLink link;
        TimePoint expiresAt;
    };

    std::optional<BackendLink> takeIdle(const ServingTarget &target);

    const Clock &clock_;
    ServerConnector &connector_;
    std::unordered_map<VmId, std::vector<Idle>> idle_; // most recently used at the back
};

}
