#include "serving/front_end_fixture.h"

#include <regex>

namespace carawaypoint
{

namespace
{

constexpr unsigned TokenCount = 5;

/// An injected fault: how a faulty engine answers a model request, and the result that the caller must see.
struct Fault {
    std::string name;
    FakeServer::Handler answer;
    unsigned delivered = 0; // valid tokens sent before the fault
    bool mayHaveRun = true;
    std::string resultWithoutOtherReplica; // result code for the caller when there is no other replica
    std::optional<AttemptOutcome> outcome; // outcome reported to the dispatcher; none: the answer is still valid
    bool isUnresponsive = false; // the engine stops sending and keeps the connection open, so only a timeout ends the attempt
};

FakeServer::Handler respondWith(const std::function<std::string(const TestMessage &)> &text, bool staysOpen)
{
    return [text, staysOpen](const TestMessage &request, TestConnection &connection) {
        connection.write(text(request));
        return staysOpen && !connection.isClosedByPeer();
    };
}

FakeServer::Handler refuseWith(int status, const std::string &code)
{
    return [status, code](const TestMessage &request, TestConnection &connection) {
        return connection.write(responseText(status, "X-Attempt-Id: " + request.header("x-attempt-id") + "\r\n", R"({"code":")" + code + "\"}"));
    };
}

std::string replaceAll(const std::string &text, const std::string &from, const std::string &to)
{
    return std::regex_replace(text, std::regex(from), to);
}

std::vector<Fault> faults()
{
    using Request = const TestMessage &;
    const auto partial = [](Request request) {
        return EngineAnswer::tokens(request, 2, false);
    };
    const auto chunk = EngineAnswer::chunk;
    const auto token = EngineAnswer::token;
    const auto lost = AttemptOutcome::ReplicaLost;
    const auto stalled = AttemptOutcome::Stalled;
    const auto refused = AttemptOutcome::Refused;
    const std::string noReplica = "400 no_replica_available";
    return {
        {"draining", refuseWith(503, "draining"), 0, false, noReplica, refused},
        {"full", refuseWith(503, "full"), 0, false, noReplica, refused},
        {"not loaded", refuseWith(503, "not_loaded"), 0, false, noReplica, refused},
        {"wrong replica", refuseWith(409, "wrong_replica"), 0, false, noReplica, refused},
        {"server error", refuseWith(500, "draining"), 0, true, noReplica, stalled},
        {"refusal of another attempt", respondWith([](Request) { return responseText(503, "X-Attempt-Id: 1-1-1\r\n", R"({"code":"draining"})"); }, true), 0,
         true, noReplica, stalled},
        {"closes before the answer", respondWith([](Request) { return ""; }, false), 0, true, noReplica, lost},
        {"closes within the header", respondWith([](Request) { return "HTTP/1.1 200 OK\r\nX-A"; }, false), 0, true, noReplica, lost},
        {"is not HTTP", respondWith([](Request) { return "nonsense\r\n\r\n"; }, false), 0, true, noReplica, lost},
        {"status 099", respondWith([](Request request) { return replaceAll(EngineAnswer::tokens(request, TokenCount, true), "1.1 200", "1.1 099"); }, true), 0,
         true, noReplica, stalled},
        {"unknown encoding beside chunks",
         respondWith([](Request request) { return replaceAll(EngineAnswer::tokens(request, TokenCount, true), "chunked", "gzip, chunked"); }, true), 0, true,
         noReplica, stalled},
        {"sends no response", respondWith([](Request) { return ""; }, true), 0, true, noReplica, stalled, true},
        {"sends no token", respondWith(EngineAnswer::head, true), 0, true, noReplica, stalled, true},
        {"closes within the stream", respondWith(partial, false), 2, true, noReplica, lost},
        {"stops within the stream", respondWith(partial, true), 2, true, noReplica, stalled, true},
        {"ends the encoding without the end marker", respondWith([=](Request request) { return partial(request) + EndOfChunks; }, true), 2, true, noReplica,
         lost},
        {"end marker without finish reason", respondWith([=](Request request) { return partial(request) + chunk("data: [DONE]\n\n") + EndOfChunks; }, true), 2,
         true, noReplica, stalled},
        {"last token lost", respondWith([=](Request request) { return partial(request) + chunk(EngineAnswer::finish(request, 3)) + EndOfChunks; }, true), 2,
         true, noReplica, stalled},
        {"token skipped", respondWith([=](Request request) { return partial(request) + chunk(token(request, 3)); }, true), 2, true, noReplica, stalled},
        {"malformed event", respondWith([=](Request request) { return partial(request) + chunk("data: {\n\n"); }, true), 2, true, noReplica, stalled},
        {"answer to another attempt",
         respondWith([](Request request) { return replaceAll(EngineAnswer::tokens(request, TokenCount, true), request.header("x-attempt-id"), "17-1-99"); },
                     true),
         0, true, noReplica, stalled},
        {"answer of another replica",
         respondWith([](Request request) { return replaceAll(EngineAnswer::tokens(request, TokenCount, true), request.header("x-replica"), "r9/7"); }, true), 0,
         true, noReplica, stalled},
        {"repeats a token and mixes in another attempt",
         respondWith(
             [=](Request request) {
                 auto otherAttempt = replaceAll(token(request, 2), request.header("x-attempt-id"), "17-1-99");
                 otherAttempt = replaceAll(otherAttempt, "w2", "foreign");
                 return partial(request) + chunk(token(request, 1)) + chunk(otherAttempt) + chunk(token(request, 2)) + chunk(token(request, 3))
                     + chunk(token(request, 4)) + chunk(EngineAnswer::finish(request, TokenCount)) + EndOfChunks;
             },
             true),
         TokenCount, true, "100 ok", std::nullopt},
    };
}

}

class EngineFaults : public FrontEndFixture
{
protected:
    /// Only faults with isUnresponsive need a short timeout; it is still long enough for the healthy engine on a busy machine.
    void setTimeouts(bool isUnresponsive)
    {
        settings_.firstByteTimeout = isUnresponsive ? seconds(1) : seconds(20);
        settings_.interTokenTimeout = settings_.firstByteTimeout;
    }

    /// The faulty engine. Counts the requests that it did not refuse and the cancel requests.
    FakeServer::Handler faulty(const Fault &fault)
    {
        return [this, fault](const TestMessage &request, TestConnection &connection) {
            if (request.startLine.starts_with("POST /control/cancel")) {
                ++cancels_;
                return connection.write(responseText(200, "", "{}"));
            }
            executions_ += fault.mayHaveRun ? 1 : 0;
            return fault.answer(request, connection);
        };
    }

    FakeServer::Handler healthy()
    {
        return [this](const TestMessage &request, TestConnection &connection) {
            resumedFrom_ = request.header("x-resume-from");
            return connection.write(EngineAnswer::tokens(request, TokenCount, true));
        };
    }

    static unsigned count(const std::string &text, const std::string &part)
    {
        unsigned number = 0;
        for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
            ++number;
        }
        return number;
    }

    void checkWithSecondReplica(const Fault &fault, bool isStreamed)
    {
        FakeServer first(faulty(fault));
        FakeServer second(healthy());
        addReplica(first.endpoint());
        addReplica(second.endpoint());
        startFrontEnd();
        const auto answer = chat(isStreamed);
        EXPECT_TRUE(answer.isComplete);
        EXPECT_EQ(answer.header("x-result-code"), "100 ok");
        EXPECT_EQ(count(answer.body, "w"), TokenCount) << answer.body;
        for (unsigned index = 0; index < TokenCount; ++index) {
            EXPECT_EQ(count(answer.body, "w" + std::to_string(index) + " "), 1U) << answer.body;
        }
        EXPECT_EQ(count(answer.body, "foreign"), 0U);
        if (fault.outcome) {
            EXPECT_EQ(dispatcher_.outcomes(), (std::vector{*fault.outcome, AttemptOutcome::Completed}));
            EXPECT_EQ(resumedFrom_, fault.delivered > 0 ? std::to_string(fault.delivered) : "");
            EXPECT_TRUE(waitFor([&] { return cancels_ == (fault.mayHaveRun ? 1 : 0); }));
        } else {
            EXPECT_EQ(metrics_.countOf(ServingEvent::RepeatedTokenDropped), 1U);
            EXPECT_EQ(metrics_.countOf(ServingEvent::WrongAttemptDropped), 1U);
        }
        frontEnd_.reset();
    }

    void checkWithoutOtherReplica(const Fault &fault, bool isStreamed)
    {
        FakeServer first(faulty(fault));
        addReplica(first.endpoint());
        startFrontEnd();
        const auto answer = chat(isStreamed);
        if (!fault.outcome) {
            EXPECT_TRUE(answer.isComplete);
        } else if (isStreamed && fault.delivered > 0) {
            EXPECT_FALSE(answer.isComplete) << "a truncated stream was shown as complete";
            EXPECT_EQ(count(answer.body, "[DONE]"), 0U);
            EXPECT_EQ(count(answer.body, R"("run_state":"unknown")"), 1U) << answer.body;
            EXPECT_EQ(count(answer.body, R"("code":400)"), 1U) << answer.body;
        } else {
            EXPECT_EQ(answer.header("x-result-code"), fault.resultWithoutOtherReplica);
            EXPECT_EQ(answer.header("x-run-state"), fault.mayHaveRun ? "unknown" : "not-run");
            EXPECT_EQ(count(answer.body, "w0"), 0U) << "a truncated answer was passed on";
        }
        // "not-run" is reported if and only if no engine ran the request.
        EXPECT_EQ(answer.header("x-run-state") == "not-run", executions_ == 0);
        frontEnd_.reset();
    }

    void reset()
    {
        dispatcher_.~FakeDispatcher();
        new (&dispatcher_) FakeDispatcher();
        metrics_.~CountingMetrics();
        new (&metrics_) CountingMetrics();
        executions_ = 0;
        cancels_ = 0;
        resumedFrom_.clear();
    }

    std::atomic<int> executions_ = 0;
    std::atomic<int> cancels_ = 0;
    std::string resumedFrom_;
};

// Guards against lost or duplicate tokens, tokens of another attempt, truncated answers that look complete, attempts that keep
// running at the failed engine, and "not-run" for a request that ran. An engine refuses, breaks off, stalls or sends an invalid
// answer; once another replica can take over, once there is none.
TEST_F(EngineFaults, retriesAtAnotherReplicaOrReportsRunState)
{
    for (const auto &fault : faults()) {
        for (const bool isStreamed : {false, true}) {
            SCOPED_TRACE(fault.name + (isStreamed ? ", streamed" : ""));
            setTimeouts(fault.isUnresponsive);
            reset();
            checkWithSecondReplica(fault, isStreamed);
            reset();
            checkWithoutOtherReplica(fault, isStreamed);
        }
    }
}

// Guards against run state "unknown" for a request of which no byte was sent, and against sending to a replica that is no longer
// eligible. The first replica refuses connections, the second becomes ineligible after its grant.
TEST_F(EngineFaults, reportsNotRunWhenNothingWasSent)
{
    FakeServer engine(healthy());
    addReplica(unusedEndpoint());
    addReplica(engine.endpoint());
    dispatcher_.ineligible = {"r2"};
    startFrontEnd();
    const auto answer = chat(false);
    EXPECT_EQ(answer.header("x-result-code"), "400 no_replica_available");
    EXPECT_EQ(answer.header("x-run-state"), "not-run");
    EXPECT_EQ(signals(), std::vector{ServerSignal::Kind::ConnectFailed});
    dispatcher_.ineligible.clear();
    EXPECT_EQ(chat(false).status(), 200);
}

// Guards against a request that fails because its pooled connection was closed or no longer answers although the engine works. The
// engine closes or ignores the second request on the pooled connection, and answers on a new one.
TEST_F(EngineFaults, retriesOnFreshConnectionWhenPooledOneIsDead)
{
    for (const bool isUnresponsive : {false, true}) {
        setTimeouts(isUnresponsive);
        reset();
        std::atomic<bool> isFaulty = false;
        FakeServer engine([&](const TestMessage &request, TestConnection &connection) {
            if (request.startLine.starts_with("POST /control/cancel")) {
                return connection.write(responseText(200, "", "{}"));
            }
            if (isFaulty.exchange(false)) {
                return isUnresponsive && !connection.isClosedByPeer();
            }
            return connection.write(EngineAnswer::tokens(request, TokenCount, true));
        });
        addReplica(engine.endpoint());
        startFrontEnd();
        ASSERT_EQ(chat(false).status(), 200);
        isFaulty = true;
        EXPECT_EQ(chat(false).status(), 200);
        EXPECT_EQ(metrics_.countOf(ServingEvent::FreshConnectionRetry), 1U);
        EXPECT_EQ(dispatcher_.outcomes(), (std::vector{AttemptOutcome::Completed, AttemptOutcome::Completed}));
        frontEnd_.reset();
    }
}

// Guards against more attempts than maxAttempts. Ten replicas refuse every request as full.
TEST_F(EngineFaults, limitsAttemptsPerRequest)
{
    std::atomic<int> sent = 0;
    FakeServer engine([&](const TestMessage &request, TestConnection &connection) {
        sent += request.startLine.starts_with("POST /v1") ? 1 : 0;
        return refuseWith(503, "full")(request, connection);
    });
    for (int i = 0; i < 10; ++i) {
        addReplica(engine.endpoint());
    }
    settings_.maxAttempts = 3;
    startFrontEnd();
    EXPECT_EQ(chat(false).header("x-result-code"), "404 backend_refused");
    EXPECT_EQ(sent, 3);
}

}
