#pragma once

#include "assignment/assignment_settings.h"
#include "assignment/domain_record.h"
#include "membership/messages.h"

namespace carawaypoint
{

/// What is sent to peers of an engine's read-back. Replica, role and version travel as the fencing number, which is unique to
/// them within a domain.
ServerState toServerState(const EngineState &state, bool isSeen);

/// The read-back that a peer's observation stands for. An engine whose fencing number is not the recorded one comes back
/// without a replica, so that its replica counts as incomplete.
VmObservation toVmObservation(const VmId &vm, const ServerState &server, TimePoint seenAt, const DomainRecord &record);

}
