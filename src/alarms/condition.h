#pragma once

#include "alarms/fleet_facts.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypoint
{

enum class AlarmKind : std::uint8_t {
    ZoneIsolated, // neither another zone nor the platform is reachable
    ZoneCutOff,
    PlatformDown,
    DomainLost,
    ReplicaDown,
    ModelShort, // the domain records list fewer replicas than are configured; a listed replica that is down has its own alarm
    ServiceDown,
    DaemonsLost,
    ConfigNotInForce,
};

/// Name, advice and scope of a kind of alarm.
struct AlarmKindInfo {
    AlarmKind kind;
    std::string_view name;
    std::string_view advice; // what the operator should do
    /// All zones observe the condition, so only the oldest live member of all reachable zones reports it, not one per zone.
    bool isFleetWide = false;
};

const AlarmKindInfo &alarmKindInfo(AlarmKind kind);

/// A failure that the facts of one moment show.
struct Condition {
    AlarmKind kind = AlarmKind::ReplicaDown;
    std::string subject; // the zone, domain, replica, model or service
    double progress = 0; // 0 to 1, rises as the repair advances
    std::string detail;
    std::vector<std::string> effects; // other failures that this one causes
    /// Another condition explains this one or prevents its repair. Its expected repair time is suspended meanwhile.
    bool isSuppressed = false;

    /// Kind and subject, such as `domain_lost a.d1`. At most one alarm is active per cause.
    std::string cause() const;
};

/// Returns the conditions that @p facts show, by cause.
std::map<std::string, Condition> findConditions(const FleetFacts &facts);

}
