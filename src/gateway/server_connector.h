#pragma once

#include "core/clock.h"
#include "core/connection.h"
#include "core/ids.h"
#include "fleet/replica_view.h"

#include <boost/asio/awaitable.hpp>

#include <system_error>

namespace carawaypoint
{

/// A connection to a backend server, used by one request at a time.
struct BackendLink {
    ConnectionPtr connection;
    VmId server;
    std::uint64_t serverStartedAt = 0;
    bool isReused = false;
    bool isLost = false; // the connection ended by itself during a request
    bool isProxied = false; // the connection leads through another gateway

    /// Whether the server may be lost, and not only slow: its connection ended before the time limit of the request.
    bool mayHaveLostServer() const
    {
        return isLost && !connection->isTimedOut();
    }
};

/// A way to connect to backend servers.
class ServerConnector
{
public:
    virtual ~ServerConnector() = default;
    /// Connects to @p target within @p timeout. Sets the connection of @p link and whether it is proxied, or, on an error, no connection; nothing
    /// was sent to the server then.
    virtual asio::awaitable<std::error_code> connect(const ServingTarget &target, Duration timeout, BackendLink &link) = 0;
};

/// Connects to @p endpoint within @p timeout. On an error @p connection is null.
asio::awaitable<std::error_code> openConnection(const Endpoint &endpoint, Duration timeout, ConnectionPtr &connection);

/// Connects to the server itself.
class DirectConnector : public ServerConnector
{
public:
    asio::awaitable<std::error_code> connect(const ServingTarget &target, Duration timeout, BackendLink &link) override;
};

}
