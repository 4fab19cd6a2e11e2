#pragma once

#include "routing/dispatcher.h"
#include "routing/tracked_replica.h"

#include <memory>
#include <vector>

namespace carawaypoint
{

/// State of the request with one ticket.
struct RequestRecord {
    enum class State : std::uint8_t {
        Waiting,
        Granted,
        Finished, // the slot is released; the record is kept for a resubmission
    };

    ModelRequest request;
    Dispatcher::GrantHandler handler;
    State state = State::Waiting;
    std::shared_ptr<TrackedReplica> entry; // replica whose slot the request holds while it is granted
    std::shared_ptr<TrackedReplica> reservedReplica; // isolated for this crash suspect until its attempt ends
    std::vector<ReplicaId> excludedReplicas; // replicas that the request must not be sent to
    bool isLong = false;
    bool isSuspect = false; // whether the request was a crash suspect when it was granted
    bool isReclassified = false; // counted as short when granted and as long since then
    bool isOverShare = false; // whether the customer was above its share when the request was granted
    bool hasFirstToken = false; // whether the current attempt has produced a token
    bool isRetry = false;
    bool wasRefused = false; // whether the engine refused the last attempt before it ran
    TimePoint submittedAt;
    TimePoint grantedAt;
    TimePoint lastProgressAt;
    std::uint32_t tokens = 0; // output tokens of the current attempt
};

}
