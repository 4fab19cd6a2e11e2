#include "fleet/peak_load.h"

#include <algorithm>

namespace carawaypoint
{

void PeakLoad::record(const Key &model, double requests, TimePoint now)
{
    auto &peaks = peaks_[model];
    const auto age = now - peaks.currentSince;
    if (age >= Interval) {
        peaks.previous = age < 2 * Interval ? peaks.current : 0;
        peaks.current = 0;
        peaks.currentSince = now;
    }
    peaks.current = std::max(peaks.current, requests);
}

double PeakLoad::of(const Key &model) const
{
    const auto found = peaks_.find(model);
    return found == peaks_.end() ? 0 : std::max(found->second.current, found->second.previous);
}

}
