#include "fleet/load_pacer.h"

#include "core/time_units.h"

#include <chrono>

namespace carawaypoint
{

void LoadPacer::setRates(double startsPerSecond, unsigned atOnce)
{
    startsPerSecond_ = startsPerSecond;
    atOnce_ = atOnce;
}

void LoadPacer::expire(TimePoint now)
{
    while (!starts_.empty() && now - starts_.front() > Window) {
        starts_.pop_front();
    }
}

bool LoadPacer::mayStart(unsigned count, unsigned inProgress, TimePoint now)
{
    if (count == 0) {
        return true;
    }
    expire(now);
    const double allowed = startsPerSecond_ * inSeconds(Window);
    if (static_cast<double>(starts_.size() + count) > allowed) {
        return false;
    }
    // A replica larger than the store's width may still start alone.
    return inProgress == 0 || inProgress + count <= atOnce_;
}

void LoadPacer::addStarts(unsigned count, TimePoint now)
{
    starts_.insert(starts_.end(), count, now);
}

}
