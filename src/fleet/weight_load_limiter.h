#pragma once

#include "core/clock.h"

#include <deque>

namespace carawaypoint
{

/// Limits the start rate and the number of concurrent loads from the weight store.
///
/// More concurrent loads than the store serves at full speed slow down all of them, so a nearly complete replica would wait for
/// one that has just started to load.
class WeightLoadLimiter
{
public:
    /// Window of the start rate limit; the weight store accounts in the same window.
    static constexpr Duration Window = seconds(5);

    void setLimits(double startsPerSecond, unsigned maxConcurrent);
    /// Whether @p count loads may start while @p inProgress run.
    bool mayStart(unsigned count, unsigned inProgress, TimePoint now);
    void recordStarts(unsigned count, TimePoint now);

private:
    void expire(TimePoint now);

    double startsPerSecond_ = 1;
    unsigned maxConcurrent_ = 1;
    std::deque<TimePoint> starts_;
};

}
