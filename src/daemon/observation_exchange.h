#pragma once

#include "assignment/assignment_settings.h"
#include "assignment/domain_record.h"
#include "membership/messages.h"

namespace carawaypoint
{

/// Converts the state that an engine reported to the form sent to peers. Replica, role and version are represented by the fencing
/// number, which identifies them within a domain.
ServerState toServerState(const EngineState &state, bool isSeen);

/// Converts a peer's observation back to an engine state. An engine whose fencing number differs from the one in @p record gets no
/// replica, so that its replica counts as incomplete.
VmObservation toVmObservation(const VmId &vm, const ServerState &server, TimePoint seenAt, const DomainRecord &record);

}
