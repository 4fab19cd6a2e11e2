#pragma once

#include "alarms/fleet_facts.h"
#include "assignment/controller.h"
#include "config/effective_config.h"
#include "membership/messages.h"

#include <span>
#include <vector>

namespace carawaypoint
{

/// What the control thread knows, as input of the facts for alarms.
struct FactInputs {
    const EffectiveConfig *config = nullptr; // null while none is in force
    ZoneId zone;
    std::span<const VmRecord> vms;
    std::span<const ReplicaView> replicas;
    const AssignmentStatus *assignment = nullptr; // of the own zone
    std::span<const MemberRecord> members;
    std::uint64_t newestGeneration = 0;
    bool isViewFresh = false;
    bool isPlatformReachable = false;
    Duration observationBound{};
};

/// Gathers the facts of one moment for the AlarmBook.
FleetFacts collectFacts(const FactInputs &inputs, TimePoint now);

}
