#include "assignment/probe_schedule.h"

#include <algorithm>

namespace carawaypoint
{

ProbeSchedule::ProbeSchedule(Duration period, Duration retryDelay, RandomGenerator::result_type seed)
    : period_(period)
    , retryDelay_(retryDelay)
    , random_(seed)
{
}

void ProbeSchedule::setEngines(std::span<const VmId> engines, TimePoint now)
{
    std::map<VmId, EngineSchedule> next;
    for (const auto &engine : engines) {
        const auto known = engines_.find(engine);
        if (known != engines_.end()) {
            next.emplace(engine, known->second);
            continue;
        }
        const auto offset = std::uniform_int_distribution<Duration::rep>(0, period_.count())(random_);
        next.emplace(engine, EngineSchedule{now + Duration(offset), false});
    }
    engines_ = std::move(next);
}

std::vector<VmId> ProbeSchedule::dueEngines(TimePoint now)
{
    std::vector<VmId> due;
    for (auto &[engine, entry] : engines_) {
        if (!entry.isProbeInFlight && entry.nextProbeAt <= now) {
            entry.isProbeInFlight = true;
            // Counts from the planned time, to keep the probes distributed, but at least half a period from now, so that a
            // pause of the process causes no burst of probes.
            entry.nextProbeAt = std::max(entry.nextProbeAt + period_, now + period_ / 2);
            due.push_back(engine);
        }
    }
    return due;
}

void ProbeSchedule::recordProbeResult(const VmId &engine, bool isAnswered, TimePoint now)
{
    const auto found = engines_.find(engine);
    if (found == engines_.end()) {
        return;
    }
    found->second.isProbeInFlight = false;
    if (!isAnswered) {
        found->second.nextProbeAt = std::min(found->second.nextProbeAt, now + retryDelay_);
    }
}

void ProbeSchedule::requestProbe(const VmId &engine, TimePoint now)
{
    const auto found = engines_.find(engine);
    if (found != engines_.end()) {
        found->second.nextProbeAt = std::min(found->second.nextProbeAt, now);
    }
}

}
