#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <map>
#include <utility>

namespace carawaypoint
{

/// Remembers the highest load of each model in the recent past. Does no I/O; the time is passed in.
///
/// Demand rises and falls within seconds. A model at the low point of a wave must not give away the servers that it needs at the next peak.
class PeakLoad
{
public:
    using Key = std::pair<ServiceId, ModelId>;

    /// A peak is remembered for one to two intervals.
    static constexpr Duration Interval = seconds(8);

    /// @param requests load in requests in progress.
    void record(const Key &model, double requests, TimePoint now);
    /// The highest load that was recorded for the model and is still remembered, in requests; 0 when there is none.
    double of(const Key &model) const;

private:
    struct Peaks {
        double current = 0;
        double previous = 0;
        TimePoint currentSince{};
    };
    std::map<Key, Peaks> peaks_;
};

}
