#include "core/result_code.h"
#include "engine/http_engine_client.h"
#include "support/scripted_http_server.h"

#include <gtest/gtest.h>

namespace carawaypoint
{
namespace
{

constexpr std::string_view State = R"({"vm":"vm-1","process":17,"epoch":3,"incarnation":7,"replica":"r1","role":"leader","model":"m","version":"1",
    "adapters":["a"],"loaded":true,"progress":1,"draining":false,"slots":8,"cached_models":["m"],
    "load":{"running":3,"queued":0,"running_long":1,"tokens_per_second":80.5}})";

struct HttpEngineClientTest : testing::Test {
    void run()
    {
        while (calls == 0 && context.run_one_for(seconds(10)) > 0) {
        }
        EXPECT_EQ(std::exchange(calls, 0), 1);
    }

    boost::asio::io_context context;
    ManualClock clock;
    std::string script;
    ScriptedHttpServer server{context, [this](const auto &) {
                                  return script;
                              }};
    std::unique_ptr<HttpEngineClient> client = HttpEngineClient::Builder(context.get_executor(), clock).timeout(milliseconds(200)).build();
    std::error_code last;
    EngineState state;
    int calls = 0;
};

// Guards against a lost order that is reported as refused: the engine may still carry it out, so it must be reported as a timeout.
TEST_F(HttpEngineClientTest, mapsFailuresOfOrders)
{
    struct Case {
        std::string script;
        std::error_code expected;
    };
    using Server = ScriptedHttpServer;
    const EngineOrder order{{3, 7}, ReplicaId("r1"), EngineRole::Worker, ModelId("m"), "1", {"a"}, {{"127.0.0.1", 9001}}};
    for (const auto &[text, expected] : {Case{Server::answer(200, "{}"), {}},
                                         {Server::answer(409, R"({"code":"stale"})"), ResultCode::OrderStale},
                                         {Server::answer(422, "{}"), ResultCode::BackendRefused},
                                         {Server::answer(500, ""), ResultCode::BackendBadAnswer},
                                         {"no http\r\n\r\n", ResultCode::BackendBadAnswer},
                                         {"close", ResultCode::BackendTimeout},
                                         {"", ResultCode::BackendTimeout}}) {
        script = text;
        client->sendOrder(server.endpoint(), order, [this](std::error_code error) {
            last = error;
            ++calls;
        });
        run();
        EXPECT_EQ(last, expected) << text;
    }
    EXPECT_EQ(server.requests.front().body(),
              R"({"epoch":3,"incarnation":7,"replica":"r1","role":"worker","model":"m","version":"1","adapters":["a"],"members":["127.0.0.1:9001"]})");
}

// Guards against a partially readable state that makes a replica eligible: a state with a missing or invalid field must be an error.
TEST_F(HttpEngineClientTest, refusesMalformedStates)
{
    const auto fetch = [this](const std::string &body) {
        script = ScriptedHttpServer::answer(200, body);
        client->fetchState(server.endpoint(), [this](std::error_code error, EngineState result) {
            last = error;
            state = std::move(result);
            ++calls;
        });
        run();
    };
    fetch(std::string(State));
    EXPECT_FALSE(last);
    EXPECT_EQ(state.role, EngineRole::Leader);
    EXPECT_EQ(state.fence, (FencingNumber{3, 7}));
    EXPECT_EQ(state.load.runningLong, 1U);
    EXPECT_EQ(state.load.reportedAt, clock.now());
    for (const auto &[from, to] : {std::pair<std::string, std::string>{"\"leader\"", "\"chief\""},
                                   {"\"epoch\":3", "\"epoch\":-1"},
                                   {"\"loaded\":true,", ""},
                                   {"{\"running\"", "{\"run\""},
                                   {"\"vm-1\"", "\"\""}}) {
        std::string body(State);
        body.replace(body.find(from), from.size(), to);
        fetch(body);
        EXPECT_EQ(last, ResultCode::BackendBadAnswer) << to;
    }
}

// Guards against a list of cache events that is accepted although one of them is malformed.
TEST_F(HttpEngineClientTest, rejectsCacheEventsWithMalformedPrefix)
{
    for (const auto &[prefix, expected] : {std::pair<std::string, std::error_code>{"18446744073709551615", {}}, {"1x", ResultCode::BackendBadAnswer}}) {
        script = ScriptedHttpServer::answer(200, R"({"last":12,"events":[{"sequence":11,"prefix":")" + prefix + R"(","evicted":false}]})");
        client->fetchCacheEvents(server.endpoint(), 10, [this](std::error_code error, const CacheEvents &) {
            last = error;
            ++calls;
        });
        run();
        EXPECT_EQ(last, expected);
    }
    EXPECT_EQ(server.requests.back().target(), "/control/cache-events?after=10");
}

}
}
