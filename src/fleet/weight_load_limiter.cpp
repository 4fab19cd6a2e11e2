#include "fleet/weight_load_limiter.h"

#include "core/time_units.h"

#include <chrono>

namespace carawaypoint
{

void WeightLoadLimiter::setLimits(double startsPerSecond, unsigned maxConcurrent)
{
    startsPerSecond_ = startsPerSecond;
    maxConcurrent_ = maxConcurrent;
}

void WeightLoadLimiter::expire(TimePoint now)
{
    while (!starts_.empty() && now - starts_.front() > Window) {
        starts_.pop_front();
    }
}

bool WeightLoadLimiter::mayStart(unsigned count, unsigned inProgress, TimePoint now)
{
    if (count == 0) {
        return true;
    }
    expire(now);
    const double allowed = startsPerSecond_ * inSeconds(Window);
    if (static_cast<double>(starts_.size() + count) > allowed) {
        return false;
    }
    // A replica that needs more loads than the concurrency limit may still start when no other load runs.
    return inProgress == 0 || inProgress + count <= maxConcurrent_;
}

void WeightLoadLimiter::recordStarts(unsigned count, TimePoint now)
{
    starts_.insert(starts_.end(), count, now);
}

}
