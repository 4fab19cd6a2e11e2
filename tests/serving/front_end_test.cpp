#include "serving/front_end_fixture.h"

namespace carawaypoint
{

class FrontEnd : public FrontEndFixture
{
protected:
    /// An engine that answers with @p count tokens.
    FakeServer::Handler wholeAnswers(unsigned count)
    {
        return [this, count](const TestMessage &request, TestConnection &connection) {
            ++executions_;
            return connection.write(EngineAnswer::tokens(request, count, true));
        };
    }
    std::atomic<int> executions_ = 0;
};

// Guards against answers that are cut, mixed up or without their result.
TEST_F(FrontEnd, passesWholeAnswersOn)
{
    FakeServer engine(wholeAnswers(3));
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

// Guards against a health check that depends on configuration and a readiness check that does not.
TEST_F(FrontEnd, answersHealthAndReadiness)
{
    startFrontEnd();
    EXPECT_EQ(call("GET /healthz HTTP/1.1\r\n\r\n").status(), 200);
    EXPECT_EQ(call("GET /readyz HTTP/1.1\r\n\r\n").status(), 200);
    snapshot_.generation = 0;
    EXPECT_EQ(call("GET /healthz HTTP/1.1\r\n\r\n").status(), 200);
    EXPECT_EQ(call("GET /readyz HTTP/1.1\r\n\r\n").header("x-result-code"), "305 not_ready");
}

}
