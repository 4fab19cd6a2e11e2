#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/random.h"

#include <map>
#include <span>
#include <vector>

namespace carawaypoint
{

/// Decides when each engine is probed: once per period, spread over it, and never again while a probe is unanswered.
/// A failed probe is repeated sooner, so that the loss of a member is certain before routers and controllers act on it.
class ProbeSchedule
{
public:
    /// @param period between probes of one engine; @param retry after a probe that failed.
    ProbeSchedule(Duration period, Duration retry, RandomGenerator::result_type seed);

    /// Replaces the set of engines. Engines that stay keep their times.
    void setEngines(std::span<const VmId> engines, TimePoint now);
    /// Engines to probe now; each counts as under way until finished() is called for it.
    std::vector<VmId> due(TimePoint now);
    void finished(const VmId &engine, bool isAnswered, TimePoint now);
    /// Probes @p engine at the next call of due().
    void hurry(const VmId &engine, TimePoint now);

private:
    struct Entry {
        TimePoint next{};
        bool isUnderWay = false;
    };

    Duration period_;
    Duration retry_;
    RandomGenerator random_;
    std::map<VmId, Entry> engines_;
};

}
