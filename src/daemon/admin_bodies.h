#pragma once

#include "alarms/alarm_tracker.h"
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

/// One point in time on the monotonic and on the UTC clock, to convert monotonic times to UTC.
struct ClockPair {
    TimePoint monotonic{};
    std::chrono::system_clock::time_point utc{};

    /// Formats a monotonic time as UTC.
    std::string format(TimePoint time) const;
};

/// Body of `GET /admin/alarms`.
std::string alarmsBody(const std::vector<Alarm> &active, const std::vector<Alarm> &recent, const ClockPair &now);

/// Body of `GET /admin/explain`.
std::string explainBody(std::string_view subject, std::span<const DecisionRecord> records);

/// Registers `GET /admin/explain`, which answers with decisions of @p log. It must outlive the server.
void addExplainHandler(AdminServer &server, const DecisionLog &log);

/// Response to a configuration with errors: 400 with every error, or 413 when it is too large.
AdminResponse makeConfigErrorsResponse(const LoadedConfig &loaded);

/// Response to a change whose expected generation is not the one in force: 409 with the configuration in force, @p current.
AdminResponse makeConflictResponse(const VersionedConfig &current);

/// Converts the alarm times of a configuration to the type that the alarms package uses.
AlarmTimes toAlarmTimes(const AlarmSettings &settings);

}
