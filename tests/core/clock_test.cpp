#include "core/clock.h"

#include <gtest/gtest.h>

#include <ctime>

namespace carawaypoint
{

// Guards against a lease that seems valid after its holder was suspended: the steady clock does not advance meanwhile.
TEST(BootTimeClock, followsTheTimeSinceBoot)
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    const auto before = TimePoint(seconds(time.tv_sec) + microseconds(time.tv_nsec / 1000));
    const auto now = BootTimeClock().now();
    EXPECT_GE(now, before);
    EXPECT_LT(now - before, seconds(5));
}

}
