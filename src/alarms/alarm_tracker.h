#pragma once

#include "alarms/condition.h"
#include "core/clock.h"

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace carawaypoint
{

/// Expected repair time of each kind of alarm, from the section [alarms] of the configuration.
struct AlarmTimes {
    Duration replicaDown = minutes(30); // also for ModelShort
    Duration domainLost = minutes(20);
    Duration platformDown = minutes(30);
    Duration zoneCutOff = minutes(30); // also for ZoneIsolated
    Duration daemonsLost = minutes(30);
    Duration serviceDown = minutes(15);
    Duration configNotInForce = minutes(10);
    Duration clearAfter = minutes(2); // time without the condition until its alarm clears
};

/// A raised alarm, active or cleared.
struct Alarm {
    Condition condition; // as last observed
    TimePoint since{}; // start of the condition
    TimePoint raisedAt{};
    TimePoint clearedAt{}; // zero while the alarm is active

    bool isActive() const
    {
        return clearedAt == TimePoint{};
    }
};

/// Turns conditions into alarms. Has no clock and no I/O: update() supplies the time and the facts.
///
/// A condition becomes an alarm when its expected repair time has passed since its start or since the last progress of its
/// repair. Progress counts only beyond the best value so far, so repair attempts that fail repeatedly do not defer an alarm.
/// An alarm clears when its condition has been absent for clearAfter; a shorter absence does not end the condition.
class AlarmTracker
{
public:
    /// Smallest increase of the progress that defers an alarm. Progress ends at 1, after 20 such steps, so an alarm
    /// is deferred at most 20 times.
    static constexpr double ProgressStep = 0.05;
    /// A longer time between two updates means that the process was paused and observed nothing.
    static constexpr Duration MaxUpdateGap = seconds(60);
    static constexpr std::size_t MaxRecent = 100; // cleared alarms that are kept

    explicit AlarmTracker(const AlarmTimes &times = {});

    void setTimes(const AlarmTimes &times);

    struct Changes {
        std::vector<Alarm> raised;
        std::vector<Alarm> cleared;
    };

    /// Evaluates the facts of one moment and returns the alarms that it raised or cleared. To be called at least once per
    /// MaxUpdateGap.
    Changes update(const FleetFacts &facts);

    std::vector<Alarm> active() const;
    /// Cleared alarms, newest first, at most MaxRecent.
    std::vector<Alarm> recent() const;

private:
    /// One occurrence of a condition, from its first observation until it has been absent for clearAfter.
    struct Episode {
        Condition condition;
        TimePoint since{};
        TimePoint lastProgressAt{}; // start of the expected repair time
        TimePoint lastPresentAt{};
        double bestProgress = 0;
        bool isPresent = false; // the last update observed the condition
        bool isRaised = false;
        TimePoint raisedAt{};
    };

    Duration expectedRepairTime(AlarmKind kind) const;
    static void updateEpisode(Episode &episode, Condition condition, TimePoint now, Duration step);
    void excludePause(Duration pause);
    void updateEpisodes(const FleetFacts &facts, Duration step);
    bool shouldRaise(const Episode &episode, TimePoint now) const;
    void clear(const Episode &episode, TimePoint now, Changes &changes);

    AlarmTimes times_;
    TimePoint lastUpdate_{};
    std::map<std::string, Episode> episodes_;
    std::deque<Alarm> recent_;
};

}
