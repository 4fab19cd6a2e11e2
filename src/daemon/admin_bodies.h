#pragma once

#include "alarms/alarm_book.h"
#include "config/config_loader.h"
#include "core/clock.h"
#include "daemon/admin_server.h"
#include "observe/decision_log.h"

#include <chrono>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypoint
{

/// The same moment on both clocks, to show monotonic times as UTC.
struct ClockPair {
    TimePoint monotonic{};
    std::chrono::system_clock::time_point utc{};

    std::string format(TimePoint time) const;
};

/// Body of `GET /admin/alarms`.
std::string alarmsBody(const std::vector<Alarm> &active, const std::vector<Alarm> &recent, const ClockPair &now);

/// Body of `GET /admin/explain`.
std::string explainBody(std::string_view subject, std::span<const DecisionRecord> records);

/// Registers `GET /admin/explain` on the decisions of @p log, which must outlive the server.
void addExplainHandler(AdminServer &server, const DecisionLog &log);

/// Answer to a configuration with faults: 400 with every fault, or 413 when it is too large.
AdminResponse makeFaultsResponse(const LoadedConfig &loaded);

/// Answer to a change whose expected generation is not the one in force: 409 with the @p present configuration.
AdminResponse makeConflictResponse(const VersionedConfig &present);

/// The expected repair times of a configuration in the form that the alarms take.
AlarmTimes toAlarmTimes(const AlarmSettings &settings);

}
