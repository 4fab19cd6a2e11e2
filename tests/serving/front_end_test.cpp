#include "serving/front_end_fixture.h"

namespace carawaypoint
{

namespace
{

/// A request with @p body as it is sent, in chunks.
std::string chunked(const std::string &body)
{
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nX-Customer: c\r\nTransfer-Encoding: chunked\r\n\r\n" + body;
}

}

class FrontEnd : public FrontEndFixture
{
protected:
    /// An engine that sends complete answers of @p count tokens.
    FakeServer::Handler completeAnswers(unsigned count)
    {
        return [this, count](const TestMessage &request, TestConnection &connection) {
            ++executions_;
            return connection.write(EngineAnswer::tokens(request, count, true));
        };
    }
    std::atomic<int> executions_ = 0;
};

// Guards against answers that are truncated, mixed up or sent without a result code, and against a new engine connection per
// request.
TEST_F(FrontEnd, forwardsCompleteAnswers)
{
    FakeServer engine(completeAnswers(3));
    addReplica(engine.endpoint());
    startFrontEnd();

    const auto plain = chat(false);
    EXPECT_EQ(plain.status(), 200);
    EXPECT_EQ(plain.header("x-result-code"), "100 ok");
    EXPECT_EQ(plain.header("x-run-state"), "completed");
    EXPECT_EQ(plain.header("x-request-id"), "17-1");
    EXPECT_NE(plain.body.find("w0 w1 w2 "), std::string::npos) << plain.body;

    const auto streamed = chat(true);
    EXPECT_TRUE(streamed.isComplete);
    EXPECT_EQ(streamed.header("content-type"), "text/event-stream");
    EXPECT_NE(streamed.body.find(R"("index":2)"), std::string::npos);
    EXPECT_NE(streamed.body.find(R"(event: result
data: {"request":"17-2","code":100,"name":"ok","run_state":"completed","tokens":3}

data: [DONE]

)"),
              std::string::npos)
        << streamed.body;
    EXPECT_EQ(executions_, 2);
    EXPECT_EQ(engine.connections(), 1) << "the pooled connection was not used again";
}

// Guards against a liveness check that fails, or a readiness check that passes, before a configuration is in force.
TEST_F(FrontEnd, answersHealthAndReadiness)
{
    startFrontEnd();
    EXPECT_EQ(call("GET /healthz HTTP/1.1\r\n\r\n").status(), 200);
    EXPECT_EQ(call("GET /readyz HTTP/1.1\r\n\r\n").status(), 200);
    snapshot_.generation = 0;
    EXPECT_EQ(call("GET /healthz HTTP/1.1\r\n\r\n").status(), 200);
    EXPECT_EQ(call("GET /readyz HTTP/1.1\r\n\r\n").header("x-result-code"), "305 not_ready");
    EXPECT_EQ(chat(false).header("x-result-code"), "305 not_ready");
}

// Guards against invalid, oversized or slow requests that reach the dispatcher or an engine, and against a wrong result code for
// them.
TEST_F(FrontEnd, refusesBadInputBeforeRouting)
{
    FakeServer engine(completeAnswers(1));
    addReplica(engine.endpoint());
    settings_.headerTimeout = milliseconds(500);
    settings_.bodyTimeout = milliseconds(500);
    settings_.maxBodyBytes = 4000;
    startFrontEnd();
    const auto post = [](const std::string &body, const std::string &headers = "X-Customer: c\r\n") {
        return postText("/v1/chat/completions", headers, body);
    };
    const std::string messages = R"("messages":[{"role":"user","content":"hi"}])";
    struct Case {
        std::string request;
        std::string code;
        int status;
    };
    const Case cases[] = {
        {post("{"), "200 malformed_request", 400},
        {post("[]"), "200 malformed_request", 400},
        {post("{" + messages + "}"), "200 malformed_request", 400},
        {post(R"({"model":"m"})"), "200 malformed_request", 400},
        {post(R"({"model":"m","messages":[]})"), "200 malformed_request", 400},
        {post(R"({"model":"m","messages":[{"role":"user"}]})"), "200 malformed_request", 400},
        {post(R"({"model":"m","max_tokens":0,)" + messages + "}"), "200 malformed_request", 400},
        {post(R"({"model":"m","max_tokens":1001,)" + messages + "}"), "200 malformed_request", 400},
        {post(R"({"model":"m","max_tokens":-1,)" + messages + "}"), "200 malformed_request", 400},
        {post(R"({"model":"m","stream":1,)" + messages + "}"), "200 malformed_request", 400},
        {post(R"({"model":"m",)" + messages + "}", "X-Customer: c\r\nX-Deadline-Ms: 0\r\n"), "200 malformed_request", 400},
        {post(R"({"model":"m",)" + messages + "}", "X-Customer: c\r\nX-Deadline-Ms: 1s\r\n"), "200 malformed_request", 400},
        {post(R"({"model":"x",)" + messages + "}"), "203 unknown_model", 404},
        {post(R"({"model":"m",)" + messages + "}", "X-Customer: other-models-only\r\n"), "203 unknown_model", 404},
        {post(R"({"model":"m","adapter":"b",)" + messages + "}"), "207 unknown_adapter", 404},
        {post(R"({"model":"m",)" + messages + "}", ""), "204 unknown_customer", 401},
        {post(R"({"model":"m",)" + messages + "}", "X-Customer: d\r\n"), "204 unknown_customer", 401},
        {post(R"({"model":"m","messages":[{"role":"user","content":")" + std::string(500, 'a') + "\"}]}"), "201 request_too_large", 413},
        {post(std::string(5000, ' ')), "201 request_too_large", 413},
        {post("{}", "X-Long: " + std::string(20'000, 'a') + "\r\n"), "201 request_too_large", 413},
        {"GET /v1/chat/completions HTTP/1.1\r\n\r\n", "200 malformed_request", 405},
        {"GET /other HTTP/1.1\r\n\r\n", "206 unknown_path", 404},
        {"GET /services/none/x HTTP/1.1\r\nX-Customer: c\r\n\r\n", "205 unknown_service", 404},
        {"nonsense\r\n\r\n", "200 malformed_request", 400},
        {"GET /healthz HTTP/1.0\r\n\r\n", "200 malformed_request", 400},
        {"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: x\r\n\r\n", "200 malformed_request", 400},
        {"POST /v1/chat/completions HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\n", "200 malformed_request", 400},
        {chunked("0\r\na: " + std::string(20'000, 'a')), "201 request_too_large", 413},
        {chunked("1;a=" + std::string(20'000, 'a')), "201 request_too_large", 413},
        {chunked(std::string(20'000, '0')), "201 request_too_large", 413},
        {chunked("2000\r\n"), "201 request_too_large", 413},
        {chunked("0\r\n\r"), "202 request_too_slow", 408}, // Beast's parser ends the process when it is called with these bytes
        {"POST /v1/chat/comp", "202 request_too_slow", 408},
        {"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 10\r\n\r\n{", "202 request_too_slow", 408},
    };
    for (const auto &[request, code, status] : cases) {
        const auto answer = call(request);
        EXPECT_EQ(answer.header("x-result-code"), code) << request.substr(0, 200);
        EXPECT_EQ(answer.status(), status) << request.substr(0, 200);
        EXPECT_EQ(answer.header("x-run-state"), "not-run") << request.substr(0, 200);
        EXPECT_FALSE(answer.header("x-request-id").empty());
    }
    EXPECT_EQ(dispatcher_.submitted, 0);
    EXPECT_EQ(executions_, 0);
}

// Guards against callers that together use more memory than there is, and against a crowd that keeps an ordinary request from being answered: the
// requests that have waited longest for their next bytes give way.
TEST_F(FrontEnd, unfinishedRequestsGiveWayToOthers)
{
    FakeServer engine(completeAnswers(1));
    addReplica(engine.endpoint());
    settings_.threads = 1;
    settings_.maxBodyBytes = 20'000;
    settings_.maxRequestMemory = 200'000;
    startFrontEnd();
    std::vector<TestConnection> crowd;
    for (int number = 0; number < 30; ++number) {
        crowd.push_back(connect());
        crowd.back().write(chunked("4e20\r\n" + std::string(19'000, 'x')));
    }
    unsigned refused = 0;
    EXPECT_EQ(chat(false).status(), 200);
    for (auto &connection : crowd) {
        const auto answer = connection.read();
        ASSERT_TRUE(answer);
        refused += answer->status() == 503 && answer->header("x-result-code") == "306 request_memory_full" ? 1 : 0;
        EXPECT_EQ(answer->header("x-run-state"), "not-run");
    }
    EXPECT_GE(refused, 15U);
}

// Guards against a refusal by the dispatcher that reaches the caller without its result code, Retry-After or run state.
TEST_F(FrontEnd, reportsRefusalsOfTheDispatcher)
{
    FakeServer engine(completeAnswers(1));
    addReplica(engine.endpoint());
    startFrontEnd();
    const std::pair<ResultCode, std::string> cases[] = {{ResultCode::QueueFull, "not-run"},
                                                        {ResultCode::DeadlineWouldPass, "not-run"},
                                                        {ResultCode::CustomerOverShare, "not-run"},
                                                        {ResultCode::NoReplicaAvailable, "not-run"},
                                                        {ResultCode::RequestQuarantined, "unknown"}};
    for (const auto &[code, state] : cases) {
        dispatcher_.refusal = code;
        const auto answer = chat(true);
        EXPECT_EQ(answer.status(), static_cast<int>(resultCodeInfo(code).httpStatus));
        EXPECT_EQ(answer.header("x-run-state"), state) << resultCodeName(code);
        EXPECT_EQ(answer.header("retry-after"), "2");
        EXPECT_NE(answer.body.find(std::string(resultCodeName(code))), std::string::npos);
    }
    EXPECT_EQ(executions_, 0);
}

// Guards against a request that stays queued or keeps running at the engine after its caller disconnected.
TEST_F(FrontEnd, cancelsWhenTheCallerDisconnects)
{
    std::atomic<bool> isCancelled = false;
    FakeServer engine([&](const TestMessage &request, TestConnection &connection) {
        if (request.startLine.starts_with("POST /control/cancel")) {
            isCancelled = request.body == R"({"attempt":"17-2-1"})";
            return connection.write(responseText(200, "", "{}"));
        }
        connection.write(EngineAnswer::tokens(request, 1, false));
        return !connection.isClosedByPeer();
    });
    addReplica(engine.endpoint());
    startFrontEnd();
    dispatcher_.holdsGrants = true;
    {
        const auto caller = connect();
        caller.write(chatRequest(true));
        ASSERT_TRUE(waitFor([&] { return dispatcher_.submitted == 1; }));
    }
    EXPECT_TRUE(waitFor([&] { return dispatcher_.cancelled == 1; }));
    dispatcher_.holdsGrants = false;
    {
        auto caller = connect();
        caller.write(chatRequest(true));
        ASSERT_TRUE(caller.readUntil("w0"));
    }
    EXPECT_TRUE(waitFor([&] { return isCancelled.load(); }));
    EXPECT_TRUE(waitFor([&] { return dispatcher_.outcomes() == std::vector{AttemptOutcome::Cancelled}; }));
    EXPECT_TRUE(waitFor([&] { return frontEnd_->requestsInProgress() == 0; }));
}

// Guards against unbounded buffering for a caller that stops reading, and against a slot that it occupies for ever. The engine
// sends without end to a caller that reads nothing.
TEST_F(FrontEnd, appliesBackpressureForSlowCallers)
{
    std::atomic<std::size_t> sent = 0;
    FakeServer engine([&](const TestMessage &request, TestConnection &connection) {
        if (request.startLine.starts_with("POST /control/cancel")) {
            return connection.write(responseText(200, "", "{}"));
        }
        connection.write(EngineAnswer::head(request));
        for (unsigned index = 0;; ++index) {
            auto token = EngineAnswer::token(request, index);
            token.insert(token.find(" \""), std::string(32'000, 'x'));
            if (!connection.write(EngineAnswer::chunk(token))) {
                return false;
            }
            sent += token.size();
        }
    });
    addReplica(engine.endpoint());
    settings_.callerWriteTimeout = milliseconds(300);
    startFrontEnd();
    const auto caller = connect();
    caller.write(chatRequest(true));
    EXPECT_TRUE(waitFor([&] { return dispatcher_.outcomes() == std::vector{AttemptOutcome::Cancelled}; }));
    // Bounded by the kernel buffers of two connections, which hold at most some megabytes each.
    EXPECT_LT(sent, 64U << 20U);
}

// Guards against a drain that interrupts a stream, does not refuse new requests, or reports completion while a stream is open.
TEST_F(FrontEnd, finishesStreamsBeforeItReportsDrained)
{
    std::atomic<bool> mayFinish = false;
    FakeServer engine([&](const TestMessage &request, TestConnection &connection) {
        connection.write(EngineAnswer::tokens(request, 1, false));
        waitFor([&] { return mayFinish.load(); });
        connection.write(EngineAnswer::chunk(EngineAnswer::token(request, 1)));
        return connection.write(EngineAnswer::chunk(EngineAnswer::finish(request, 2)) + EndOfChunks);
    });
    addReplica(engine.endpoint());
    startFrontEnd();
    auto caller = connect();
    caller.write(chatRequest(true));
    ASSERT_TRUE(caller.readUntil("w0"));
    std::atomic<bool> isDone = false;
    frontEnd_->drain([&] { isDone = true; });
    EXPECT_EQ(call("GET /readyz HTTP/1.1\r\n\r\n").header("x-result-code"), "304 draining");
    EXPECT_TRUE(waitFor([&] { return call("GET /other HTTP/1.1\r\n\r\n").header("x-result-code") == "304 draining"; }));
    EXPECT_EQ(call("GET /healthz HTTP/1.1\r\n\r\n").status(), 200);
    EXPECT_FALSE(isDone);
    mayFinish = true;
    const auto answer = caller.read();
    ASSERT_TRUE(answer && answer->isComplete);
    EXPECT_NE(answer->body.find("w1"), std::string::npos);
    EXPECT_TRUE(waitFor([&] { return isDone.load(); }));
}

}
