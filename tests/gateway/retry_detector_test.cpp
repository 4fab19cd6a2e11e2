// Tests which requests count as retries after a refusal.

#include "gateway/retry_detector.h"

#include <gtest/gtest.h>

namespace carawaypoint
{

namespace
{
constexpr Duration Timeout = seconds(8);
}

// Guards against treating retries after a refusal like new requests, which would refuse them again.
TEST(RetryDetector, detectsRetryByShorterDeadline)
{
    RetryDetector callers;
    EXPECT_FALSE(callers.isRetry("draft", seconds(8), Timeout));
    EXPECT_FALSE(callers.isRetry("draft", milliseconds(7900), Timeout));
    EXPECT_TRUE(callers.isRetry("draft", milliseconds(7500), Timeout));
    EXPECT_FALSE(callers.isRetry("query", milliseconds(7500), Timeout));
}

// Guards against one caller with a very long deadline that makes all other requests of its route look like retries.
TEST(RetryDetector, limitsStatedTimeToTheRouteTimeout)
{
    RetryDetector callers;
    EXPECT_FALSE(callers.isRetry("draft", hours(10), Timeout));
    EXPECT_FALSE(callers.isRetry("draft", seconds(8), Timeout));
    EXPECT_TRUE(callers.isRetry("draft", seconds(5), Timeout));
}

// Guards against treating all requests as retries after the timeout of their route was shortened.
TEST(RetryDetector, followsChangedRouteTimeout)
{
    RetryDetector callers;
    EXPECT_FALSE(callers.isRetry("draft", seconds(8), Timeout));
    EXPECT_FALSE(callers.isRetry("draft", seconds(4), seconds(4)));
}

}
