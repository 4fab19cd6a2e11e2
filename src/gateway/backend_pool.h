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
};

/// Kept connections to backend servers. For one thread.
class BackendPool
{
public:
    explicit BackendPool(const Clock &clock);

    /// A kept connection, or a new one. A null connection with the error when none could be made; nothing was sent then.
    asio::awaitable<std::error_code> acquire(const ServingTarget &target, Duration timeout, BackendLink &link);
    /// Keeps the connection for the next request, for as long as the server said.
    void release(BackendLink link, Duration keepAlive);
    void closeExpired();

private:
    struct Idle {
        BackendLink link;
        TimePoint expiresAt;
    };

    ConnectionPtr takeIdle(const ServingTarget &target);

    const Clock &clock_;
    std::unordered_map<VmId, std::vector<Idle>> idle_; // most recently used last
};

}
