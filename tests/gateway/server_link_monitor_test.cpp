// Tests when a gateway checks its links to the backend servers, and what it concludes.

#include "gateway/server_link_monitor.h"

#include <gtest/gtest.h>

namespace carawaypoint
{

namespace
{

constexpr TimePoint Start{hours(1)};

class ServerLinkMonitorTest : public testing::Test
{
protected:
    void fail(unsigned connects)
    {
        for (unsigned number = 0; number < connects; ++number) {
            monitor_.recordConnect(false);
        }
    }
    bool check(LinkCheckResult result, TimePoint at)
    {
        monitor_.recordCheckStart(at);
        return monitor_.recordCheckResult(result, at);
    }

    ServerLinkMonitor monitor_;
};

}

// Guards against a cut that is noticed only by the timeouts of requests, and against checks because of single servers that are lost.
TEST_F(ServerLinkMonitorTest, failuresInARowLeadToACheck)
{
    fail(2);
    EXPECT_FALSE(monitor_.isCheckDue(Start));
    monitor_.recordConnect(true);
    fail(2);
    EXPECT_FALSE(monitor_.isCheckDue(Start));
    fail(1);
    EXPECT_TRUE(monitor_.isCheckDue(Start));
    monitor_.recordConnect(true);
    EXPECT_FALSE(monitor_.isCheckDue(Start));
}

// Guards against a cut in which open connections carry nothing and no new one is needed.
TEST_F(ServerLinkMonitorTest, silenceOfAllServersLeadsToACheck)
{
    EXPECT_FALSE(monitor_.isCheckDue(Start + seconds(9))) << "no request waits";
    monitor_.recordRequestStart(Start + seconds(9));
    EXPECT_FALSE(monitor_.isCheckDue(Start + milliseconds(9600)));
    EXPECT_TRUE(monitor_.isCheckDue(Start + milliseconds(9700)));
    monitor_.recordData(Start + milliseconds(9700));
    EXPECT_FALSE(monitor_.isCheckDue(Start + milliseconds(9800)));
    monitor_.recordRequestEnd();
    EXPECT_FALSE(monitor_.isCheckDue(Start + seconds(20)));
}

// Guards against connections without end to servers that are down, which are opened for checks only.
TEST_F(ServerLinkMonitorTest, checksAreLimited)
{
    fail(3);
    ASSERT_TRUE(monitor_.isCheckDue(Start));
    monitor_.recordCheckStart(Start);
    EXPECT_FALSE(monitor_.isCheckDue(Start + seconds(3))) << "a check is in progress";
    EXPECT_FALSE(monitor_.recordCheckResult(LinkCheckResult::Unknown, Start + seconds(3)));
    EXPECT_FALSE(monitor_.isCheckDue(Start + milliseconds(3900)));
    EXPECT_TRUE(monitor_.isCheckDue(Start + seconds(4)));
}

// Guards against a gateway that leaves its detour because the others fail for a moment, and against one that never leaves it.
TEST_F(ServerLinkMonitorTest, onlyADirectConnectionEndsACut)
{
    fail(3);
    EXPECT_TRUE(check(LinkCheckResult::Lost, Start));
    EXPECT_TRUE(monitor_.isCutOff());
    EXPECT_TRUE(monitor_.isCheckDue(Start + milliseconds(500)));
    EXPECT_FALSE(check(LinkCheckResult::Unknown, Start + milliseconds(500)));
    EXPECT_TRUE(monitor_.isCutOff());
    EXPECT_TRUE(check(LinkCheckResult::Sound, Start + seconds(1)));
    EXPECT_FALSE(monitor_.isCutOff());
    EXPECT_FALSE(monitor_.isCheckDue(Start + seconds(9))) << "the failures are those of the cut";
}

}
