#include "core/result_code.h"
#include "gateway/kind_watcher.h"
#include "objects/memory_object_store.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <gtest/gtest.h>

namespace carawaypoint
{

namespace
{

/// A store whose lists always fail.
class FailingStore : public MemoryObjectStore
{
public:
    explicit FailingStore(const boost::asio::any_io_executor &executor)
        : MemoryObjectStore(executor)
        , executor_(executor)
    {
    }

    void list(std::string_view kind, ListHandler handler) override
    {
        static_cast<void>(kind);
        ++lists;
        boost::asio::post(executor_, [handler = std::move(handler)] { handler(ResultCode::PlatformUnavailable, {}); });
    }

    unsigned lists = 0;

private:
    boost::asio::any_io_executor executor_;
};

class KindWatcherTest : public testing::Test
{
protected:
    KindWatcherTest()
        : store_(io_.get_executor())
    {
        KindWatcher::Hooks hooks;
        hooks.onList = [this](const std::vector<StoredObject> &objects) {
            listed_ = objects.size();
        };
        hooks.onEvents = [this](std::span<const ObjectEvent> events) {
            events_ += events.size();
        };
        hooks.onFailure = [](std::error_code, Duration) {
        };
        watcher_ = std::make_shared<KindWatcher>(io_.get_executor(), store_, KindWatcher::Settings{.kind = "things", .wait = seconds(60)}, hooks);
    }

    void runFor(Duration time)
    {
        io_.restart();
        io_.run_for(time);
    }

    boost::asio::io_context io_;
    MemoryObjectStore store_;
    std::shared_ptr<KindWatcher> watcher_;
    std::size_t listed_ = 0;
    std::size_t events_ = 0;
};

}

// Guards against a new holder of the lease that waits for a watch call to end before it gets the current list.
TEST_F(KindWatcherTest, relistsWithoutWaitingForTheWatch)
{
    watcher_->start();
    runFor(milliseconds(50));
    EXPECT_EQ(watcher_->listCount(), 1U);
    watcher_->relist();
    runFor(milliseconds(50));
    EXPECT_EQ(watcher_->listCount(), 2U);
    watcher_->stop();
}

// Guards against changes that are reported twice or not at all after relist().
TEST_F(KindWatcherTest, continuesWithOneChainOfCallsAfterRelist)
{
    watcher_->start();
    runFor(milliseconds(50));
    watcher_->relist();
    runFor(milliseconds(50));
    store_.put("things", "a", "{}", WriteCondition::always(), [](std::error_code, std::uint64_t) {});
    runFor(milliseconds(50));
    EXPECT_EQ(events_, 1U);
    watcher_->stop();
}

// Guards against flooding an unavailable store with calls: the delay between them grows up to its limit.
TEST_F(KindWatcherTest, retryDelayGrowsUpToItsLimit)
{
    FailingStore store(io_.get_executor());
    KindWatcher::Hooks hooks;
    hooks.onFailure = [](std::error_code, Duration) {
    };
    const auto watcher =
        std::make_shared<KindWatcher>(io_.get_executor(), store, KindWatcher::Settings{.kind = "things", .maxRetryDelay = milliseconds(300)}, hooks);
    watcher->start();
    runFor(milliseconds(1200));
    // Calls at 0, 150, 450, 750 and 1,050 ms.
    EXPECT_GE(store.lists, 4U);
    EXPECT_LE(store.lists, 5U);
    watcher->setRetryDelays(milliseconds(150), seconds(5));
    store.lists = 0;
    runFor(milliseconds(1200));
    EXPECT_LE(store.lists, 2U);
    watcher->stop();
}

}
