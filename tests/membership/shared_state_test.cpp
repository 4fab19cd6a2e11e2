#include "membership/shared_state.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace carawaypoint
{

// Guards against a server that looks fresh although its prober no longer sees it. It comes about when a reader uses a freshness
// stamp and the message with the changed observation was lost.
TEST(SharedState, ignoresAStampWhoseObservationsAreMissing)
{
    const MemberRecord owner{MemberId("o"), ZoneId("z"), {"a", 1}, 1};
    const MemberRecord reader{MemberId("r"), ZoneId("z"), {"b", 1}, 1};
    TimePoint now{hours(1)};
    RandomGenerator random;
    SharedState source(owner, now);
    SharedState state(reader, now);
    state.addOwner(owner);
    StateEntry entry;
    entry.key = "vm";
    entry.server.isSeen = true;
    source.setOwn(entry, now, true);
    const auto pull = [&] {
        state.apply(source.newerDeltas(state.zoneStamps(now), ZoneId("z"), 64, random), source.zoneStamps(now), now);
    };
    for (int i = 0; i < 3; ++i) {
        now += seconds(1);
        source.markOwnSeen(now);
        pull();
    }
    ASSERT_EQ(state.observations(now).at(0).lastSeen, now);
    const auto before = now;
    now += seconds(1);
    entry.server.isSeen = false;
    source.setOwn(entry, now, true);
    source.markOwnSeen(now);
    state.apply({}, source.zoneStamps(now), now); // the delta was lost
    EXPECT_EQ(state.observations(now).at(0).lastSeen, before);
    pull();
    EXPECT_EQ(state.observations(now).at(0).lastSeen, TimePoint{});
}

// Guards against an unbounded number of markers of removed entries, and against readers that keep removed entries.
TEST(SharedState, boundsMarkersOfRemovedEntries)
{
    const MemberRecord owner{MemberId("o"), ZoneId("z"), {"a", 1}, 1};
    TimePoint now{hours(1)};
    RandomGenerator random;
    SharedState source(owner, now);
    SharedState state({MemberId("r"), ZoneId("z"), {"b", 1}, 1}, now);
    state.addOwner(owner);
    for (int i = 0; i < 2000; ++i) {
        StateEntry entry;
        entry.key = "vm" + std::to_string(i);
        source.setOwn(entry, now, true);
        if (i == 100) {
            for (int pulls = 0; pulls < 4; ++pulls) {
                state.apply(source.newerDeltas(state.zoneStamps(now), ZoneId("z"), 64, random), {}, now);
            }
            ASSERT_GT(state.observations(now).size(), 0U);
        }
        if (i >= 10) {
            source.removeOwn(EntryKind::Observation, "vm" + std::to_string(i - 10), now);
        }
    }
    EXPECT_LE(source.entryCount(), 300U);
    for (int pulls = 0; pulls < 10; ++pulls) {
        state.apply(source.newerDeltas(state.zoneStamps(now), ZoneId("z"), 64, random), {}, now);
    }
    EXPECT_EQ(state.observations(now).size(), 10U);
}

// Guards against old stamps that look new. Stamps wrap after 655 s, so a stamp that a member kept during a partition would look
// new after half of that time.
TEST(SharedState, doesNotSendOldStamps)
{
    const MemberRecord owner{MemberId("o"), ZoneId("z"), {"a", 1}, 1};
    TimePoint now{hours(1)};
    SharedState source(owner, now);
    SharedState state({MemberId("r"), ZoneId("z"), {"b", 1}, 1}, now);
    state.addOwner(owner);
    for (int i = 0; i < 3; ++i) {
        now += seconds(1);
        source.markOwnSeen(now);
        state.apply({{source.zoneStamps(now).at(0).owner, 0, 0, 1, {}}}, source.zoneStamps(now), now);
    }
    const auto stampOfOwner = [&] {
        const auto stamps = state.zoneStamps(now);
        return *std::find_if(stamps.begin(), stamps.end(), [&](const auto &stamp) { return stamp.owner == source.zoneStamps(now).at(0).owner; });
    };
    EXPECT_TRUE(stampOfOwner().hasStamp);
    now += MaxStampAge + seconds(1);
    EXPECT_FALSE(stampOfOwner().hasStamp);
}

}
