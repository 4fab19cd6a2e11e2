#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"

#include <map>
#include <span>
#include <vector>

namespace carawaypoint
{

/// Schedules the probes of engines: one per engine and period, at times distributed over the period, and none while the last
/// one is unanswered. A failed probe is repeated sooner, so that the loss of a member is certain before routers and
/// controllers act on it.
class ProbeSchedule
{
public:
    /// @param period time between probes of one engine.
    /// @param retryDelay time between a failed probe and the next.
    ProbeSchedule(Duration period, Duration retryDelay, RandomGenerator::result_type seed);

    /// Replaces the set of engines. Engines that were in the old set keep their schedule.
    void setEngines(std::span<const VmId> engines, TimePoint now);
    /// Engines to probe now; the probe of each counts as in flight until recordProbeResult() is called for it.
    std::vector<VmId> dueEngines(TimePoint now);
    /// Records the end of a probe.
    void recordProbeResult(const VmId &engine, bool isAnswered, TimePoint now);
    /// Makes a probe of @p engine due at the next call of dueEngines().
    void requestProbe(const VmId &engine, TimePoint now);

private:
    struct EngineSchedule {
        TimePoint nextProbeAt{};
        bool isProbeInFlight = false;
    };

    Duration period_;
    Duration retryDelay_;
    RandomGenerator random_;
    std::map<VmId, EngineSchedule> engines_;
};

}
