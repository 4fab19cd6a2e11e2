#pragma once

#include "assignment/assignment_settings.h"
#include "assignment/domain_record.h"
#include "core/routing_snapshot.h"

#include <string_view>

namespace carawaypoint
{

/// Result of comparing an engine's state with the record.
enum class PlacementCheck : std::uint8_t {
    Matches,
    OtherReplica,
    OtherFence, // another epoch or incarnation
    OtherRole,
    OtherVersion, // another version of the model, or another model
};

std::string_view placementCheckName(PlacementCheck check);

/// Compares the state of a member's engine with @p record.
PlacementCheck checkPlacement(const DomainRecord &record, const VmId &member, const EngineState &state);

/// Builds the view of a replica for routers. Members are seen and loaded as observed; when one of them differs from the
/// record, all count as not loaded, so that no router sends work to the replica.
ReplicaView replicaView(const DomainRecord &record, const ReplicaEntry &replica, const VmObservations &observations);

}
