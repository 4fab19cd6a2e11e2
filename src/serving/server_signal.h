#pragma once

#include "core/ids.h"

#include <cstdint>
#include <functional>

namespace carawaypoint
{

/// An observation about a backend server made while serving requests, earlier than engine probes or the VM list show it.
struct ServerSignal {
    enum class Kind : std::uint8_t {
        Draining, // the server refused a request with `draining` or X-Draining
        Refused, // the server refused a request before running it for another reason, e.g. wrong_replica
        ConnectFailed,
        ConnectionLost, // the connection broke while a request was in progress
        Leaving, // the server sent `Connection: close`
    };
    Kind kind = Kind::Refused;
    Endpoint server;
    ReplicaId replica; // empty for a plain service
    std::uint64_t incarnation = 0; // incarnation of the replica
    ServiceId service; // empty for an engine
};

/// Called on traffic threads: the handler must be thread-safe and must not block.
using ServerSignalHandler = std::function<void(const ServerSignal &)>;

}
