#include "idempotency/claim_fakes.h"
#include "serving/front_end_fixture.h"

namespace carawaypoint
{

namespace
{

/// Peers that cannot be reached.
struct UnreachablePeers : PeerClaims {
    void relinquish(const ClaimReference &, Handler handler) override
    {
        handler(RelinquishResult::Unreachable);
    }
};

}

/// A front end with a repeatable service `read` and a non-repeatable one `book`.
class PlainServices : public FrontEndFixture
{
protected:
    PlainServices()
        : objects_(time_, 1)
        , store_(objects_, [](const std::function<void()> &action) { action(); })
    {
        settings_.serviceTimeout = seconds(20);
        dependencies_.claimObjects = &store_;
        dependencies_.peerClaims = &peers_;
        dependencies_.self = MemberId("d1");
        dependencies_.postToClaimExecutor = [this](const std::function<void()> &action) {
            const std::lock_guard lock(claimMutex_);
            action();
            time_.runAll();
        };
        dependencies_.wallTime = [this] {
            return time_.wallTime();
        };
        claimSettings_.maxAnswerBytes = 100;
    }

    ~PlainServices() override
    {
        frontEnd_.reset();
    }

    void startWith(const std::vector<Endpoint> &servers)
    {
        for (const auto &[name, isRepeatable] : {std::pair("read", true), {"book", false}}) {
            ServiceView service{ServiceId(name), isRepeatable, {}};
            for (const auto &server : servers) {
                service.servers.push_back({VmId("v"), server, ZoneId("z"), clock_.now() + hours(1), false});
            }
            snapshot_.services.push_back(service);
        }
        frontEnd_ = HttpFrontEndBuilder().dependencies(dependencies_).settings(settings_).claimSettings(claimSettings_).listenOn({"127.0.0.1", 0}).build();
        ASSERT_FALSE(frontEnd_->start());
    }

    /// A server that runs every call.
    FakeServer::Handler running(const std::string &headers = "", const std::string &body = "done")
    {
        return [this, headers, body](const TestMessage &request, TestConnection &connection) {
            ++executions_;
            last_ = request;
            return connection.write(responseText(201, headers, body)) && headers.find("close") == std::string::npos;
        };
    }

    TestMessage callService(const std::string &name, const std::string &key = "", const std::string &body = "x") const
    {
        return call(
            postText("/services/" + name + "/shifts?week=3", "X-Customer: c\r\nX-Own: 1\r\n" + (key.empty() ? "" : "Idempotency-Key: " + key + "\r\n"), body));
    }

    std::string newKey()
    {
        return makeKey(time_.wallTime(), ++keys_);
    }

    VirtualTime time_;
    FakeObjects objects_;
    FakeStore store_;
    UnreachablePeers peers_;
    ClaimStoreSettings claimSettings_;
    std::mutex claimMutex_;
    std::atomic<int> executions_ = 0;
    TestMessage last_;
    std::uint64_t keys_ = 0;
};

// Guards against calls or answers whose method, path, headers, status or body are changed by the front end.
TEST_F(PlainServices, forwardsCallsAndAnswersUnchanged)
{
    FakeServer server(running("X-Answer: 2\r\nContent-Type: text/plain\r\n"));
    startWith({server.endpoint()});
    const auto answer = callService("read");
    EXPECT_EQ(last_.startLine, "POST /shifts?week=3 HTTP/1.1");
    EXPECT_EQ(last_.header("x-own"), "1");
    EXPECT_EQ(last_.header("x-request-id"), answer.header("x-request-id"));
    EXPECT_EQ(last_.body, "x");
    EXPECT_EQ(answer.status(), 201);
    EXPECT_EQ(answer.header("x-answer"), "2");
    EXPECT_EQ(answer.header("content-type"), "text/plain");
    EXPECT_EQ(answer.header("x-result-code"), "100 ok");
    EXPECT_EQ(answer.header("x-run-state"), "completed");
    EXPECT_EQ(answer.body, "done");
}

// Guards against server faults that fail a repeatable call although another server works, against a second run of a call that is
// not repeatable, and against a wrong run state when there is no other server.
TEST_F(PlainServices, retriesOtherServersOrReportsRunState)
{
    struct Case {
        std::string name;
        FakeServer::Handler answer; // empty: connections are refused
        bool mayHaveRun;
        std::string resultWithoutOtherServer; // result code of the repeatable call when there is no other server
    };
    const auto truncated = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx";
    const Case cases[] = {
        {"refuses connections", {}, false, "408 no_server_available"},
        {"draining", [](const TestMessage &, TestConnection &connection) { return connection.write(responseText(503, "X-Draining: 1\r\n", "")); }, false,
         "404 backend_refused"},
        {"closes", [](const TestMessage &, TestConnection &) { return false; }, true, "401 replica_lost"},
        {"truncates", [&](const TestMessage &, TestConnection &connection) { return connection.write(truncated) && false; }, true, "402 answer_truncated"},
        {"status 000", [](const TestMessage &, TestConnection &connection) { return connection.write("HTTP/1.1 000 X\r\nContent-Length: 1\r\n\r\nx"); }, true,
         "405 backend_bad_answer"},
        {"status 999", [](const TestMessage &, TestConnection &connection) { return connection.write(responseText(999, "", "x")); }, true,
         "405 backend_bad_answer"},
        {"sends no response", [](const TestMessage &, TestConnection &connection) { return !connection.isClosedByPeer(); }, true, "403 backend_timeout"},
    };
    for (const auto &fault : cases) {
        SCOPED_TRACE(fault.name);
        // Only the server that never answers needs a short timeout; it is still long enough for the healthy server on a busy machine.
        settings_.serviceTimeout = fault.resultWithoutOtherServer == "403 backend_timeout" ? seconds(1) : seconds(20);
        const auto makeFaulty = [&] {
            return std::make_unique<FakeServer>([&](const TestMessage &request, TestConnection &connection) {
                executions_ += fault.mayHaveRun ? 1 : 0;
                return fault.answer(request, connection);
            });
        };
        for (const bool hasOther : {false, true}) {
            FakeServer healthy(running());
            const auto faulty = fault.answer ? makeFaulty() : nullptr;
            snapshot_.services.clear();
            std::vector<Endpoint> servers{faulty ? faulty->endpoint() : unusedEndpoint()};
            if (hasOther) {
                servers.push_back(healthy.endpoint());
            }
            startWith(servers);
            // The first call of a front end goes to the first server.
            executions_ = 0;
            const auto booked = callService("book", newKey());
            const bool mayBook = hasOther && !fault.mayHaveRun;
            EXPECT_EQ(booked.header("x-run-state"), mayBook ? "completed" : fault.mayHaveRun ? "unknown" : "not-run");
            EXPECT_EQ(executions_, mayBook || fault.mayHaveRun ? 1 : 0);
            startWith(servers);
            const auto read = callService("read");
            EXPECT_EQ(read.header("x-result-code"), hasOther ? "100 ok" : fault.resultWithoutOtherServer);
            EXPECT_EQ(read.header("x-run-state"), hasOther ? "completed" : fault.mayHaveRun ? "unknown" : "not-run");
            frontEnd_.reset();
        }
    }
}

// Guards against new calls to a server that announced that it leaves, by `Connection: close` or X-Draining.
TEST_F(PlainServices, sendsNoCallsToLeavingServers)
{
    for (const std::string announcement : {"Connection: close\r\n", "X-Draining: 1\r\n"}) {
        snapshot_.services.clear();
        std::atomic<int> leavingCalls = 0;
        FakeServer leaving([&](const TestMessage &request, TestConnection &connection) {
            ++leavingCalls;
            return running(announcement)(request, connection);
        });
        FakeServer staying(running());
        startWith({leaving.endpoint(), staying.endpoint()});
        for (int i = 0; i < 6; ++i) {
            EXPECT_EQ(callService("read").status(), 201);
        }
        EXPECT_EQ(leavingCalls, 1);
        EXPECT_EQ(signals().back(), ServerSignal::Kind::Leaving);
        frontEnd_.reset();
    }
}

// Guards against a booking that runs twice when its caller retries it, against the replay of an answer to another call that reuses
// the key, and against "not-run" for a key that cannot be looked up.
TEST_F(PlainServices, resentBookingsRunOnce)
{
    FakeServer server(running());
    startWith({server.endpoint()});
    const auto key = newKey();
    EXPECT_EQ(callService("book", key).header("x-result-code"), "100 ok");
    const auto again = callService("book", key);
    EXPECT_EQ(again.header("x-result-code"), "101 ok_replayed");
    EXPECT_EQ(again.status(), 201);
    EXPECT_EQ(again.body, "done");
    EXPECT_EQ(callService("book", key, "y").header("x-result-code"), "506 key_reused_for_other_call");
    EXPECT_EQ(executions_, 1);

    const auto now = time_.wallTime();
    const std::tuple<std::string, std::string, std::string> refusals[] = {
        {"", "500 key_required", "not-run"},
        {"1", "501 key_invalid", "not-run"},
        {makeKey(now - hours(25), 1), "502 key_expired", "unknown"},
        {makeKey(now + minutes(11), 1), "501 key_invalid", "not-run"},
    };
    for (const auto &[refused, code, state] : refusals) {
        const auto answer = callService("book", refused);
        EXPECT_EQ(answer.header("x-result-code"), code);
        EXPECT_EQ(answer.header("x-run-state"), state);
    }
    {
        const std::lock_guard lock(claimMutex_);
        objects_.isDown = true;
    }
    // The call with the first key has run, so "not-run" would be wrong while the claims cannot be read.
    for (const auto &uncheckable : {key, newKey()}) {
        const auto unclaimed = callService("book", uncheckable);
        EXPECT_EQ(unclaimed.header("x-result-code"), "505 claim_unavailable");
        EXPECT_EQ(unclaimed.header("x-run-state"), "unknown");
    }
    EXPECT_EQ(executions_, 1);
}

// Guards against the replay of a partial answer: an answer over maxAnswerBytes is recorded without its body.
TEST_F(PlainServices, largeAnswersAreRecordedWithoutBody)
{
    FakeServer server(running("", std::string(101, 'x')));
    startWith({server.endpoint()});
    const auto key = newKey();
    EXPECT_EQ(callService("book", key).body.size(), 101U);
    const auto again = callService("book", key);
    EXPECT_EQ(again.header("x-result-code"), "101 ok_replayed");
    EXPECT_EQ(again.header("x-body-omitted"), "1");
    EXPECT_EQ(again.body, "");
    EXPECT_EQ(executions_, 1);
}

// Guards against a booking whose outcome is lost when its caller disconnects: the call must complete and its outcome be recorded.
TEST_F(PlainServices, bookingCompletesWhenTheCallerDisconnects)
{
    std::atomic<bool> hasStarted = false;
    std::atomic<bool> mayAnswer = false;
    FakeServer server([&](const TestMessage &request, TestConnection &connection) {
        hasStarted = true;
        waitFor([&] { return mayAnswer.load(); });
        return running()(request, connection);
    });
    startWith({server.endpoint()});
    const auto key = newKey();
    {
        const auto caller = connect();
        caller.write(postText("/services/book/shifts?week=3", "X-Customer: c\r\nIdempotency-Key: " + key + "\r\n", "x"));
        ASSERT_TRUE(waitFor([&] { return hasStarted.load(); }));
    }
    EXPECT_EQ(callService("book", key).header("x-result-code"), "503 key_in_use");
    mayAnswer = true;
    EXPECT_TRUE(waitFor([&] { return callService("book", key).header("x-result-code") == "101 ok_replayed"; }));
    EXPECT_EQ(executions_, 1);
}

}
