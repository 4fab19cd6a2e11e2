// Tests the estimate of requests that other gateways have sent since their last reports.

#include "gateway/fleet_demand.h"

#include <gtest/gtest.h>

namespace carawaypoint
{

namespace
{

constexpr TimePoint Start{hours(1)};
constexpr Duration CountAge = milliseconds(250);
const ServerPool Large(ServiceId("s"), ModelId("large"));
const ServerPool Small(ServiceId("s"), ModelId("small"));

/// This gateway starts a request every 10 ms, one in four of them for the large model, while the zones report 400 requests per second.
TimePoint simulateSteadyLoad(FleetDemand &demand, TimePoint from, Duration time, std::uint64_t startedBefore)
{
    auto now = from;
    for (int step = 0; now < from + time; ++step) {
        now += milliseconds(10);
        demand.recordRequestStart(now);
        demand.recordChoice(step % 4 == 0 ? Large : Small, now);
        demand.recordReport("zone.a", startedBefore + static_cast<std::uint64_t>(2 * step), now);
        demand.recordReport("zone.b", startedBefore + static_cast<std::uint64_t>(2 * step), now);
    }
    return now;
}

}

// Guards against an estimate that only includes the requests of this gateway.
TEST(FleetDemand, usesReportedRateAndOwnRequestMix)
{
    FleetDemand demand;
    const auto now = simulateSteadyLoad(demand, Start, seconds(5), 1000);
    EXPECT_NEAR(demand.staleness(Large, CountAge, now).startedRequests, 25, 3);
    EXPECT_NEAR(demand.staleness(Small, CountAge, now).startedRequests, 75, 6);
}

// Guards against counting a zone twice: its two relays report the same counter, one with a delay.
TEST(FleetDemand, countsReportsOfTwoRelaysOnce)
{
    FleetDemand demand;
    auto now = Start;
    for (std::uint64_t startedRequests = 0; now < Start + seconds(5); startedRequests += 4) {
        now += milliseconds(10);
        demand.recordRequestStart(now);
        demand.recordChoice(Large, now);
        demand.recordReport("zone.a", 1000 + startedRequests, now);
        demand.recordReport("zone.a", 980 + startedRequests, now);
    }
    EXPECT_NEAR(demand.staleness(Large, CountAge, now).startedRequests, 100, 8);
}

// Guards against an estimate that stays at zero after gateways were replaced and their counters restarted.
TEST(FleetDemand, followsResetCounters)
{
    FleetDemand demand;
    const auto replacedAt = simulateSteadyLoad(demand, Start, seconds(5), 100000);
    const auto now = simulateSteadyLoad(demand, replacedAt, seconds(5), 0);
    EXPECT_NEAR(demand.staleness(Large, CountAge, now).startedRequests, 25, 3);
}

// Guards against refusing requests because of counted requests that have ended since.
TEST(FleetDemand, estimatesShareOfCountedRequestsThatEnded)
{
    FleetDemand demand;
    const auto now = simulateSteadyLoad(demand, Start, seconds(1), 0);
    EXPECT_EQ(demand.staleness(Large, CountAge, now).endedShare, 0);
    for (int request = 0; request < 50; ++request) {
        demand.recordRequestEnd(Large, seconds(1));
    }
    EXPECT_NEAR(demand.staleness(Large, CountAge, now).endedShare, 0.22, 0.01);
    EXPECT_EQ(demand.staleness(Small, CountAge, now).endedShare, 0);
}

// Guards against a model that is short of replicas although its rejected requests look like no load at all.
TEST(FleetDemand, countsRejectedRequestsAsUnmetLoad)
{
    FleetDemand demand;
    const ServerPool pool{ServiceId("s"), ModelId("large")};
    auto now = Start;
    for (int request = 0; request < 200; ++request) {
        demand.recordRejection(pool, now);
        now += milliseconds(50);
    }
    auto unmet = demand.unmetLoads(now);
    ASSERT_EQ(unmet.size(), 1U);
    // 20 requests a second of one second each, until the busy time is known.
    EXPECT_NEAR(unmet.front().requests, 20, 1.5);
    for (int request = 0; request < 100; ++request) {
        demand.recordRequestEnd(pool, milliseconds(2000));
    }
    EXPECT_NEAR(demand.unmetLoads(now).front().requests, 40, 3);
    EXPECT_TRUE(demand.unmetLoads(now + seconds(30)).empty());
}

}
