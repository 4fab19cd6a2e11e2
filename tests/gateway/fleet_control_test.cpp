// Tests what a gateway learns from the store around a planned stop.

#include "gateway/fleet_control.h"
#include "gateway/fleet_records.h"
#include "tests/gateway/fake_platform.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <gtest/gtest.h>

namespace carawaypoint
{

class FleetControlTest : public testing::Test
{
protected:
    FleetControlTest()
        : store_(io_.get_executor())
        , platform_(store_)
        , control_(io_,
                   settings(),
                   clock_,
                   1,
                   platform_,
                   {.onSnapshot = [this](FleetSnapshotPtr snapshot) { snapshot_ = std::move(snapshot); },
                    .onPeers = [](const std::vector<PeerGateway> &) {},
                    .requestLoad =
                        [] {
                        }})
    {
        put("config", "main", "{}");
        put("servers", "vm-1", "{}");
    }

    static GatewaySettings settings()
    {
        GatewaySettings settings;
        settings.id = MemberId("self");
        settings.zone = ZoneId("a");
        settings.peer = {"127.0.0.1", 1};
        return settings;
    }

    void put(std::string_view kind, std::string_view name, std::string value)
    {
        store_.put(kind, name, std::move(value), WriteCondition::always(), [](std::error_code, std::uint64_t) {});
    }

    template<typename Condition>
    bool runUntil(Condition condition, Duration limit = seconds(5))
    {
        for (const auto end = clock_.now() + limit; clock_.now() < end && !condition();) {
            store_.endWatches(); // the fake's watches do not time out
            io_.restart();
            io_.run_for(milliseconds(20));
        }
        return condition();
    }

    boost::asio::io_context io_;
    SteadyClock clock_;
    CountingStore store_;
    FakePlatform platform_;
    FleetSnapshotPtr snapshot_;
    FleetControl control_;
};

// Guards against a view of servers and configuration that is frozen in a planned stop: for seconds, a request in progress whose server was lost
// found only servers that had left.
TEST_F(FleetControlTest, changesAreFollowedDuringAPlannedStop)
{
    control_.start();
    ASSERT_TRUE(runUntil([this] { return snapshot_ != nullptr; }));
    control_.stop();
    // The watch call in flight sees the first change.
    for (const auto *value : {R"({"new":1})", R"({"new":2})"}) {
        const auto before = snapshot_->config()->version;
        put("config", "main", value);
        EXPECT_TRUE(runUntil([this, before] { return snapshot_->config()->version > before; }, seconds(1))) << value;
    }
}

// Guards against a gateway that stops and keeps or takes the lease.
TEST_F(FleetControlTest, aStoppingGatewayTakesNoLease)
{
    control_.start();
    ASSERT_TRUE(runUntil([this] { return snapshot_ != nullptr; }));
    control_.stop();
    runUntil([] { return false; }, seconds(3));
    MemberId holder;
    store_.fetch("daemons", LeaseKeeper::ObjectName, [&holder](std::error_code, const StoredObject &object) { holder = decodeLease(object.value).holder; });
    runUntil([] { return false; }, milliseconds(100));
    EXPECT_TRUE(holder.isEmpty());
}

// Guards against a gateway that other gateways do not know: the store came back from a copy that was made before it registered.
TEST_F(FleetControlTest, daemonRegistersAgainInARestoredStore)
{
    const auto copy = store_.copy();
    control_.start();
    const auto isRegistered = [this] {
        bool isFound = false;
        store_.fetch("daemons", "daemon.self", [&isFound](std::error_code error, const StoredObject &) { isFound = !error; });
        io_.poll();
        return isFound;
    };
    ASSERT_TRUE(runUntil(isRegistered));
    runUntil([] { return false; }, seconds(1));
    store_.restoreInNewEra(copy);
    ASSERT_FALSE(isRegistered());
    EXPECT_TRUE(runUntil(isRegistered));
}

// Guards against a fleet without orders while the holder of the lease has lost its links to the servers and renews the lease all the same.
TEST_F(FleetControlTest, daemonWithoutLinksToServersLeavesTheLeaseToOthers)
{
    const auto holder = [this] {
        MemberId name;
        store_.fetch("daemons", LeaseKeeper::ObjectName, [&name](std::error_code, const StoredObject &object) { name = decodeLease(object.value).holder; });
        io_.poll();
        return name;
    };
    control_.start();
    ASSERT_TRUE(runUntil([&] { return holder().str() == "self"; }));
    control_.setServersReachable(false);
    EXPECT_TRUE(runUntil([&] { return holder().isEmpty(); }, seconds(1)));
    runUntil([] { return false; }, seconds(2));
    EXPECT_TRUE(holder().isEmpty());
    control_.setServersReachable(true);
    EXPECT_TRUE(runUntil([&] { return holder().str() == "self"; }));
}

}
