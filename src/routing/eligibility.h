#pragma once

#include "core/routing_snapshot.h"

#include <string_view>

namespace carawaypoint
{

/// Whether @p member was seen within @p observationBound.
inline bool isMemberSeen(const ReplicaMemberView &member, TimePoint now, Duration observationBound)
{
    return now - member.lastSeen <= observationBound;
}

/// Why @p replica may not take new work at @p now; empty when it may. A member that was not seen within
/// @p observationBound counts as missing.
std::string_view ineligibilityReason(const ReplicaView &replica, TimePoint now, Duration observationBound);

/// Whether every member of @p replica is present, loaded and staying.
bool isReplicaEligible(const ReplicaView &replica, TimePoint now, Duration observationBound);

}
