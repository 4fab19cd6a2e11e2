#include "alarms/alarm_tracker.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{

struct KindRepairTime {
    AlarmKind kind;
    Duration AlarmTimes::*repairTime;
};

constexpr KindRepairTime RepairTimesByKind[] = {
    {AlarmKind::ZoneIsolated, &AlarmTimes::zoneCutOff},           {AlarmKind::ZoneCutOff, &AlarmTimes::zoneCutOff},
    {AlarmKind::PlatformDown, &AlarmTimes::platformDown},         {AlarmKind::DomainLost, &AlarmTimes::domainLost},
    {AlarmKind::ReplicaDown, &AlarmTimes::replicaDown},           {AlarmKind::ModelShort, &AlarmTimes::replicaDown},
    {AlarmKind::ServiceDown, &AlarmTimes::serviceDown},           {AlarmKind::DaemonsLost, &AlarmTimes::daemonsLost},
    {AlarmKind::ConfigNotInForce, &AlarmTimes::configNotInForce},
};

}

AlarmTracker::AlarmTracker(const AlarmTimes &times)
    : times_(times)
{
}

void AlarmTracker::setTimes(const AlarmTimes &times)
{
    times_ = times;
}

Duration AlarmTracker::expectedRepairTime(AlarmKind kind) const
{
    const auto *found = std::find_if(std::begin(RepairTimesByKind), std::end(RepairTimesByKind), [&](const KindRepairTime &row) { return row.kind == kind; });
    return times_.*(found->repairTime);
}

void AlarmTracker::updateEpisode(Episode &episode, Condition condition, TimePoint now, Duration step)
{
    episode.lastPresentAt = now;
    episode.isPresent = true;
    if (condition.isSuppressed) {
        // Suspends the expected repair time; the condition is present, so the alarm does not clear either.
        episode.lastProgressAt += step;
    } else if (condition.progress >= episode.bestProgress + ProgressStep) {
        episode.bestProgress = condition.progress;
        episode.lastProgressAt = now;
    }
    episode.condition = std::move(condition);
}

bool AlarmTracker::shouldRaise(const Episode &episode, TimePoint now) const
{
    return episode.isPresent && !episode.isRaised && !episode.condition.isSuppressed
        && now - episode.lastProgressAt >= expectedRepairTime(episode.condition.kind);
}

void AlarmTracker::clear(const Episode &episode, TimePoint now, Changes &changes)
{
    const Alarm alarm{episode.condition, episode.since, episode.raisedAt, now};
    changes.cleared.push_back(alarm);
    recent_.push_front(alarm);
    if (recent_.size() > MaxRecent) {
        recent_.pop_back();
    }
}

void AlarmTracker::excludePause(Duration pause)
{
    for (auto &[cause, episode] : episodes_) {
        episode.lastProgressAt += pause;
        episode.lastPresentAt += pause;
    }
}

void AlarmTracker::updateEpisodes(const FleetFacts &facts, Duration step)
{
    for (auto &[cause, episode] : episodes_) {
        episode.isPresent = false;
    }
    for (auto &[cause, condition] : findConditions(facts)) {
        const auto [found, isNew] = episodes_.try_emplace(cause);
        auto &episode = found->second;
        if (isNew) {
            episode.since = facts.at;
            episode.lastProgressAt = facts.at;
            episode.bestProgress = condition.progress;
        }
        updateEpisode(episode, std::move(condition), facts.at, isNew ? Duration{} : step);
    }
}

AlarmTracker::Changes AlarmTracker::update(const FleetFacts &facts)
{
    Changes changes;
    if (!facts.isViewFresh) {
        return changes;
    }
    const auto now = facts.at;
    auto step = lastUpdate_ == TimePoint{} ? Duration{} : now - lastUpdate_;
    if (step > MaxUpdateGap) {
        // Nothing was observed during the pause, so it counts neither as presence nor as absence of a condition.
        excludePause(step);
        step = {};
    }
    lastUpdate_ = now;
    updateEpisodes(facts, step);
    for (auto entry = episodes_.begin(); entry != episodes_.end();) {
        auto &episode = entry->second;
        if (shouldRaise(episode, now)) {
            episode.isRaised = true;
            episode.raisedAt = now;
            changes.raised.push_back({episode.condition, episode.since, now, {}});
        }
        if (now - episode.lastPresentAt < times_.clearAfter) {
            ++entry;
            continue;
        }
        if (episode.isRaised) {
            clear(episode, now, changes);
        }
        entry = episodes_.erase(entry);
    }
    return changes;
}

std::vector<Alarm> AlarmTracker::active() const
{
    std::vector<Alarm> alarms;
    for (const auto &[cause, episode] : episodes_) {
        if (episode.isRaised) {
            alarms.push_back({episode.condition, episode.since, episode.raisedAt, {}});
        }
    }
    return alarms;
}

std::vector<Alarm> AlarmTracker::recent() const
{
    return {recent_.begin(), recent_.end()};
}

}
