#pragma once

#include "assignment/controller.h"
#include "membership/messages.h"

#include <string>
#include <vector>

namespace carawaypoint
{

/// Content of `GET /admin/status`.
struct DaemonStatus {
    MemberId daemon;
    ZoneId zone;
    bool isReady = false;
    bool isPlatformReachable = false;
    std::uint64_t generation = 0;
    std::vector<MemberRecord> members;
    AssignmentStatus assignment; // assignment of the daemon's own zone
    std::vector<ReplicaView> replicas; // replicas of all zones
    std::vector<VmRecord> vms;
    TimePoint now{};
    Duration observationBound{}; // maximum age of an observation that still counts
};

/// Configuration generation of a member, for `GET /admin/config/status`.
struct MemberGeneration {
    MemberRecord member;
    std::string inForceSince; // UTC time since when the generation is in force; empty when unknown
};

/// Body of `GET /admin/status`.
std::string statusBody(const DaemonStatus &status);
/// Body of `GET /admin/config/status`.
std::string configStatusBody(std::uint64_t newestGeneration, const std::vector<MemberGeneration> &members);

}
