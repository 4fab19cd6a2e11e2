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

/// Expected repair times, from the section [alarms] of the configuration.
struct AlarmTimes {
    Duration replicaDown = minutes(30); // also of ModelShort
    Duration domainLost = minutes(20);
    Duration platformDown = minutes(30);
    Duration zoneCutOff = minutes(30); // also of ZoneIsolated
    Duration daemonsLost = minutes(30);
    Duration serviceDown = minutes(15);
    Duration configNotInForce = minutes(10);
    Duration clearAfter = minutes(2);
};

/// An alarm that was raised.
struct Alarm {
    Condition condition; // as last seen
    TimePoint since{}; // start of the condition
    TimePoint raisedAt{};
    TimePoint clearedAt{}; // zero while it is active

    bool isActive() const
    {
        return clearedAt == TimePoint{};
    }
};

/// Raises and clears alarms; pure, driven by update().
///
/// A condition becomes an alarm when it has existed for its expected repair time since it began or since its repair last
/// progressed. Progress counts only beyond the best value so far, so repeated failing attempts do not defer an alarm.
/// An alarm clears when the condition was gone for clearAfter; a shorter gap continues the same condition.
class AlarmBook
{
public:
    /// Progress that counts. With 20 such steps an alarm is deferred at most 20 times.
    static constexpr double ProgressStep = 0.05;
    /// A longer time between two updates is a pause of the process, in which nothing was observed.
    static constexpr Duration MaxUpdateGap = seconds(60);
    static constexpr std::size_t MaxRecent = 100;

    explicit AlarmBook(const AlarmTimes &times = {});

    void setTimes(const AlarmTimes &times);

    struct Changes {
        std::vector<Alarm> raised;
        std::vector<Alarm> cleared;
    };

    /// Takes the facts of one moment, at least once per MaxUpdateGap; returns what changed.
    Changes update(const FleetFacts &facts);

    std::vector<Alarm> active() const;
    /// The latest cleared alarms, newest first.
    std::vector<Alarm> recent() const;

private:
    struct Episode {
        Condition condition;
        TimePoint since{};
        TimePoint lastProgressAt{}; // the expected time runs from here
        TimePoint lastPresentAt{};
        double bestProgress = 0;
        bool isPresent = false; // at the last update
        bool isRaised = false;
        TimePoint raisedAt{};
    };

    Duration expectedTime(AlarmKind kind) const;
    static void follow(Episode &episode, Condition condition, TimePoint now, Duration step);
    void skipPause(Duration pause);
    void followConditions(const FleetFacts &facts, Duration step);
    bool isDue(const Episode &episode, TimePoint now) const;
    void clear(const Episode &episode, TimePoint now, Changes &changes);

    AlarmTimes times_;
    TimePoint lastUpdate_{};
    std::map<std::string, Episode> episodes_;
    std::deque<Alarm> recent_;
};

}
