// Tests when the lease of the replica controller requires calls to the store.

#include "core/result_code.h"
#include "gateway/fleet_records.h"
#include "gateway/lease_keeper.h"
#include "objects/memory_object_store.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace carawaypoint
{

namespace
{

constexpr Duration Tick = milliseconds(150);

class LeaseKeeperTest : public testing::Test
{
protected:
    LeaseKeeperTest()
        : store_(io_.get_executor())
    {
        clock_.setNow(TimePoint(hours(1)));
    }

    LeaseKeeper keeper(const std::string &name, Duration firstTakeDelay = {})
    {
        return {store_, clock_, "daemons", ControlLease(MemberId(name), 1), {.firstTakeDelay = firstTakeDelay}, [](std::error_code, Duration) {
                }};
    }

    void tickFor(LeaseKeeper &keeper, Duration time)
    {
        for (const auto end = clock_.now() + time; clock_.now() < end; clock_.advance(Tick)) {
            keeper.update();
            io_.restart();
            io_.poll();
        }
    }

    boost::asio::io_context io_;
    ManualClock clock_;
    MemoryObjectStore store_;
};

}

// Guards against a read in each tick of each gateway while the store is unavailable: 77 gateways made 2,300 reads in eight seconds.
TEST_F(LeaseKeeperTest, readsOncePerSecondWhileTheStoreIsUnavailable)
{
    auto first = keeper("a");
    first.onLeaseRead(nullptr);
    tickFor(first, seconds(2));
    ASSERT_TRUE(first.isHeld());
    store_.setDown(true);
    const auto before = store_.calls();
    tickFor(first, seconds(10));
    // One read per second, and more while the lease is still held.
    EXPECT_LE(store_.calls() - before, 20U);
    EXPECT_FALSE(first.isHeld());
    store_.setDown(false);
    tickFor(first, seconds(3));
    EXPECT_TRUE(first.isHeld());
}

// Guards against concurrent lease writes of all gateways of a new fleet.
TEST_F(LeaseKeeperTest, delaysTakingALeaseThatWasNeverHeld)
{
    auto late = keeper("a", seconds(1));
    tickFor(late, milliseconds(600));
    EXPECT_EQ(store_.calls(), 0U) << "no list has been received yet";
    late.onLeaseRead(nullptr);
    tickFor(late, milliseconds(300));
    EXPECT_EQ(store_.calls(), 0U);
    tickFor(late, seconds(1));
    EXPECT_TRUE(late.isHeld());
}

// Guards against a second holder while the first one renews its lease, and against a lapsed lease that is never taken.
TEST_F(LeaseKeeperTest, takesTheLeaseOnlyAfterItHasLapsed)
{
    auto holder = keeper("a");
    auto other = keeper("b");
    const auto showList = [&] {
        store_.fetch("daemons", LeaseKeeper::ObjectName,
                     [&](std::error_code error, const StoredObject &object) { other.onLeaseRead(error ? nullptr : &object); });
    };
    holder.onLeaseRead(nullptr);
    tickFor(holder, seconds(1));
    for (int second = 0; second < 6; ++second) {
        showList();
        tickFor(holder, milliseconds(450));
        tickFor(other, milliseconds(450));
    }
    EXPECT_TRUE(holder.isHeld());
    EXPECT_FALSE(other.isHeld());
    tickFor(other, seconds(8)); // the holder renewed the lease after the last list
    EXPECT_TRUE(other.isHeld());
    EXPECT_GT(other.term(), holder.term());
}

// Guards against a holder that acts after a server has refused its term, on the word of a list that is older than the refusal.
TEST_F(LeaseKeeperTest, readsTheStoreAfterARefusedOrder)
{
    auto holder = keeper("a");
    holder.onLeaseRead(nullptr);
    tickFor(holder, milliseconds(300));
    ASSERT_TRUE(holder.mayAct());
    StoredObject listed;
    store_.fetch("daemons", LeaseKeeper::ObjectName, [&](std::error_code, const StoredObject &object) { listed = object; });
    tickFor(holder, Tick);
    holder.onOrderRefused();
    holder.onLeaseRead(&listed);
    EXPECT_FALSE(holder.mayAct());
    store_.setDown(true);
    tickFor(holder, seconds(1));
    EXPECT_FALSE(holder.mayAct());
    store_.setDown(false);
    tickFor(holder, seconds(1));
    EXPECT_TRUE(holder.mayAct()) << "the store shows that the lease is still held";
}

// Guards against replicas without a controller until the lease lapses after a planned stop.
TEST_F(LeaseKeeperTest, releasesTheLeaseAtAPlannedStop)
{
    auto holder = keeper("a");
    holder.onLeaseRead(nullptr);
    tickFor(holder, seconds(1));
    bool isDone = false;
    holder.release([&isDone] { isDone = true; });
    io_.restart();
    io_.poll();
    EXPECT_TRUE(isDone);
    auto next = keeper("b");
    store_.fetch("daemons", LeaseKeeper::ObjectName, [&](std::error_code, const StoredObject &object) { next.onLeaseRead(&object); });
    tickFor(next, milliseconds(300));
    EXPECT_TRUE(next.isHeld());
}

}
