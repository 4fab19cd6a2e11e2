#include "gateway/change_feed.h"
#include "gateway/change_follower.h"
#include "gateway/fleet_records.h"
#include "gateway/kind_watcher.h"
#include "objects/memory_object_store.h"
#include "tests/support/test_sockets.h"

#include <gtest/gtest.h>

namespace carawaypoint
{

namespace
{

constexpr TimePoint Start{hours(1)};

ObjectEvent makeEvent(const std::string &name, std::uint64_t version)
{
    return {{"", name, version, R"({"state":"ready"})"}, false};
}

ChangeNotice makeNotice(std::uint64_t from, std::uint64_t to)
{
    ChangeNotice notice{from, to, 3, {}, {}, true};
    if (to > from) {
        notice.changes.push_back(makeEvent("x", to));
    }
    return notice;
}

/// Counts the watch calls.
class CountingStore : public MemoryObjectStore
{
public:
    using MemoryObjectStore::MemoryObjectStore;

    void watch(std::string_view kind, std::uint64_t afterRevision, Duration wait, WatchHandler handler) override
    {
        ++watches;
        MemoryObjectStore::watch(kind, afterRevision, wait, std::move(handler));
    }

    unsigned watches = 0;
};

class SuspendedWatcher : public testing::Test
{
protected:
    SuspendedWatcher()
        : store_(io_.get_executor())
    {
        KindWatcher::Hooks hooks;
        hooks.onList = [](const std::vector<StoredObject> &) {
        };
        hooks.onEvents = [this](std::span<const ObjectEvent> events) {
            events_ += events.size();
        };
        hooks.onFailure = [](std::error_code) {
        };
        watcher_ = std::make_shared<KindWatcher>(io_.get_executor(), store_, KindWatcher::Settings{.kind = "things", .wait = seconds(60)}, hooks);
        watcher_->start();
        run();
    }

    ~SuspendedWatcher() override
    {
        watcher_->stop();
    }

    void run()
    {
        io_.restart();
        io_.run_for(milliseconds(30));
    }

    void change(const std::string &name)
    {
        store_.put("things", name, "{}", WriteCondition::always(), [](std::error_code, std::uint64_t) {});
        run();
    }

    boost::asio::io_context io_;
    CountingStore store_;
    std::shared_ptr<KindWatcher> watcher_;
    std::size_t events_ = 0;
};

}

// Guards against applying the changes of a notice although earlier changes are missing after a lost datagram.
TEST(ChangeFollower, fillsGapsFromTheStore)
{
    ChangeFollower follower;
    EXPECT_EQ(follower.applyNotice(makeNotice(5, 5), 5, Start), ChangeFollower::Step::None);
    EXPECT_EQ(follower.applyNotice(makeNotice(5, 8), 5, Start), ChangeFollower::Step::Apply);
    // The other relay of the zone sends the same changes in other notices.
    EXPECT_EQ(follower.applyNotice(makeNotice(5, 7), 8, Start), ChangeFollower::Step::None);
    EXPECT_EQ(follower.applyNotice(makeNotice(7, 9), 8, Start), ChangeFollower::Step::Apply);
    EXPECT_EQ(follower.applyNotice(makeNotice(11, 12), 9, Start), ChangeFollower::Step::CatchUp);
    EXPECT_EQ(follower.applyNotice(makeNotice(12, 12), 9, Start), ChangeFollower::Step::CatchUp);
    // The changes exceeded the size of a datagram.
    EXPECT_EQ(follower.applyNotice({9, 20, 3, {}, {}, false}, 9, Start), ChangeFollower::Step::CatchUp);
}

// Guards against a store call of every follower for each renewal of the lease, since the store has one revision for changes of all kinds.
TEST(ChangeFollower, changesOfOtherKindsDoNotCountAsGap)
{
    ChangeFollower follower;
    EXPECT_EQ(follower.applyNotice({9, 20, 3, {}, {}, true}, 9, Start), ChangeFollower::Step::Apply);
}

// Guards against a gateway that misses all changes after both relays of its zone were lost.
TEST(ChangeFollower, stopsReceivingNoticesWhenRelaysAreGone)
{
    ChangeFollower follower;
    EXPECT_FALSE(follower.receivesNotices(Start));
    follower.applyNotice(makeNotice(5, 5), 5, Start);
    EXPECT_TRUE(follower.receivesNotices(Start + milliseconds(800)));
    EXPECT_FALSE(follower.receivesNotices(Start + seconds(1)));
}

TEST(ChangeNotice, encodesAndDecodes)
{
    ChangeNotice notice{5, 9, 4, milliseconds(700), {makeEvent("x", 7), makeEvent("y", 9)}, true};
    notice.changes[1].isRemoved = true;
    const auto read = decodeNotice(encodeNotice(notice));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->fromRevision, 5U);
    EXPECT_EQ(read->toRevision, 9U);
    EXPECT_EQ(read->configVersion, 4U);
    EXPECT_EQ(read->remainingDeferral, milliseconds(700));
    ASSERT_EQ(read->changes.size(), 2U);
    EXPECT_EQ(read->changes[0].object.value, notice.changes[0].object.value);
    EXPECT_EQ(read->changes[0].object.version, 7U);
    EXPECT_TRUE(read->changes[1].isRemoved);
    EXPECT_TRUE(read->isComplete);
    EXPECT_FALSE(decodeNotice(std::vector<std::byte>(7, std::byte{0xff})));
}

// Guards against a notice that is truncated or never sent because many servers changed at once.
TEST(ChangeNotice, omitsChangesThatExceedTheDatagramSize)
{
    ChangeNotice notice{5, 2000, 4, {}, {}, true};
    for (unsigned number = 0; number < 1000; ++number) {
        notice.changes.push_back(makeEvent("server-" + std::to_string(number) + std::string(40, 'x'), 6 + number));
    }
    const auto bytes = encodeNotice(notice);
    EXPECT_LE(bytes.size(), MaxNoticeBytes);
    EXPECT_FALSE(decodeNotice(bytes)->isComplete);
}

// Guards against needless store calls of a gateway that follows the store through a relay.
TEST_F(SuspendedWatcher, callsTheStoreOnlyToFillAGap)
{
    ASSERT_TRUE(watcher_->suspend());
    const auto before = store_.watches;
    change("a");
    change("b");
    EXPECT_EQ(store_.watches, before);
    EXPECT_EQ(events_, 0U);
    watcher_->catchUp();
    run();
    EXPECT_EQ(store_.watches, before + 1);
    EXPECT_EQ(events_, 2U);
    change("c");
    EXPECT_EQ(events_, 2U);
}

// Guards against an answer in flight that reverts the changes of a later notice, and against reporting changes twice after resume().
TEST_F(SuspendedWatcher, doesNotReportChangesKnownFromNoticesAgain)
{
    ASSERT_TRUE(watcher_->suspend());
    change("a");
    watcher_->catchUp();
    watcher_->advance(watcher_->revision() + 1);
    run();
    EXPECT_EQ(events_, 0U);
    change("b");
    watcher_->resume();
    run();
    EXPECT_EQ(events_, 1U);
}

// Guards against a large list that never completes because each notice restarts it.
TEST_F(SuspendedWatcher, reportsListInProgress)
{
    ASSERT_TRUE(watcher_->suspend());
    EXPECT_FALSE(watcher_->isListDue());
    watcher_->relist();
    EXPECT_TRUE(watcher_->isListDue());
    run();
    EXPECT_FALSE(watcher_->isListDue());
}

// Guards against a due list that is lost because the watcher was suspended before it completed.
TEST_F(SuspendedWatcher, completesDueListBeforeSuspending)
{
    watcher_->relist();
    EXPECT_FALSE(watcher_->suspend());
    run();
    EXPECT_EQ(watcher_->listCount(), 2U);
    EXPECT_TRUE(watcher_->suspend());
    watcher_->relist();
    run();
    EXPECT_EQ(watcher_->listCount(), 3U);
    EXPECT_TRUE(watcher_->isSuspended());
}

// Guards against notices that do not arrive, and against a receiver that stops after the first datagram that it cannot decode.
TEST(ChangeFeed, deliversNoticesToReceivers)
{
    boost::asio::io_context io;
    ChangeFeed sender(io);
    ChangeFeed receiver(io);
    std::vector<std::uint64_t> revisions;
    ASSERT_FALSE(sender.open({"127.0.0.1", 0}, [](const ChangeNotice &) {}));
    boost::asio::ip::udp::socket other(io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    const auto port = other.local_endpoint().port();
    other.close();
    const Endpoint address{"127.0.0.1", port};
    ASSERT_FALSE(receiver.open(address, [&revisions](const ChangeNotice &notice) { revisions.push_back(notice.toRevision); }));
    other.open(boost::asio::ip::udp::v4());
    other.send_to(boost::asio::buffer("no notice"), {boost::asio::ip::make_address("127.0.0.1"), port});
    const PeerGateway peer{MemberId("g"), ZoneId("a"), {}, address};
    sender.send(makeNotice(1, 2), std::span(&peer, 1));
    io.run_for(milliseconds(100));
    EXPECT_EQ(revisions, std::vector<std::uint64_t>{2});
}

// Guards against excluding gateways of earlier versions from the exchange of load, and against accepting invalid records.
TEST(FleetRecords, encodesAndDecodesGatewaysAndLeases)
{
    const PeerGateway gateway{MemberId(), ZoneId("a"), {"10.0.0.1", 7}, {"10.0.0.1", 8}};
    EXPECT_EQ(decodeGateway(encodeGateway(gateway, 5)), gateway);
    EXPECT_FALSE(decodeGateway(R"({"peer":"10.0.0.1:7","zone":"a"})")->changes.isValid());
    EXPECT_FALSE(decodeGateway(R"({"zone":"a"})"));
    EXPECT_FALSE(decodeGateway("[]"));
    const auto lease = decodeLease(encodeLease({MemberId("g"), 3, 4, 5}));
    EXPECT_EQ(lease.holder.str(), "g");
    EXPECT_EQ(lease.process, 3U);
    EXPECT_EQ(lease.term, 4U);
    EXPECT_EQ(lease.renewals, 5U);
}

}
