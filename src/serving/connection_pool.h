#pragma once

#include "core/clock.h"
#include "core/connection.h"
#include "core/ids.h"
#include "serving/endpoint_less.h"
#include "serving/front_end_settings.h"

#include <deque>
#include <map>

namespace carawaypoint
{

/// A connection to a backend server.
struct UpstreamConnection {
    ConnectionPtr connection;
    TimePoint connectedAt{};
    bool isReused = false; // taken from the pool, so the server may have closed it meanwhile
};

/// Pool of idle connections to backend servers. Each traffic thread has its own; not thread-safe.
class ConnectionPool
{
public:
    ConnectionPool(asio::io_context &io, const FrontEndSettings &settings, const Clock &clock);

    /// Takes an idle connection that is within its age and idle limits and not closed by the server; empty when there is none.
    UpstreamConnection takeIdle(const Endpoint &server);
    /// Opens a new connection; empty when connecting fails or exceeds connectTimeout.
    asio::awaitable<UpstreamConnection> connect(Endpoint server);
    /// Returns a connection to the pool. Its last answer must have been read completely.
    void release(const Endpoint &server, UpstreamConnection upstream);
    /// Closes all idle connections to a server; called after one of them failed.
    void purge(const Endpoint &server);
    /// Closes idle connections that are over their age or idle limit; called periodically.
    void sweep();

private:
    struct IdleConnection {
        UpstreamConnection upstream;
        TimePoint idleSince{};
    };
    bool isUsable(const IdleConnection &idle) const;

    asio::io_context &io_;
    const FrontEndSettings &settings_;
    const Clock &clock_;
    std::map<Endpoint, std::deque<IdleConnection>, EndpointLess> idle_;
};

}
