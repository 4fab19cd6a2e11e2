#pragma once

#include "alarms/fleet_facts.h"
#include "assignment/controller.h"
#include "config/effective_config.h"
#include "membership/messages.h"

#include <span>
#include <vector>

namespace carawaypoint
{

/// State of the control thread from which the facts for alarms are collected.
struct FactInputs {
    const EffectiveConfig *config = nullptr; // null while no configuration is in force
    ZoneId zone;
    std::span<const VmRecord> vms;
    std::span<const ReplicaView> replicas;
    const AssignmentStatus *assignment = nullptr; // assignment of the daemon's own zone
    std::span<const MemberRecord> members;
    std::uint64_t newestGeneration = 0; // newest configuration generation known
    bool isViewFresh = false; // whether this daemon is ready, so that its observations are current
    bool isPlatformReachable = false;
    Duration observationBound{}; // maximum age of an observation that still counts
};

/// Collects the facts from which alarm conditions are evaluated at @p now.
FleetFacts collectFacts(const FactInputs &inputs, TimePoint now);

}
