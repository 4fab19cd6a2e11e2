#include "core/result_code.h"
#include "platform/http_order_client.h"
#include "platform/record_decoder.h"
#include "platform/wire_names.h"
#include "tests/platform/platform_store_fixture.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <map>
#include <set>

namespace carawaypoint
{

namespace
{

using testing::HasSubstr;

constexpr std::string_view Record = R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":26,"state":"ready","cold_ms":0,)"
                                    R"("models":[{"name":"m","version":1}],"staged":["m","n"],"domain":"d1","born":1700000000123,)"
                                    R"("group":{"name":"g","epoch":12,"rank":2,"state":"open"},"seq":4})";

std::string replaceText(std::string text, const std::string &from, const std::string &to)
{
    text.replace(text.find(from), from.size(), to);
    return text;
}

}

TEST(RecordDecoder, parsesAServerRegistration)
{
    const auto server = decodeServerRecord("i-1", Record);
    ASSERT_TRUE(server);
    EXPECT_EQ(server->id.str(), "i-1");
    EXPECT_EQ(server->service.str(), "s");
    EXPECT_EQ(server->address.toString(), "10.0.0.1:80");
    EXPECT_EQ(server->domain.str(), "d1");
    EXPECT_EQ(server->slots, 26U);
    EXPECT_EQ(server->startedAt, 1700000000123U);
    EXPECT_EQ(server->loadedModel.str(), "m");
    EXPECT_EQ(server->stagedModels.size(), 2U);
    ASSERT_TRUE(server->membership);
    EXPECT_EQ(server->membership->epoch, 12U);
    EXPECT_EQ(server->membership->rank, 2U);
    EXPECT_EQ(server->membership->state, MembershipState::Open);
    EXPECT_TRUE(decodeServerRecord("i-1", replaceText(std::string(Record), R"("ready")", R"("draining")"))->isLeaving);
}

// Guards against requests to a server whose entry is malformed: other programs can write to the store too.
TEST(RecordDecoder, rejectsMalformedEntries)
{
    const std::string record(Record);
    EXPECT_FALSE(decodeServerRecord("i", "\xff\xfe"));
    EXPECT_FALSE(decodeServerRecord("i", "[]"));
    EXPECT_FALSE(decodeServerRecord("i", replaceText(record, R"("slots":26)", R"("slots":"26")")));
    EXPECT_FALSE(decodeServerRecord("i", replaceText(record, R"("slots":26,)", "")));
    EXPECT_FALSE(decodeServerRecord("i", replaceText(record, R"("ready")", R"("resting")")));
    EXPECT_FALSE(decodeServerRecord("i", replaceText(record, "10.0.0.1:80", "nowhere")));
    EXPECT_FALSE(decodeServerRecord("i", replaceText(record, R"("epoch":12)", R"("epoch":"12")")));
    EXPECT_FALSE(decodeServerRecord("i", replaceText(record, R"("state":"open")", R"("state":"odd")")));
}

// Guards against requests to an address that another writer names in an entry with some of a server's fields: what answers there is no server
// (review/7).
TEST(RecordDecoder, rejectsEntriesThatLackAFieldOfAServer)
{
    const auto record = boost::json::parse(Record).as_object();
    ASSERT_TRUE(decodeServerRecord("i", boost::json::serialize(record)));
    for (const auto *field : {"service", "address", "zone", "version", "slots", "state", "cold_ms", "seq"}) {
        auto entry = record;
        entry.erase(field);
        EXPECT_FALSE(decodeServerRecord("i", boost::json::serialize(entry))) << "without " << field;
    }
    const std::vector<boost::json::value> values{nullptr, true, -1, 7, 1.5, "text", boost::json::array{}, boost::json::object{}};
    const std::map<std::string, std::set<std::size_t>> allowed{{"service", {5}}, {"zone", {5}},   {"version", {5}}, {"slots", {3}},     {"cold_ms", {2, 3, 4}},
                                                               {"seq", {3}},     {"domain", {5}}, {"born", {3}},    {"models", {0, 6}}, {"staged", {0, 6}},
                                                               {"group", {0}},   {"address", {}}, {"state", {}}};
    for (const auto &[field, good] : allowed) {
        for (std::size_t index = 0; index < values.size(); ++index) {
            auto entry = record;
            entry[field] = values[index];
            const auto text = boost::json::serialize(entry);
            EXPECT_EQ(decodeServerRecord("i", text).has_value(), good.contains(index)) << text;
        }
    }
    for (const auto *text : {R"({"models":[7]})", R"({"models":[{"name":7}]})", R"({"staged":["m",7]})"}) {
        auto entry = record;
        const auto change = boost::json::parse(text).as_object();
        entry[change.begin()->key()] = change.begin()->value();
        EXPECT_FALSE(decodeServerRecord("i", boost::json::serialize(entry))) << text;
    }
}

// Guards against times of replicas that are predicted from missing or misread figures of the engine.
TEST(RecordDecoder, parsesTheFiguresOfAnEngine)
{
    const auto config = decodeServiceConfig(
        R"({"version":1,"routes":[],"services":[{"name":"s","cold_s":3.0,"cold_per_s":26.0,"engine":{"slots":30,"kv_capacity":1590000,"stride":7,)"
        R"("step_ms":5.95,"per_seq_ms":0.0445,"context_per_k":0.00813,"read_per_s":50700.0,"pairs_per_m":0.368,"chunk":2048,"far_x":2.5,)"
        R"("usual":{"prompt":797,"answer":210}}},{"name":"t","cold_s":-1}]})");
    ASSERT_TRUE(config);
    const auto &service = config->services.at(ServiceId("s"));
    EXPECT_EQ(service.coldTime, seconds(3));
    EXPECT_DOUBLE_EQ(service.coldRequestsPerSecond, 26);
    const auto &engine = *service.engine;
    EXPECT_EQ(engine.stepTime, microseconds(5950));
    EXPECT_DOUBLE_EQ(engine.stepTimePerRequest, 0.0445);
    EXPECT_DOUBLE_EQ(engine.stepTimePerKiloToken, 0.00813);
    EXPECT_DOUBLE_EQ(engine.prefillTokensPerSecond, 50700);
    EXPECT_DOUBLE_EQ(engine.prefillPairsTime, 0.368);
    EXPECT_EQ(engine.prefillChunkTokens, 2048U);
    EXPECT_EQ(engine.stepsPerPass, 7U);
    EXPECT_DOUBLE_EQ(engine.crossDomainFactor, 2.5);
    EXPECT_EQ(engine.usualPromptTokens, 797U);
    EXPECT_EQ(engine.usualAnswerTokens, 210U);
    EXPECT_EQ(engine.memoryTokens, 1590000U);
    EXPECT_EQ(config->services.at(ServiceId("t")).coldTime, Duration{}) << "a negative time";
}

TEST(RecordDecoder, parsesTheServiceConfiguration)
{
    const auto config = decodeServiceConfig(
        R"({"version":7,"routes":[{"name":"r1","hostname":"h.example","path_prefix":"/a/","kind":"streaming","timeout_ms":8000,)"
        R"("target_latency_ms":400,"priority":1,"backends":[{"service":"s","weight":90},{"service":"t","weight":10}],"max_attempts":2,)"
        R"("public":false,"resumable":true,"target_gap_ms":250},{"hostname":"h.example","path_prefix":"/b/","kind":"non_idempotent",)"
        R"("timeout_ms":1500.5,"service":"t","public":true}],"services":[{"name":"s","max_conns":304,"engine":{"slots":26,)"
        R"("models":[{"name":"m","size":6,"share":0.67,"pace":1.0,"load_s":16.0,"warm_s":1.6}],"loads_per_s":5.5,"loads_at_once":8,"history_limit":2,"form_ms":300}},)"
        R"({"name":"t","max_conns":49}],"limits":{"max_header_bytes":16384,"max_body_bytes":100,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
        R"("tenants":[{"name":"c","api_keys":["k1","k2"],"priority":1}]})");
    ASSERT_TRUE(config);
    EXPECT_EQ(config->version, 7U);
    EXPECT_EQ(config->limits.maxBodyBytes, 100U);
    const auto *stream = config->findRoute("h.example", "/a/x");
    ASSERT_NE(stream, nullptr);
    EXPECT_EQ(stream->kind, CallKind::Stream);
    EXPECT_TRUE(stream->isRepeatable());
    EXPECT_EQ(stream->targets.size(), 2U);
    EXPECT_EQ(stream->targetGap, milliseconds(250));
    const auto *book = config->findRoute("h.example", "/b/");
    EXPECT_EQ(book->kind, CallKind::NonIdempotent);
    EXPECT_EQ(book->timeout, microseconds(1500500));
    EXPECT_TRUE(book->isPublic);
    const auto &engine = config->services.at(ServiceId("s")).engine;
    ASSERT_TRUE(engine);
    EXPECT_EQ(engine->models.front().size, 6U);
    EXPECT_EQ(engine->models.front().stagedLoadTime, milliseconds(1600));
    EXPECT_EQ(engine->maxConcurrentLoads, 8U);
    EXPECT_EQ(engine->stagedModelsPerHost, 2U);
    EXPECT_FALSE(config->services.at(ServiceId("t")).engine);
    EXPECT_EQ(config->services.at(ServiceId("t")).coldTime, Duration{});
    EXPECT_EQ(config->findCustomer("k2")->id.str(), "c");
    EXPECT_EQ(config->findCustomer("k3"), nullptr);
    EXPECT_EQ(decodeServiceConfig("{}"), nullptr);
    EXPECT_EQ(decodeServiceConfig("nonsense"), nullptr);
}

// Guards against routing by a load that no server can have.
TEST(StatedLoad, acceptsOnlyPlausibleNumbers)
{
    const auto load = parseStatedLoad("12,3,26");
    ASSERT_TRUE(load);
    EXPECT_EQ(load->running, 12U);
    EXPECT_EQ(load->waiting, 3U);
    EXPECT_EQ(load->slots, 26U);
    for (const auto *text : {"", "1", "1,2", "1,2,", "1,2,3,", "1,2,3,4", "-1,0,26", "1,-2,26", "27,0,26", "1,0,0", "1, 0,26", "a,0,26", "1,0,26x",
                             "99999999999999999999,0,26", "1,200000,26", "1.5,0,26", ",,"}) {
        EXPECT_FALSE(parseStatedLoad(text)) << text;
    }
}

// Guards against parts of a prompt that are not recognised in another request, and against memory that grows with their number.
TEST(PromptParts, areParsedWithoutMalformedOnes)
{
    EXPECT_EQ(parsePromptParts("5c1e07a2:800,91bd3f06:410,e4402b7d:250"), (std::vector<std::uint64_t>{0x5c1e07a2, 0x91bd3f06, 0xe4402b7d}));
    EXPECT_EQ(parsePromptParts("5C1E07A2"), std::vector<std::uint64_t>{0x5c1e07a2});
    EXPECT_EQ(parsePromptParts("x1:4,,:,1g:2,-1:3,7:"), std::vector<std::uint64_t>{7});
    EXPECT_EQ(parsePromptParts("11112222333344445:1,2"), std::vector<std::uint64_t>{2});
    EXPECT_TRUE(parsePromptParts("").empty());
    std::string many;
    for (int number = 0; number < 1000; ++number) {
        many += "a:1,";
    }
    EXPECT_EQ(parsePromptParts(many).size(), 32U);
}

TEST(OrderCodec, encodesEachOperation)
{
    EXPECT_EQ(encodeOrder({OrderKind::Join, VmId("a"), {}, ReplicaId("g"), 12, ModelId("m"), {VmId("a"), VmId("b")}, 3}),
              R"({"fence_token":3,"operation":"join","group":"g","epoch":12,"model":"m","members":["a","b"]})");
    EXPECT_EQ(encodeOrder({OrderKind::Open, VmId("a"), {}, ReplicaId("g"), 12, {}, {}, 3}), R"({"fence_token":3,"operation":"open","group":"g","epoch":12})");
    EXPECT_EQ(encodeOrder({OrderKind::Close, VmId("a"), {}, ReplicaId("g"), 12, {}, {}, 3}),
              R"({"fence_token":3,"operation":"close","group":"g","epoch":12,"close_mode":"wait"})");
    EXPECT_EQ(encodeOrder({OrderKind::Leave, VmId("a"), {}, ReplicaId("g"), 12, {}, {}, 3}), R"({"fence_token":3,"operation":"leave","group":"g","epoch":12})");
    EXPECT_EQ(encodeOrder({OrderKind::Stage, VmId("a"), {}, {}, 0, ModelId("m"), {}, 3}), R"({"fence_token":3,"operation":"phase","model":"m"})");
}

// Guards against changes that are made while later pages are listed and are then lost: the watch has to start at the
// revision of the first page.
TEST_F(PlatformStore, listReturnsAllPagesAndTheRevisionOfTheFirst)
{
    startServer([](const ScriptedHttpServer::Request &request) {
        const bool isFirst = request.target().find("after=") == std::string_view::npos;
        return ScriptedHttpServer::answer(200,
                                          isFirst ? R"({"entries":[)" + entry("a", 3) + R"(],"has_more":true,"at":10})"
                                                  : R"({"entries":[)" + entry("b", 4) + R"(],"has_more":false,"at":12})");
    });
    bool isDone = false;
    store_->list("things", [&](std::error_code error, const ListResult &result) {
        EXPECT_FALSE(error);
        EXPECT_EQ(result.revision, 10U);
        ASSERT_EQ(result.objects.size(), 2U);
        EXPECT_EQ(result.objects[1].name, "b");
        EXPECT_EQ(result.objects[1].version, 4U);
        EXPECT_EQ(result.objects[1].value, R"({"a":1})");
        isDone = true;
    });
    runUntil(isDone);
    EXPECT_THAT(std::string(server_->requests[1].target()), HasSubstr("after=a"));
}

TEST_F(PlatformStore, watchRequiresAListWhenTheStoreDroppedTheHistory)
{
    startServer([](const ScriptedHttpServer::Request &) { return ScriptedHttpServer::answer(410, "{}"); });
    bool isDone = false;
    store_->watch("things", 5, seconds(1), [&](std::error_code error, const WatchResult &result) {
        EXPECT_FALSE(error);
        EXPECT_TRUE(result.isListRequired);
        isDone = true;
    });
    runUntil(isDone);
}

TEST_F(PlatformStore, watchReturnsEventsAfterARevision)
{
    startServer([](const ScriptedHttpServer::Request &) {
        return ScriptedHttpServer::answer(200, R"({"events":[{"removed":true,"object":)" + entry("a", 8) + R"(}],"at":9})");
    });
    bool isDone = false;
    store_->watch("things", 5, milliseconds(1500), [&](std::error_code error, const WatchResult &result) {
        EXPECT_FALSE(error);
        EXPECT_EQ(result.revision, 9U);
        ASSERT_EQ(result.events.size(), 1U);
        EXPECT_TRUE(result.events[0].isRemoved);
        isDone = true;
    });
    runUntil(isDone);
    EXPECT_THAT(std::string(server_->requests[0].target()), HasSubstr("watch=5&wait_ms=1500"));
}

// Guards against a conditional write that counts as done although the store refused it, and against one that counts as
// refused although its answer was lost.
TEST_F(PlatformStore, conditionalWriteDistinguishesConflictFromLostAnswer)
{
    int answered = 0;
    startServer(
        [&answered](const ScriptedHttpServer::Request &) -> std::string { return ++answered == 1 ? ScriptedHttpServer::answer(409, entry("a", 4)) : "close"; });
    bool isDone = false;
    store_->put("things", "a", "{}", WriteCondition::ifVersion(3), [&](std::error_code error, std::uint64_t) {
        EXPECT_EQ(error, ResultCode::VersionConflict);
        isDone = true;
    });
    runUntil(isDone);
    EXPECT_THAT(server_->requests[0].body(), HasSubstr(R"("revision":3)"));
    isDone = false;
    store_->put("things", "a", "{}", WriteCondition::ifVersion(3), [&](std::error_code error, std::uint64_t) {
        EXPECT_EQ(error, ResultCode::PlatformUnavailable);
        isDone = true;
    });
    runUntil(isDone);
}

TEST_F(PlatformStore, unconditionalWriteCreatesAMissingObject)
{
    startServer([](const ScriptedHttpServer::Request &request) {
        return request.method() == boost::beast::http::verb::put ? ScriptedHttpServer::answer(404, "{}") : ScriptedHttpServer::answer(201, entry("a", 6));
    });
    bool isDone = false;
    store_->put("things", "a", "{}", WriteCondition::always(), [&](std::error_code error, std::uint64_t version) {
        EXPECT_FALSE(error);
        EXPECT_EQ(version, 6U);
        isDone = true;
    });
    runUntil(isDone);
    EXPECT_EQ(server_->requests.size(), 2U);
}

TEST_F(PlatformStore, malformedAnswerIsAnError)
{
    startServer([](const ScriptedHttpServer::Request &) { return ScriptedHttpServer::answer(200, "nonsense"); });
    bool isDone = false;
    store_->list("things", [&](std::error_code error, const ListResult &) {
        EXPECT_EQ(error, ResultCode::ObjectMalformed);
        isDone = true;
    });
    runUntil(isDone);
}

}
