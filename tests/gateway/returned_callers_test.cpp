// Which callers count as those that were refused before.

#include "gateway/returned_callers.h"

#include <gtest/gtest.h>

namespace carawaypoint
{

namespace
{
constexpr Duration Timeout = seconds(8);
}

// Guards against callers that come back after a refusal and are refused again like new ones.
TEST(ReturnedCallers, stateLessTimeThanOthersOnTheirRoute)
{
    ReturnedCallers callers;
    EXPECT_FALSE(callers.isReturned("draft", seconds(8), Timeout));
    EXPECT_FALSE(callers.isReturned("draft", milliseconds(7900), Timeout));
    EXPECT_TRUE(callers.isReturned("draft", milliseconds(7500), Timeout));
    EXPECT_FALSE(callers.isReturned("query", milliseconds(7500), Timeout));
}

// Guards against one caller with a huge deadline that makes all others of its route look as if they came back.
TEST(ReturnedCallers, stateNoMoreThanTheRouteAllows)
{
    ReturnedCallers callers;
    EXPECT_FALSE(callers.isReturned("draft", hours(10), Timeout));
    EXPECT_FALSE(callers.isReturned("draft", seconds(8), Timeout));
    EXPECT_TRUE(callers.isReturned("draft", seconds(5), Timeout));
}

// Guards against a route whose timeout was shortened, where all callers would look as if they came back.
TEST(ReturnedCallers, followTheTimeoutOfTheRoute)
{
    ReturnedCallers callers;
    EXPECT_FALSE(callers.isReturned("draft", seconds(8), Timeout));
    EXPECT_FALSE(callers.isReturned("draft", seconds(4), seconds(4)));
}

}
