#pragma once

#include "routing/dispatcher.h"
#include "routing/replica_entry.h"

#include <memory>
#include <vector>

namespace carawaypoint
{

/// State of one ticket.
struct RequestRecord {
    enum class State : std::uint8_t {
        Waiting,
        Granted,
        Finished, // kept for a resubmission
    };

    ModelRequest request;
    Dispatcher::GrantHandler handler;
    State state = State::Waiting;
    std::shared_ptr<ReplicaEntry> entry; // that holds the slot while granted
    std::vector<ReplicaId> excluded;
    bool isLong = false;
    bool isRetry = false;
    TimePoint submittedAt;
    TimePoint grantedAt;
    TimePoint finishedAt;
    TimePoint lastProgressAt;
    std::uint32_t tokens = 0; // of the current attempt
};

}
