#pragma once

#include "assignment/controller.h"
#include "membership/messages.h"

#include <string>
#include <vector>

namespace carawaypoint
{

/// What `GET /admin/status` shows.
struct DaemonStatus {
    MemberId daemon;
    ZoneId zone;
    bool isReady = false;
    bool isPlatformReachable = false;
    std::uint64_t generation = 0;
    std::vector<MemberRecord> members;
    AssignmentStatus assignment; // of the own zone
    std::vector<ReplicaView> replicas; // of all zones
    std::vector<VmRecord> vms;
    TimePoint now{};
    Duration observationBound{};
};

/// A member in `GET /admin/config/status`.
struct MemberGeneration {
    MemberRecord member;
    std::string inForceSince; // empty when it is not known
};

/// Body of `GET /admin/status`.
std::string statusBody(const DaemonStatus &status);
/// Body of `GET /admin/config/status`.
std::string configStatusBody(std::uint64_t newestGeneration, const std::vector<MemberGeneration> &members);

}
