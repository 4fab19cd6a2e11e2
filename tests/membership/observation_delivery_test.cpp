#include "simulated_fleet.h"

#include <gtest/gtest.h>

#include <iostream>

namespace carawaypoint::test
{

namespace
{

constexpr int Servers = 325; // backend servers in a zone of the target size

std::string serverName(int index)
{
    return "vm-" + std::to_string(index);
}

void scheduleProbeRound(SimulatedFleet &fleet, std::size_t index, TimePoint start)
{
    fleet.at(start + milliseconds(250), [&fleet, index, start] {
        fleet.table(index).recordProbeRound(start);
        scheduleProbeRound(fleet, index, start + seconds(1));
    });
}

/// Assigns each server to its probers and lets each member probe its servers once a period. Call it once the zone's members
/// know each other.
void startProbing(SimulatedFleet &fleet)
{
    for (std::size_t i = 0; i < fleet.nodes().size(); ++i) {
        auto &table = fleet.table(i);
        for (int s = 0; s < Servers; ++s) {
            if (table.isProberOf(VmId(serverName(s)), fleet.now())) {
                ServerState state;
                state.isSeen = true;
                state.isLoaded = true;
                table.setObservation(VmId(serverName(s)), state, fleet.now());
            }
        }
    }
    // Each member probes once a period with its own phase. The responses are complete 0.25 s later.
    for (std::size_t i = 0; i < fleet.nodes().size(); ++i) {
        scheduleProbeRound(fleet, i, fleet.now() + milliseconds(static_cast<int>(i * 37 % 1000)));
    }
}

struct ObservationAges {
    double stale = 0;
    Duration oldest{};
};

ObservationAges measureObservationAges(SimulatedFleet &fleet, int samples)
{
    ObservationAges ages;
    std::size_t stale = 0;
    std::size_t all = 0;
    for (int sample = 0; sample < samples; ++sample) {
        fleet.run(milliseconds(500));
        for (std::size_t i = 0; i < fleet.nodes().size(); ++i) {
            const auto servers = fleet.table(i).observations(fleet.now());
            all += Servers;
            stale += Servers - servers.size();
            for (const auto &server : servers) {
                const auto age = fleet.now() - server.lastSeen;
                ages.oldest = std::max(ages.oldest, age);
                stale += age > seconds(3) ? 1 : 0;
            }
        }
    }
    ages.stale = static_cast<double>(stale) / static_cast<double>(all);
    return ages;
}

}

// Guards against observations that reach some members of a zone later than the observation bound (3 s). These daemons would
// then treat healthy replicas as ineligible.
TEST(ObservationDelivery, stays_within_the_bound_in_a_zone_of_83)
{
    SimulatedFleet fleet(1);
    fleet.addZone(0, 83);
    fleet.startAll();
    fleet.run(seconds(20));
    startProbing(fleet);
    fleet.run(seconds(10));
    const auto ages = measureObservationAges(fleet, 40);
    RecordProperty("oldest_ms", static_cast<int>(ages.oldest / milliseconds(1)));
    std::cout << "stale share " << ages.stale << ", oldest " << ages.oldest / milliseconds(1) << " ms\n";
    EXPECT_EQ(ages.stale, 0);
}

}
