#pragma once

#include "core/routing_snapshot.h"

#include <string_view>

namespace carawaypoint
{

/// Why @p replica may not take new work at @p now; empty when it may. A member that was not seen within
/// @p observationBound counts as missing.
std::string_view ineligibilityReason(const ReplicaView &replica, TimePoint now, Duration observationBound);

/// Whether every member of @p replica is present, loaded and staying.
bool isReplicaEligible(const ReplicaView &replica, TimePoint now, Duration observationBound);

}
