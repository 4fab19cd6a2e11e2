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
    std::shared_ptr<ReplicaEntry> reserved; // kept free for this crash suspect while it waits
    std::vector<ReplicaId> excluded;
    bool isLong = false;
    bool isSuspect = false; // when it was granted
    bool isReclassified = false; // turned out to be long while it ran
    bool isOverShare = false; // its customer, when it was granted
    bool hasFirstToken = false; // in the current attempt
    bool isRetry = false;
    bool wasRefused = false; // the last attempt was refused before it ran
    TimePoint submittedAt;
    TimePoint grantedAt;
    TimePoint lastProgressAt;
    std::uint32_t tokens = 0; // of the current attempt
};

}
