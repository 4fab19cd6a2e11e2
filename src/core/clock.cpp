#include "core/clock.h"

#include <ctime>

namespace carawaypoint
{

TimePoint BootTimeClock::now() const
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return TimePoint(seconds(time.tv_sec) + microseconds(time.tv_nsec / 1000));
}

}
