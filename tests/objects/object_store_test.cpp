#include "core/result_code.h"
#include "objects/http_object_store.h"
#include "objects/memory_object_store.h"
#include "support/scripted_http_server.h"

#include <gtest/gtest.h>

namespace carawaypoint
{
namespace
{

struct HttpObjectStoreTest : testing::Test {
    void run()
    {
        while (calls == 0 && context.run_one_for(seconds(10)) > 0) {
        }
        EXPECT_EQ(std::exchange(calls, 0), 1);
    }

    boost::asio::io_context context;
    std::string script;
    ScriptedHttpServer server{context, [this](const auto &) {
                                  return script;
                              }};
    std::unique_ptr<HttpObjectStore> store = HttpObjectStore::Builder(context.get_executor(), server.endpoint()).timeout(milliseconds(200)).build();
    std::error_code last;
    int calls = 0;
};

// Guards against reporting a failure with the wrong error code, so that the caller repeats a write or uses a wrong object.
TEST_F(HttpObjectStoreTest, mapsFailuresOfFetch)
{
    struct Case {
        std::string script;
        std::error_code expected;
    };
    using Server = ScriptedHttpServer;
    const std::string whole = R"({"kind":"domain","name":"z.a","version":3,"value":"v"})";
    for (const auto &[text, expected] : {Case{Server::answer(200, whole), {}},
                                         {Server::answer(404, "{}"), ResultCode::ObjectNotFound},
                                         {Server::answer(503, ""), ResultCode::PlatformUnavailable},
                                         {Server::answer(429, ""), ResultCode::PlatformUnavailable},
                                         {Server::answer(200, "{"), ResultCode::ObjectMalformed},
                                         {Server::answer(200, "[]"), ResultCode::ObjectMalformed},
                                         {Server::answer(200, R"({"name":"z.a","version":-3,"value":"v"})"), ResultCode::ObjectMalformed},
                                         {Server::answer(200, R"({"name":"z.b","version":3,"value":"v"})"), ResultCode::ObjectMalformed},
                                         {"no http\r\n\r\n", ResultCode::ObjectMalformed},
                                         {"close", ResultCode::PlatformUnavailable},
                                         {"", ResultCode::PlatformTimeout}}) {
        script = text;
        store->fetch("domain", "z.a", [this](std::error_code error, const StoredObject &) {
            last = error;
            ++calls;
        });
        run();
        EXPECT_EQ(last, expected) << text;
    }
}

// Guards against writes that are sent without their condition, or with a value above the size limit.
TEST_F(HttpObjectStoreTest, sendsConditions)
{
    script = ScriptedHttpServer::answer(200, R"({"version":9})");
    const auto put = [this](std::string value, WriteCondition condition) {
        store->put("domain", "z/a", std::move(value), condition, [this](std::error_code error, std::uint64_t version) {
            last = error;
            EXPECT_EQ(version, error ? 0 : 9);
            ++calls;
        });
        run();
    };
    put("v", WriteCondition::ifVersion(4));
    EXPECT_EQ(server.requests.back()["If-Match"], "4");
    EXPECT_EQ(server.requests.back().target(), "/v1/objects/domain/z%2Fa");
    put("v", WriteCondition::ifAbsent());
    EXPECT_EQ(server.requests.back()["If-None-Match"], "*");
    put(std::string(ObjectStore::MaxValueBytes + 1, 'x'), WriteCondition::always());
    EXPECT_EQ(last, ResultCode::ObjectTooLarge);
    EXPECT_EQ(server.requests.size(), 2U);
}

// Guards against using the valid part of a list, watch or VM list that is partly malformed.
TEST_F(HttpObjectStoreTest, refusesPartlyMalformedLists)
{
    script = ScriptedHttpServer::answer(200, R"({"revision":5,"objects":[{"name":"a","version":1,"value":""},{"name":7}]})");
    store->list("domain", [this](std::error_code error, const ListResult &) {
        last = error;
        ++calls;
    });
    run();
    EXPECT_EQ(last, ResultCode::ObjectMalformed);

    script = ScriptedHttpServer::answer(410, "{}");
    store->watch("domain", 3, milliseconds(10), [this](std::error_code error, const WatchResult &result) {
        EXPECT_FALSE(error);
        EXPECT_TRUE(result.isListRequired);
        ++calls;
    });
    run();

    for (const auto &[state, expected] : {std::pair<std::string, std::error_code>{"leaving", {}}, {"gone", ResultCode::ObjectMalformed}}) {
        script = ScriptedHttpServer::answer(200, R"({"vms":[{"id":"v","address":"127.0.0.1:1","zone":"z","domain":"a","pool":"p","state":")" + state + "\"}]}");
        store->listVms([this](std::error_code error, const std::vector<VmRecord> &) {
            last = error;
            ++calls;
        });
        run();
        EXPECT_EQ(last, expected) << state;
    }
}

// Guards against a daemon that learns nothing of the other objects because of one value that cannot be read.
TEST_F(HttpObjectStoreTest, unreadableValueHidesNoOtherObject)
{
    const std::string unreadable = R"({"name":"b","version":2,"value":"M\udcfcnchen"})";
    const std::string sound = R"({"name":"a","version":1,"value":"v"})";
    script = ScriptedHttpServer::answer(200, R"({"revision":5,"objects":[)" + unreadable + "," + sound + "]}");
    store->list("domain", [this](std::error_code error, const ListResult &result) {
        EXPECT_FALSE(error);
        ASSERT_EQ(result.objects.size(), 2U);
        EXPECT_EQ(result.objects[0].name, "b");
        EXPECT_EQ(result.objects[0].version, 2U);
        EXPECT_TRUE(result.objects[0].value.empty());
        EXPECT_EQ(result.objects[1].value, "v");
        ++calls;
    });
    run();
    script = ScriptedHttpServer::answer(200, R"({"revision":6,"events":[)" + unreadable + "," + sound + "]}");
    store->watch("domain", 3, milliseconds(10), [this](std::error_code error, const WatchResult &result) {
        EXPECT_FALSE(error);
        EXPECT_EQ(result.revision, 6U);
        ASSERT_EQ(result.events.size(), 2U);
        EXPECT_TRUE(result.events[0].object.value.empty());
        EXPECT_EQ(result.events[1].object.value, "v");
        ++calls;
    });
    run();
}

struct MemoryObjectStoreTest : testing::Test {
    std::pair<std::error_code, std::uint64_t> put(std::string_view value, WriteCondition condition)
    {
        std::pair<std::error_code, std::uint64_t> result;
        store.put("k", "n", std::string(value), condition, [&](std::error_code error, std::uint64_t version) { result = {error, version}; });
        context.restart();
        context.run();
        return result;
    }

    std::pair<std::error_code, std::string> fetch()
    {
        std::pair<std::error_code, std::string> result;
        store.fetch("k", "n", [&](std::error_code error, const StoredObject &object) { result = {error, object.value}; });
        context.restart();
        context.run();
        return result;
    }

    boost::asio::io_context context;
    MemoryObjectStore store{context.get_executor()};
};

// Guards against a fake that behaves differently from the platform with write conditions, outages, lost responses and restores
// from a backup.
TEST_F(MemoryObjectStoreTest, behavesLikeThePlatform)
{
    EXPECT_EQ(put("a", WriteCondition::ifVersion(1)).first, ResultCode::VersionConflict);
    const auto first = put("a", WriteCondition::ifAbsent()).second;
    EXPECT_EQ(put("b", WriteCondition::ifAbsent()), std::pair(std::error_code(ResultCode::VersionConflict), first));
    const auto old = store.copy();

    store.loseAnswers(1);
    EXPECT_EQ(put("b", WriteCondition::ifVersion(first)).first, ResultCode::PlatformTimeout);
    EXPECT_EQ(fetch().second, "b");
    store.loseWrites(1);
    EXPECT_EQ(put("c", WriteCondition::always()).first, ResultCode::PlatformTimeout);
    EXPECT_EQ(fetch().second, "b");

    store.setDown(true);
    EXPECT_EQ(put("c", WriteCondition::always()).first, ResultCode::PlatformUnavailable);
    EXPECT_EQ(fetch().first, ResultCode::PlatformUnavailable);
    store.setDown(false);
    store.restore(old);
    EXPECT_EQ(fetch().second, "a");
    EXPECT_EQ(put("d", WriteCondition::ifVersion(first)).first, std::error_code());
}

// Guards against watches that miss a change, call their handler twice, or do not report that events were dropped.
TEST_F(MemoryObjectStoreTest, watchCallsItsHandlerOnce)
{
    int calls = 0;
    WatchResult last;
    const auto watch = [&](std::uint64_t after) {
        store.watch("k", after, seconds(1), [&](std::error_code, const WatchResult &result) {
            ++calls;
            last = result;
        });
    };
    watch(0);
    const auto version = put("a", WriteCondition::always()).second;
    EXPECT_EQ(calls, 1);
    EXPECT_EQ(last.events.size(), 1U);
    put("b", WriteCondition::always());
    EXPECT_EQ(calls, 1);
    watch(version);
    context.restart();
    context.run();
    EXPECT_EQ(last.events.front().object.value, "b");
    watch(99);
    context.restart();
    context.run();
    EXPECT_TRUE(last.isListRequired);
}

}
}
