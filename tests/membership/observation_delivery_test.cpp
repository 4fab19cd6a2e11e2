#include "simulated_fleet.h"

#include <gtest/gtest.h>

#include <iostream>

namespace carawaypoint::test
{

namespace
{

constexpr int Servers = 325; // of a zone at the target size

std::string serverName(int index)
{
    return "vm-" + std::to_string(index);
}

void probeRound(SimulatedFleet &fleet, std::size_t index, TimePoint start)
{
    fleet.at(start + milliseconds(250), [&fleet, index, start] {
        fleet.table(index).markProbed(start);
        probeRound(fleet, index, start + seconds(1));
    });
}

/// Makes the first prober roles of a settled zone and lets each member probe its servers once a period.
void probeAll(SimulatedFleet &fleet)
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
    // One probe round a period at a phase of the member's own; its answers are complete a quarter of a second later.
    for (std::size_t i = 0; i < fleet.nodes().size(); ++i) {
        probeRound(fleet, i, fleet.now() + milliseconds(static_cast<int>(i * 37 % 1000)));
    }
}

struct Shares {
    double stale = 0;
    Duration oldest{};
};

Shares measure(SimulatedFleet &fleet, int samples)
{
    Shares shares;
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
                shares.oldest = std::max(shares.oldest, age);
                stale += age > seconds(3) ? 1 : 0;
            }
        }
    }
    shares.stale = static_cast<double>(stale) / static_cast<double>(all);
    return shares;
}

}

// Guards against a dissemination that is too slow for the observation bound: a healthy replica would then lose its
// eligibility at random daemons.
TEST(ObservationDelivery, stays_within_the_bound_in_a_zone_of_83)
{
    SimulatedFleet fleet(1);
    fleet.addZone(0, 83);
    fleet.startAll();
    fleet.run(seconds(20));
    probeAll(fleet);
    fleet.run(seconds(10));
    const auto shares = measure(fleet, 40);
    RecordProperty("oldest_ms", static_cast<int>(shares.oldest / milliseconds(1)));
    std::cout << "stale share " << shares.stale << ", oldest " << shares.oldest / milliseconds(1) << " ms\n";
    EXPECT_EQ(shares.stale, 0);
}

}
