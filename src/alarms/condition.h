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
    ModelShort, // fewer replicas than configured, without a replica that is known to be down
    ServiceDown,
    DaemonsLost,
    ConfigNotInForce,
};

/// Name, meaning and advice of a kind of alarm.
struct AlarmKindInfo {
    AlarmKind kind;
    std::string_view name;
    std::string_view advice; // what the operator should do
    /// Seen alike in all zones: reported by the oldest live member of all reachable zones instead of one per zone.
    bool isFleetWide = false;
};

const AlarmKindInfo &alarmKindInfo(AlarmKind kind);

/// Something that is wrong at one moment.
struct Condition {
    AlarmKind kind = AlarmKind::ReplicaDown;
    std::string subject; // the zone, domain, replica, model or service
    double progress = 0; // 0 to 1, rises while it is being repaired
    std::string detail;
    std::vector<std::string> effects; // what else is down for this reason
    /// Another condition explains this one or prevents its repair: its time does not run.
    bool isHeld = false;

    /// `domain_lost a.d1`; one alarm exists per cause.
    std::string cause() const;
};

/// The conditions that @p facts show, by cause.
std::map<std::string, Condition> findConditions(const FleetFacts &facts);

}
