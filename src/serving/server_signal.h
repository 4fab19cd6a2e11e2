#pragma once

#include "core/ids.h"

#include <cstdint>
#include <functional>

namespace carawaypoint
{

/// What the traffic itself showed about a backend server, earlier than probes or the VM list.
struct ServerSignal {
    enum class Kind : std::uint8_t {
        Draining, // it refused with `draining` or X-Draining
        Refused, // it refused before running for another reason, e.g. wrong_replica
        ConnectFailed,
        ConnectionLost, // broke while a request was in progress
        Leaving, // it announced the end of the connection with `Connection: close`
    };
    Kind kind = Kind::Refused;
    Endpoint server;
    ReplicaId replica; // empty for a plain service
    std::uint64_t incarnation = 0; // of the replica
    ServiceId service; // empty for an engine
};

/// Called on traffic threads, so it must be thread-safe and must not block.
using ServerSignalHandler = std::function<void(const ServerSignal &)>;

}
