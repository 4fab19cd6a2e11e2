#include "assignment/probe_schedule.h"

#include <algorithm>

namespace carawaypoint
{

ProbeSchedule::ProbeSchedule(Duration period, Duration retry, RandomGenerator::result_type seed)
    : period_(period)
    , retry_(retry)
    , random_(seed)
{
}

void ProbeSchedule::setEngines(std::span<const VmId> engines, TimePoint now)
{
    std::map<VmId, Entry> next;
    for (const auto &engine : engines) {
        const auto known = engines_.find(engine);
        if (known != engines_.end()) {
            next.emplace(engine, known->second);
            continue;
        }
        const auto offset = std::uniform_int_distribution<Duration::rep>(0, period_.count())(random_);
        next.emplace(engine, Entry{now + Duration(offset), false});
    }
    engines_ = std::move(next);
}

std::vector<VmId> ProbeSchedule::due(TimePoint now)
{
    std::vector<VmId> due;
    for (auto &[engine, entry] : engines_) {
        if (!entry.isUnderWay && entry.next <= now) {
            entry.isUnderWay = true;
            // From the planned time, so that the spread is kept; not from the past, so that a pause causes no burst.
            entry.next = std::max(entry.next + period_, now + period_ / 2);
            due.push_back(engine);
        }
    }
    return due;
}

void ProbeSchedule::finished(const VmId &engine, bool isAnswered, TimePoint now)
{
    const auto found = engines_.find(engine);
    if (found == engines_.end()) {
        return;
    }
    found->second.isUnderWay = false;
    if (!isAnswered) {
        found->second.next = std::min(found->second.next, now + retry_);
    }
}

void ProbeSchedule::hurry(const VmId &engine, TimePoint now)
{
    const auto found = engines_.find(engine);
    if (found != engines_.end()) {
        found->second.next = std::min(found->second.next, now);
    }
}

}
