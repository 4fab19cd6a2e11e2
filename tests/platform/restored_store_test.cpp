// Tests what a gateway learns from a store that comes back from an older copy and gives out its revisions again.

#include "gateway/kind_watcher.h"
#include "objects/store_version.h"
#include "tests/platform/platform_store_fixture.h"

#include <map>
#include <optional>

namespace carawaypoint
{

namespace
{

/// A store with one kind of objects, which are their names and revisions.
struct RestorableStore {
    std::optional<unsigned> era;
    int revision = 0;
    std::map<std::string, int> objects;

    std::string answer(const ScriptedHttpServer::Request &request) const
    {
        const std::string target(request.target());
        const auto watch = target.find("watch=");
        std::string elements;
        for (const auto &[name, changedAt] : objects) {
            if (watch == std::string::npos) {
                elements += (elements.empty() ? "" : ",") + entry(name, changedAt);
            } else if (changedAt > std::stoi(target.substr(watch + 6))) {
                elements += (elements.empty() ? "" : ",") + (R"({"removed":false,"object":)" + entry(name, changedAt) + "}");
            }
        }
        const std::string key = watch == std::string::npos ? "entries" : "events";
        const auto body = R"({")" + key + R"(":[)" + elements + R"(],"has_more":false,"at":)" + std::to_string(revision) + "}";
        const auto header = era ? "Store-Era: " + std::to_string(*era) + "\r\n" : std::string();
        return "HTTP/1.1 200 OK\r\n" + header + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
};

/// Follows the objects of a RestorableStore.
class RestoredStoreTest : public PlatformStore
{
protected:
    void follow()
    {
        startServer([this](const auto &request) { return answered_.answer(request); });
        KindWatcher::Hooks hooks;
        hooks.onList = [this](const std::vector<StoredObject> &objects) {
            known_.clear();
            for (const auto &object : objects) {
                known_[object.name] = object.version;
            }
        };
        hooks.onEvents = [this](std::span<const ObjectEvent> events) {
            for (const auto &event : events) {
                known_[event.object.name] = event.object.version;
            }
        };
        hooks.onFailure = [](std::error_code, Duration) {
        };
        const KindWatcher::Settings settings{.kind = "config", .wait = milliseconds(100), .retryDelay = milliseconds(10)};
        watcher_ = std::make_shared<KindWatcher>(io_.get_executor(), *store_, settings, hooks);
        watcher_->start();
        runFor(milliseconds(100));
    }
    ~RestoredStoreTest() override
    {
        if (watcher_) {
            watcher_->stop();
        }
    }

    void runFor(Duration time)
    {
        io_.restart();
        io_.run_for(time);
    }

    RestorableStore answered_;
    std::shared_ptr<KindWatcher> watcher_;
    std::map<std::string, std::uint64_t> known_; // versions
};

}

// Guards against a confirmed configuration that is never in force: the restored store had given out the watched revision again before the next watch,
// which then succeeded and said nothing of a version that was written below it.
TEST_F(RestoredStoreTest, versionWrittenBelowTheWatchedRevisionIsLearnt)
{
    answered_ = {.era = 1, .revision = 100, .objects = {{"main", 90}}};
    follow();
    ASSERT_EQ(known_.at("main"), storeVersion(1, 90));
    answered_ = {.era = 2, .revision = 105, .objects = {{"main", 95}}};
    runFor(milliseconds(300));
    EXPECT_EQ(known_.at("main"), storeVersion(2, 95));
    EXPECT_EQ(watcher_->revision(), storeVersion(2, 105));
}

// The same fault at a store that states no era: it shows while the store is behind the watched revision.
TEST_F(RestoredStoreTest, revisionThatFallsWithoutAnEraIsNoticed)
{
    answered_ = {.era = std::nullopt, .revision = 100, .objects = {{"main", 90}}};
    follow();
    answered_ = {.era = std::nullopt, .revision = 97, .objects = {{"main", 95}}};
    runFor(milliseconds(300));
    answered_.revision = 105;
    runFor(milliseconds(300));
    EXPECT_EQ(known_.at("main"), 95U);
}

// Guards against an object of the same counter in a later era that is taken for the known one.
TEST_F(RestoredStoreTest, sameCounterOfALaterEraIsANewVersion)
{
    answered_ = {.era = 1, .revision = 100, .objects = {{"main", 100}}};
    follow();
    answered_ = {.era = 2, .revision = 100, .objects = {{"main", 100}}};
    runFor(milliseconds(300));
    EXPECT_EQ(known_.at("main"), storeVersion(2, 100));
}

}
