#pragma once

#include "core/routing_snapshot.h"

#include <string_view>

namespace carawaypoint
{

/// Whether the last observation of @p member is at most @p observationBound old.
inline bool isMemberSeen(const ReplicaMemberView &member, TimePoint now, Duration observationBound)
{
    return now - member.lastSeen <= observationBound;
}

/// Why @p replica may not take new work at @p now; empty when it may. A member that was not seen within
/// @p observationBound makes the replica ineligible.
std::string_view ineligibilityReason(const ReplicaView &replica, TimePoint now, Duration observationBound);

/// Whether @p replica may take new work: it is not draining, and every member is present, loaded, seen and not leaving.
bool isReplicaEligible(const ReplicaView &replica, TimePoint now, Duration observationBound);

}
