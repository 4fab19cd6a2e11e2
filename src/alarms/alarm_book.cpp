#include "alarms/alarm_book.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{

struct TimeOfKind {
    AlarmKind kind;
    Duration AlarmTimes::*time;
};

constexpr TimeOfKind TimesOfKinds[] = {
    {AlarmKind::ZoneIsolated, &AlarmTimes::zoneCutOff},           {AlarmKind::ZoneCutOff, &AlarmTimes::zoneCutOff},
    {AlarmKind::PlatformDown, &AlarmTimes::platformDown},         {AlarmKind::DomainLost, &AlarmTimes::domainLost},
    {AlarmKind::ReplicaDown, &AlarmTimes::replicaDown},           {AlarmKind::ModelShort, &AlarmTimes::replicaDown},
    {AlarmKind::ServiceDown, &AlarmTimes::serviceDown},           {AlarmKind::DaemonsLost, &AlarmTimes::daemonsLost},
    {AlarmKind::ConfigNotInForce, &AlarmTimes::configNotInForce},
};

}

AlarmBook::AlarmBook(const AlarmTimes &times)
    : times_(times)
{
}

void AlarmBook::setTimes(const AlarmTimes &times)
{
    times_ = times;
}

Duration AlarmBook::expectedTime(AlarmKind kind) const
{
    const auto *found = std::find_if(std::begin(TimesOfKinds), std::end(TimesOfKinds), [&](const TimeOfKind &row) { return row.kind == kind; });
    return times_.*(found->time);
}

void AlarmBook::follow(Episode &episode, Condition condition, TimePoint now, Duration step)
{
    episode.lastPresentAt = now;
    episode.isPresent = true;
    if (condition.isHeld) {
        // Neither the time until it is raised nor the time until it clears runs.
        episode.lastProgressAt += step;
    } else if (condition.progress >= episode.bestProgress + ProgressStep) {
        episode.bestProgress = condition.progress;
        episode.lastProgressAt = now;
    }
    episode.condition = std::move(condition);
}

bool AlarmBook::isDue(const Episode &episode, TimePoint now) const
{
    return episode.isPresent && !episode.isRaised && !episode.condition.isHeld && now - episode.lastProgressAt >= expectedTime(episode.condition.kind);
}

void AlarmBook::clear(const Episode &episode, TimePoint now, Changes &changes)
{
    const Alarm alarm{episode.condition, episode.since, episode.raisedAt, now};
    changes.cleared.push_back(alarm);
    recent_.push_front(alarm);
    if (recent_.size() > MaxRecent) {
        recent_.pop_back();
    }
}

void AlarmBook::skipPause(Duration pause)
{
    for (auto &[cause, episode] : episodes_) {
        episode.lastProgressAt += pause;
        episode.lastPresentAt += pause;
    }
}

void AlarmBook::followConditions(const FleetFacts &facts, Duration step)
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
        follow(episode, std::move(condition), facts.at, isNew ? Duration{} : step);
    }
}

AlarmBook::Changes AlarmBook::update(const FleetFacts &facts)
{
    Changes changes;
    if (!facts.isViewFresh) {
        return changes;
    }
    const auto now = facts.at;
    auto step = lastUpdate_ == TimePoint{} ? Duration{} : now - lastUpdate_;
    if (step > MaxUpdateGap) {
        // Nothing was observed in this time, so it counts neither for nor against a condition.
        skipPause(step);
        step = {};
    }
    lastUpdate_ = now;
    followConditions(facts, step);
    for (auto entry = episodes_.begin(); entry != episodes_.end();) {
        auto &episode = entry->second;
        if (isDue(episode, now)) {
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

std::vector<Alarm> AlarmBook::active() const
{
    std::vector<Alarm> alarms;
    for (const auto &[cause, episode] : episodes_) {
        if (episode.isRaised) {
            alarms.push_back({episode.condition, episode.since, episode.raisedAt, {}});
        }
    }
    return alarms;
}

std::vector<Alarm> AlarmBook::recent() const
{
    return {recent_.begin(), recent_.end()};
}

}
