// Tests when a gateway that follows the store through relays calls the store itself.

#include "gateway/store_mirror.h"
#include "observe/metrics.h"
#include "tests/gateway/fake_platform.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <gtest/gtest.h>

#include <functional>

namespace carawaypoint
{

namespace
{

constexpr Duration Tick = milliseconds(50);

/// A gateway with slow links, in a fleet whose relays do not exist.
class StoreMirrorTest : public testing::Test
{
protected:
    StoreMirrorTest()
        : store_(io_.get_executor())
        , platform_(store_)
        , mirror_(io_,
                  clock_,
                  platform_,
                  {[] {}, [this](std::string_view, std::error_code error, Duration callTime) { mirror_.recordStoreResult(error, callTime); },
                   [] {
                   }})
    {
        store_.setRestorationHandler([this](std::uint64_t, std::uint64_t) { mirror_.onStoreRestored(); });
        store_.put("config", "main", "{}", WriteCondition::always(), [](std::error_code, std::uint64_t) {});
        store_.put("servers", "vm-1", "{}", WriteCondition::always(), [](std::error_code, std::uint64_t) {});
        std::vector<PeerGateway> peers;
        for (unsigned number = 0; number < 20; ++number) {
            peers.push_back({MemberId("g" + std::to_string(number)), ZoneId("a"), {"127.0.0.1", 1}, {"127.0.0.1", 1}, 200});
        }
        const boost::asio::ip::udp::socket free(io_, {boost::asio::ip::make_address("127.0.0.1"), 0});
        port_ = free.local_endpoint().port();
        mirror_.setPlan(RelayPlan({MemberId("self"), ZoneId("a"), {"127.0.0.1", 2}, {"127.0.0.1", port_}, 20}, peers), false);
    }

    void runFor(Duration time)
    {
        runUntil([] { return false; }, time);
    }

    void put(std::string_view kind, std::string_view name, std::string value)
    {
        store_.put(kind, name, std::move(value), WriteCondition::always(), [](std::error_code, std::uint64_t) {});
    }

    /// The store is away for a moment and comes back as @p copy. The operator writes @p config, if any, and others make @p writes changes before the
    /// gateway calls it again.
    void restore(const MemoryObjectStore::Copy &copy, unsigned writes, const std::string &config = {})
    {
        store_.setDown(true);
        runFor(2 * Tick);
        store_.restoreInNewEra(copy);
        store_.setDown(false);
        if (!config.empty()) {
            put("config", "main", config);
        }
        for (unsigned number = 0; number < writes; ++number) {
            put("daemons", "other", std::to_string(number));
        }
    }

    /// Runs until @p condition holds, at most for @p limit.
    void runUntil(const std::function<bool()> &condition, Duration limit = seconds(20))
    {
        for (const auto end = clock_.now() + limit; clock_.now() < end && !condition();) {
            mirror_.tick(false);
            store_.endWatches(); // the fake's watches do not time out
            io_.restart();
            io_.run_for(Tick);
        }
    }

    boost::asio::io_context io_;
    SteadyClock clock_;
    CountingStore store_;
    FakePlatform platform_;
    StoreMirror mirror_;
    std::uint16_t port_ = 0;
};

}

// Load: all relays are gone or turned away by the store, which serves the other gateways. Guards against gateways that get no changes.
TEST_F(StoreMirrorTest, watchesTheStoreWhenTheRelaysAreSilent)
{
    ASSERT_FALSE(mirror_.open({"127.0.0.1", port_}));
    mirror_.start(false);
    EXPECT_EQ(store_.callsByKind["servers"] + store_.callsByKind["config"], 0U) << "the relays are asked first";
    runUntil([this] { return mirror_.isWatching() && mirror_.isReady(); });
    EXPECT_TRUE(mirror_.isWatching());
    EXPECT_TRUE(mirror_.isReady());
    EXPECT_EQ(mirror_.servers().size(), 1U);
}

// Load: the store is unavailable to the whole fleet, so that the relays fall silent and all gateways call it. Guards against calls for each kind
// of objects, and against retries without a growing delay: 295 gateways made 9,800 calls in a day with an outage of eight seconds.
TEST_F(StoreMirrorTest, probesAnUnavailableStoreWithFewCalls)
{
    ASSERT_FALSE(mirror_.open({"127.0.0.1", port_}));
    store_.setDown(true);
    mirror_.start(false);
    runFor(seconds(5));
    EXPECT_LE(store_.callsByKind["config"], 4U);
    EXPECT_LE(store_.callsByKind["servers"], 3U);
    EXPECT_FALSE(mirror_.isWatching());
    store_.setDown(false);
    runUntil([this] { return mirror_.isReady(); });
    EXPECT_TRUE(mirror_.isReady());
}

/// A gateway of a small fleet, which watches the store itself.
class DirectStoreMirrorTest : public StoreMirrorTest
{
protected:
    DirectStoreMirrorTest()
    {
        mirror_.setPlan(RelayPlan({MemberId("self"), ZoneId("a"), {"127.0.0.1", 2}, {"127.0.0.1", port_}, 20}, {}), false);
        mirror_.start(false);
        runUntil([this] { return mirror_.isReady(); });
    }
};

// Guards against a confirmed configuration that is never in force: the store came back from an older copy and passed the watched revision before the
// next watch, which then said nothing of the version that was written below it.
TEST_F(DirectStoreMirrorTest, configurationOfARestoredStoreComesIntoForce)
{
    put("config", "main", R"({"version":10})");
    runUntil([this] { return mirror_.config()->version == 10; }, seconds(1));
    const auto copy = store_.copy();
    for (unsigned number = 0; number < 20; ++number) {
        put("servers", "vm-2", std::to_string(number));
    }
    runUntil([this] { return mirror_.servers().size() == 2; }, seconds(1));
    restore(copy, 30, R"({"version":11})");
    runUntil([this] { return mirror_.config()->version == 11; }, seconds(2));
    EXPECT_EQ(mirror_.config()->version, 11U);
}

// Guards against a gateway that goes back to the configuration of an older copy before the operator has written the newer one again, and against one
// that does not follow the store after that.
TEST_F(DirectStoreMirrorTest, newestConfigurationStaysInForceUntilTheOperatorHasWrittenAgain)
{
    put("config", "main", R"({"version":10})");
    const auto copy = store_.copy();
    put("config", "main", R"({"version":11})");
    runUntil([this] { return mirror_.config()->version == 11; }, seconds(1));
    restore(copy, 0);
    runFor(seconds(1));
    EXPECT_EQ(mirror_.config()->version, 11U);
    put("config", "main", R"({"version":12})");
    runUntil([this] { return mirror_.config()->version == 12; }, seconds(1));
    EXPECT_EQ(mirror_.config()->version, 12U);
}

// Guards against removing running servers that registered after the copy was made, and have not yet registered again.
TEST_F(DirectStoreMirrorTest, serversThatTheOlderCopyLacksAreKeptUntilTheyRegisterAgain)
{
    const auto copy = store_.copy();
    put("servers", "vm-2", "{}");
    runUntil([this] { return mirror_.takeChange() && mirror_.servers().size() == 2; }, seconds(1));
    restore(copy, 0);
    runFor(seconds(1));
    mirror_.takeChange();
    EXPECT_EQ(mirror_.servers().size(), 2U);
    runUntil([this] { return mirror_.takeChange() && mirror_.servers().size() == 1; }, seconds(4));
    EXPECT_EQ(mirror_.servers().size(), 1U);
}

// Guards against a restoration that is missed because a second one follows before the gateway has listed anew.
TEST_F(DirectStoreMirrorTest, storeIsRestoredTwiceInARow)
{
    put("config", "main", R"({"version":10})");
    const auto copy = store_.copy();
    put("config", "main", R"({"version":11})");
    runUntil([this] { return mirror_.config()->version == 11; }, seconds(1));
    restore(copy, 5, R"({"version":12})");
    restore(copy, 10, R"({"version":13})");
    runUntil([this] { return mirror_.config()->version == 13; }, seconds(2));
    EXPECT_EQ(mirror_.config()->version, 13U);
}

// Guards against an old configuration in force for seconds after an outage of the store: the watch call for it, which the silent store had
// swallowed, was left to time out although the store answered other calls again.
TEST_F(DirectStoreMirrorTest, hangingWatchIsReplacedWhenTheStoreAnswersAnotherCall)
{
    store_.swallowWatches("config");
    store_.endWatches();
    runFor(Tick);
    const auto before = mirror_.config()->version;
    store_.put("config", "main", R"({"new":1})", WriteCondition::always(), [](std::error_code, std::uint64_t) {});
    runFor(2 * Tick);
    ASSERT_EQ(mirror_.config()->version, before);
    store_.swallowWatches("");
    mirror_.recordStoreResult(std::make_error_code(std::errc::timed_out), {});
    runFor(4 * Tick);
    EXPECT_GT(mirror_.config()->version, before);
}

// Guards against a call that waits for a change while the store is unavailable: it hangs for seconds when the store returns meanwhile.
TEST_F(DirectStoreMirrorTest, callsToAnUnavailableStoreDoNotWaitForChanges)
{
    constexpr Duration ShortWait = milliseconds(10);
    ASSERT_GT(store_.lastWaitByKind["config"], ShortWait);
    store_.setDown(true);
    runFor(seconds(1));
    EXPECT_LE(store_.lastWaitByKind["config"], ShortWait);
    EXPECT_LE(store_.lastWaitByKind["servers"], ShortWait);
    store_.setDown(false);
    runFor(seconds(1));
    EXPECT_GT(store_.lastWaitByKind["config"], ShortWait);
}

// Guards against a removed server that gets requests for seconds after an outage of the store: a call that the silent store had swallowed failed
// only after the store had answered others, and removals were deferred anew from there.
TEST_F(DirectStoreMirrorTest, lateFailureOfACallFromBeforeTheLatestAnswerDefersNoRemoval)
{
    ASSERT_EQ(mirror_.servers().size(), 1U);
    runFor(Tick); // with answers
    mirror_.recordStoreResult(std::make_error_code(std::errc::timed_out), seconds(3));
    store_.remove("servers", "vm-1", WriteCondition::always(), [](std::error_code) {});
    runUntil([this] { return mirror_.takeChange() && mirror_.servers().empty(); }, seconds(1));
    EXPECT_TRUE(mirror_.servers().empty());
}

// Guards against removing running servers whose registrations lapsed in an outage: a call that was sent after the latest answer shows it.
TEST_F(DirectStoreMirrorTest, failureOfALaterCallDefersRemovals)
{
    runFor(Tick);
    mirror_.recordStoreResult(std::make_error_code(std::errc::timed_out), {});
    store_.remove("servers", "vm-1", WriteCondition::always(), [](std::error_code) {});
    runFor(seconds(1));
    mirror_.takeChange();
    EXPECT_EQ(mirror_.servers().size(), 1U);
    runUntil([this] { return mirror_.takeChange() && mirror_.servers().empty(); }, seconds(3));
    EXPECT_TRUE(mirror_.servers().empty());
}

// Guards against requests to a server whose registration another writer has replaced by one that cannot be read, also while removals are deferred,
// and against a list of all servers, or a log line, for each heartbeat of such a writer.
TEST_F(DirectStoreMirrorTest, serverWhoseRegistrationCannotBeReadLeavesTheViewAtOnce)
{
    const auto reported = [] {
        const auto text = metricsRegistry().serialize();
        const std::string name = R"(carawaypoint_unreadable_objects_total{kind="servers"} )";
        const auto position = text.find(name);
        return position == std::string::npos ? 0.0 : std::stod(text.substr(position + name.size()));
    };
    store_.put("servers", "vm-2", "{}", WriteCondition::always(), [](std::error_code, std::uint64_t) {});
    runUntil([this] { return mirror_.takeChange() && mirror_.servers().size() == 2; }, seconds(1));
    const auto lists = mirror_.serverListCount();
    const auto before = reported();
    mirror_.recordStoreResult(std::make_error_code(std::errc::timed_out), {});
    store_.put("servers", "vm-1", "", WriteCondition::always(), [](std::error_code, std::uint64_t) {});
    runUntil([this] { return mirror_.takeChange() && mirror_.servers().size() == 1; }, seconds(1));
    ASSERT_EQ(mirror_.servers().size(), 1U);
    EXPECT_EQ(mirror_.servers().begin()->first.str(), "vm-2");
    EXPECT_EQ(mirror_.serverListCount(), lists);
    EXPECT_EQ(reported(), before + 1);

    mirror_.relistServers();
    runUntil([this, lists] { return mirror_.serverListCount() > lists; }, seconds(1));
    EXPECT_EQ(mirror_.servers().size(), 1U);
    EXPECT_EQ(reported(), before + 1) << "a list repeats what is known";
    store_.put("servers", "vm-1", "{}", WriteCondition::always(), [](std::error_code, std::uint64_t) {});
    runUntil([this] { return mirror_.takeChange() && mirror_.servers().size() == 2; }, seconds(1));
    EXPECT_EQ(mirror_.servers().size(), 2U) << "it can be read again";
}

}
