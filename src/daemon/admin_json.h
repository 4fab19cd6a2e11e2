#pragma once

#include "alarms/alarm_book.h"
#include "assignment/controller.h"
#include "membership/messages.h"
#include "observe/decision_log.h"

#include <chrono>
#include <map>
#include <set>
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

std::string statusJson(const DaemonStatus &status);
std::string configStatusJson(std::uint64_t newestGeneration, const std::vector<MemberGeneration> &members);
/// @param now of the monotonic clock that the alarms' times are in.
std::string alarmsJson(const std::vector<Alarm> &active, const std::vector<Alarm> &recent, TimePoint now);
std::string decisionsJson(std::string_view subject, const std::vector<DecisionRecord> &records);

/// `2026-03-01T12:00:00.000Z`.
std::string formatWallTime(std::chrono::system_clock::time_point time);

}
