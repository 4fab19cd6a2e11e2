#pragma once

#include "assignment/assignment_settings.h"
#include "assignment/domain_record.h"
#include "core/routing_snapshot.h"

#include <string_view>

namespace carawaypoint
{

/// How an engine's read-back compares with the record.
enum class PlacementCheck : std::uint8_t {
    Matches,
    OtherReplica,
    OtherFence, // epoch or incarnation
    OtherRole,
    OtherVersion, // of the model, or another model
};

std::string_view placementCheckName(PlacementCheck check);

/// Compares the read-back of a member with what @p record says of it.
PlacementCheck checkPlacement(const DomainRecord &record, const VmId &member, const EngineState &state);

/// The replica as routers see it. Members are seen and loaded as observed; when one of them differs from the record, all
/// of them count as not loaded, so that no router sends work to any of them.
ReplicaView replicaView(const DomainRecord &record, const ReplicaEntry &replica, const VmObservations &observations);

}
