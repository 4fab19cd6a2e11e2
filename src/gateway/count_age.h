#pragma once

#include "core/clock.h"

#include <algorithm>

namespace carawaypoint
{

/// Age of the counts that a gateway has of other gateways' requests.
class CountAge
{
public:
    /// Counts that are older are dropped or no longer say anything.
    static constexpr Duration Max = seconds(1);

    /// The gateways report to each other directly, so that the counts count as current.
    void setCurrent()
    {
        isCurrent_ = true;
    }
    /// Counts of the mean age @p age were received.
    void set(Duration age, TimePoint now)
    {
        isCurrent_ = false;
        takenAt_ = now - age;
    }
    /// Zero while the counts count as current.
    Duration at(TimePoint now) const
    {
        return isCurrent_ ? Duration{} : std::clamp(now - takenAt_, Duration{1}, Max);
    }

private:
    bool isCurrent_ = true;
    TimePoint takenAt_{}; // mean time at which the requests were counted
};

}
