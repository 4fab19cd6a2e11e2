// Tests the sums of load reports that relays send, and the age of their counts.

#include "gateway/count_age.h"
#include "gateway/load_sums.h"

#include <gtest/gtest.h>

namespace carawaypoint
{

namespace
{

constexpr TimePoint Start{hours(1)};

GatewayLoadReport makeReport(const std::string &gateway, unsigned requests)
{
    GatewayLoadReport report;
    report.gateway = MemberId(gateway);
    report.loads.push_back({VmId("head"), requests, 0, false, false});
    report.requestsStarted = 10;
    return report;
}

GatewayLoadReport makeZoneSum(const std::string &zone, unsigned requests, Duration age)
{
    auto sum = makeReport("relay." + zone, requests);
    sum.zone = ZoneId(zone);
    sum.countAge = age;
    return sum;
}

}

// Load: reports of slow gateways and sums of remote zones arrive late at the top of a wave. Guards against gateways that take such counts for
// newer than they are and admit the requests of the missing time twice.
TEST(LoadSums, stateTheMeanAgeOfTheirCounts)
{
    LoadSums sums;
    sums.setReport(makeReport("a", 30), Start - milliseconds(400));
    sums.setZoneSum(makeZoneSum("z2", 60, milliseconds(300)), Start - milliseconds(200));
    auto own = makeReport("self", 10);
    own.zone = ZoneId("z1");
    const auto zoneSum = sums.zoneSum(own, Start);
    EXPECT_EQ(zoneSum.countAge, milliseconds(300)); // 30 requests of 0.4 s, 10 of now
    const auto fleetSum = sums.fleetSum(zoneSum, Start);
    EXPECT_EQ(fleetSum.countAge, milliseconds(420)); // 40 requests of 0.3 s, 60 of 0.5 s
    ASSERT_EQ(fleetSum.loads.size(), 1U);
    EXPECT_EQ(fleetSum.loads.front().requests, 100U);
    EXPECT_EQ(fleetSum.requestsStarted, 30U);
    const auto decoded = decodeReport(encodeReport(fleetSum));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->countAge, milliseconds(420));
}

// Guards against counting the requests of gateways that are gone.
TEST(LoadSums, leaveOutReportsOfGatewaysThatAreGone)
{
    LoadSums sums;
    sums.setReport(makeReport("a", 30), Start - LoadSums::ReportTimeout);
    const auto sum = sums.zoneSum(makeReport("self", 10), Start);
    EXPECT_EQ(sum.loads.front().requests, 10U);
    EXPECT_EQ(sum.countAge, Duration{});
}

// Guards against an age that stands still when no more sums arrive, and against one in small fleets, whose counts are current.
TEST(CountAge, growsUntilTheNextCounts)
{
    CountAge age;
    EXPECT_EQ(age.at(Start), Duration{});
    age.set(milliseconds(200), Start);
    EXPECT_EQ(age.at(Start + milliseconds(100)), milliseconds(300));
    EXPECT_EQ(age.at(Start + seconds(9)), CountAge::Max);
    age.setCurrent();
    EXPECT_EQ(age.at(Start), Duration{});
}

}
