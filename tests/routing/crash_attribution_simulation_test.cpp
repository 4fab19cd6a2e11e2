// Tests on a virtual clock which requests a fleet refuses, and how many servers are lost until then.

#include "tests/routing/crash_simulation.h"

#include <gtest/gtest.h>

namespace carawaypoint
{

namespace
{

/// A fleet and its load as the simulations play it.
struct FleetCase {
    const char *name;
    unsigned gateways;
    unsigned servers;
    double soundPerSecond;
    double harmfulPerSecond;
    unsigned hops;
    Duration contactTime;
};

constexpr FleetCase FleetCases[] = {
    {"7 gateways", 7, 15, 130, 1.5, 1, seconds(3)},
    {"7 gateways, rare", 7, 15, 130, 0.3, 1, seconds(3)},
    {"7 gateways, frequent", 7, 15, 130, 9, 1, seconds(3)},
    {"61 gateways, through relays", 61, 20, 350, 2.2, 3, seconds(4)},
    {"295 gateways, through relays", 295, 100, 900, 4.5, 4, seconds(5)},
};
/// Those until the quarantine, with some that happen while the evidence spreads. Without a quarantine there are more than forty.
constexpr unsigned MaxCrashes = 12;

/// A request that comes again unchanged, and what else there is of its sessions.
struct RepeatCase {
    const char *name;
    Duration interval;
    unsigned sessions;
    double sessionPerSecond;
};

constexpr RepeatCase RepeatCases[] = {
    {"sound requests of its session", milliseconds(2500), 1, 10},
    {"sound requests of its session, one at a time", milliseconds(2500), 1, 0.4},
    {"sound requests of its session, rare", seconds(8), 1, 10},
    {"sound requests of its session, frequent", milliseconds(400), 1, 10},
    {"two sessions in turn", milliseconds(2500), 2, 5},
    {"other parts each time", milliseconds(2500), 0, 0},
    {"no other request of its session", milliseconds(2500), 1, 0},
    {"no other request of its two sessions", milliseconds(2500), 2, 0},
};

}

// Load: a twentieth of the requests of one kind crash servers, while servers are also lost for other reasons. Guards against crashes that
// go on after the evidence has spread, and against refused sound requests.
TEST(CrashAttributionSimulation, harmfulTraitIsRefusedSoonAndSoundRequestsAreServed)
{
    for (const auto &fleet : FleetCases) {
        const bool isLarge = fleet.gateways > 100; // its simulation takes seconds
        for (std::uint64_t seed = 1; seed <= (isLarge ? 2 : 10); ++seed) {
            CrashSimulation simulation(fleet.gateways, fleet.servers, {fleet.soundPerSecond, fleet.harmfulPerSecond, 0.3, 1}, seed);
            const auto outcome = simulation.run(seconds(isLarge ? 12 : 30), fleet.hops, 0.05, fleet.contactTime);
            EXPECT_LE(outcome.lateHarmful, 3U) << fleet.name << ", seed " << seed;
            EXPECT_LE(outcome.crashes, MaxCrashes) << fleet.name << ", seed " << seed;
            EXPECT_EQ(outcome.refusedSound, 0U) << fleet.name << ", seed " << seed;
        }
    }
}

// Load: servers are lost one by one and in groups, up to half of the fleet each second, and no request is harmful. Guards against a
// quarantine without cause.
TEST(CrashAttributionSimulation, lossesForOtherReasonsQuarantineNothing)
{
    for (const unsigned lossSize : {1U, 4U, 8U}) {
        const bool isMostOfTheFleet = lossSize == 8;
        for (std::uint64_t seed = 1; seed <= 20; ++seed) {
            CrashSimulation simulation(7, 15, {130, 0, 1.0, lossSize, 60}, seed);
            const auto outcome = simulation.run(seconds(60), 1, 0.05, seconds(3));
            EXPECT_LE(outcome.refusedSound, isMostOfTheFleet ? outcome.sound / 1000 : 0U) << lossSize << " servers at a time, seed " << seed;
            EXPECT_TRUE(outcome.quarantines == 0 || isMostOfTheFleet) << lossSize << " servers at a time, seed " << seed;
        }
    }
}

// Guards against a gateway that starts without knowing what the others refuse.
TEST(CrashAttributionSimulation, gatewayThatStartsLearnsTheQuarantine)
{
    CrashSimulation simulation(7, 15, {130, 1.5, 0, 1}, 3);
    simulation.run(seconds(10), 1, 0.05, seconds(3));
    ASSERT_TRUE(simulation.refuses(2, seconds(10)));
    simulation.restartGateway(2);
    EXPECT_FALSE(simulation.refuses(2, seconds(10)));
    simulation.run(seconds(3), 1, 0.05, seconds(3));
    EXPECT_TRUE(simulation.refuses(2, seconds(13)));
}

// Load: one request crashes its servers and comes again, with the parts of sessions whose other requests are answered. Guards against a request that
// is never held back because answers to others of its session clear it, or because its parts differ, and against refused sound requests.
TEST(CrashAttributionSimulation, repeatedRequestIsRefusedAndOthersOfItsSessionAreServed)
{
    for (const auto &fleet : FleetCases) {
        const bool isLarge = fleet.gateways > 100; // its simulation takes seconds
        for (const auto &repeat : RepeatCases) {
            for (std::uint64_t seed = 1; seed <= (isLarge ? 1 : 3); ++seed) {
                CrashSimulation simulation(fleet.gateways, fleet.servers,
                                           {.soundPerSecond = fleet.soundPerSecond,
                                            .harmfulPerSecond = 0,
                                            .lossesPerSecond = 0.1,
                                            .repeatInterval = repeat.interval,
                                            .sessions = repeat.sessions,
                                            .sessionPerSecond = repeat.sessionPerSecond},
                                           seed);
                const auto outcome = simulation.run(isLarge ? seconds(20) : 20 * repeat.interval, fleet.hops, 0.05, fleet.contactTime);
                EXPECT_LE(outcome.lateRepeats, 3U) << fleet.name << ", " << repeat.name << ", seed " << seed;
                EXPECT_LE(outcome.crashes, MaxCrashes) << fleet.name << ", " << repeat.name << ", seed " << seed;
                EXPECT_EQ(outcome.refusedSound, 0U) << fleet.name << ", " << repeat.name << ", seed " << seed;
            }
        }
    }
}

}
