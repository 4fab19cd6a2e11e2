// Tests that a connection which the gateway closes loses no request: one that has arrived is answered, any other is not read.

#include "tests/gateway/gateway_fixture.h"

#include <atomic>
#include <stdexcept>
#include <thread>

namespace carawaypoint
{

namespace
{

/// Time in which bytes sent on the loopback interface have arrived.
constexpr auto ArrivalTime = milliseconds(30);
constexpr Duration ShortIdleTimeout = milliseconds(150);

}

class SessionClose : public GatewayTest
{
protected:
    /// Handler of a server that answers every request.
    static bool answerEach(const TestMessage &message, TestConnection &connection)
    {
        return connection.write(answer(message.header("x-id"), "x"));
    }
};

// Guards against a planned stop that closes a kept connection although the caller's next request has arrived: the caller got a reset.
TEST_F(SessionClose, requestThatArrivesBeforeAPlannedStopIsAnswered)
{
    FakeServer backend(answerEach);
    start({backend.endpoint()});
    auto caller = connect();
    caller.write(request("/r/", "q1"));
    ASSERT_TRUE(caller.read());
    runOnTrafficThread([this, &caller] {
        caller.write(request("/r/", "q2"));
        std::this_thread::sleep_for(ArrivalTime);
        server_->drain();
    });
    const auto result = caller.read();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status(), 200);
    EXPECT_EQ(result->header("connection"), "close");
}

// Guards against a planned stop that closes a connection which was just opened and whose first request is on its way.
TEST_F(SessionClose, firstRequestOfANewConnectionIsAnsweredDuringAPlannedStop)
{
    FakeServer backend(answerEach);
    start({backend.endpoint()});
    auto caller = connect();
    std::this_thread::sleep_for(ArrivalTime);
    runOnTrafficThread([this] { server_->drain(); });
    caller.write(request("/r/", "q1"));
    const auto result = caller.read();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status(), 200);
}

// Guards against a planned stop during a stream: its header did not announce that the connection closes, so the caller sends its next
// request on it. The gateway read that request and closed the connection without an answer.
TEST_F(SessionClose, requestAfterAStreamThatAPlannedStopOvertookIsAnswered)
{
    std::atomic<bool> mayEnd = false;
    FakeServer backend([&mayEnd](const TestMessage &message, TestConnection &connection) {
        const auto id = message.header("x-id");
        if (id != "q1") {
            return answerEach(message, connection);
        }
        const auto stream = eventStream(id, 1, 1, false);
        connection.write(stream.substr(0, stream.find("20\r\n")));
        waitFor([&mayEnd] { return mayEnd.load(); });
        return connection.write("0\r\n\r\n");
    });
    start({backend.endpoint()});
    auto caller = connect();
    caller.write(request("/s/", "q1"));
    ASSERT_TRUE(caller.readUntil("piece1"));
    runOnTrafficThread([this] { server_->drain(); });
    caller.write(request("/r/", "q2"));
    std::this_thread::sleep_for(ArrivalTime);
    mayEnd = true;
    const auto stream = caller.read();
    ASSERT_TRUE(stream);
    EXPECT_TRUE(stream->isComplete);
    const auto result = caller.read();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status(), 200);
    EXPECT_EQ(result->header("connection"), "close");
}

// Guards against a request that crosses the close of an idle connection: the gateway read it for half a second and gave no answer, so that
// the caller could not know whether it may send the request again.
TEST_F(SessionClose, requestThatCrossesTheCloseOfAnIdleConnectionIsNotRead)
{
    idleTimeout_ = ShortIdleTimeout;
    FakeServer backend(answerEach);
    start({backend.endpoint()});
    auto caller = connect();
    caller.write(request("/r/", "q1"));
    ASSERT_TRUE(caller.read());
    ASSERT_TRUE(caller.isClosedByPeer());
    caller.write(request("/r/", "q2"));
    std::this_thread::sleep_for(ArrivalTime);
    // The system resets the connection when bytes arrive for a closed socket.
    EXPECT_FALSE(caller.write("x"));
}

// Guards against a longer idle timeout that does not apply to connections that are idle already: their callers rely on it at once, and
// their requests met connections that the gateway was closing.
TEST_F(SessionClose, longerIdleTimeoutAppliesToIdleConnections)
{
    idleTimeout_ = ShortIdleTimeout;
    FakeServer backend(answerEach);
    start({backend.endpoint()});
    auto caller = connect();
    caller.write(request("/r/", "q1"));
    ASSERT_TRUE(caller.read());
    idleTimeout_ = seconds(15);
    applyConfig();
    std::this_thread::sleep_for(2 * ShortIdleTimeout);
    caller.write(request("/r/", "q2"));
    const auto result = caller.read();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status(), 200);
}

// Guards against the end of the process just after a request has arrived: the count of requests in progress that the stop looked at was up to a
// tenth of a second old.
TEST_F(SessionClose, processDoesNotEndWhileARequestArrives)
{
    FakeServer backend(answerEach);
    start({backend.endpoint()});
    auto caller = connect();
    auto idle = connect();
    std::this_thread::sleep_for(ArrivalTime);
    bool hasStopped = true;
    runOnTrafficThread([this, &caller, &hasStopped] {
        caller.write(request("/r/", "q1"));
        std::this_thread::sleep_for(ArrivalTime);
        hasStopped = server_->stopIfIdle();
    });
    EXPECT_FALSE(hasStopped);
    const auto result = caller.read();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status(), 200);
    // The caller has its response a moment before the session is idle.
    EXPECT_TRUE(waitFor([this, &hasStopped] {
        runOnTrafficThread([this, &hasStopped] { hasStopped = server_->stopIfIdle(); });
        return hasStopped;
    }));
}

// Guards against a connection that ends without an answer because an error was thrown while its request was processed.
TEST_F(SessionClose, requestWithAnUnexpectedErrorIsAnswered)
{
    names_.serverLoad = "X-Load";
    names_.parseServerLoad = [](std::string_view) -> std::optional<StatedLoad> {
        throw std::length_error("unexpected");
    };
    FakeServer backend([](const TestMessage &, TestConnection &connection) {
        return connection.write(responseText(200, "X-Id: q1\r\nX-Signature: s\r\nX-Load: 1\r\n", "x"));
    });
    start({backend.endpoint()});
    auto caller = connect();
    caller.write(request("/b/", "q1"));
    const auto result = caller.read();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status(), 500);
}

// Guards against a limit of connections that closes the newest one, whose request is about to be read, instead of the one idle for longest.
TEST_F(SessionClose, limitOfConnectionsClosesTheOneIdleForLongest)
{
    settings_.maxDescriptors = 15; // 10 connections of callers
    FakeServer backend(answerEach);
    start({backend.endpoint()});
    std::vector<TestConnection> idle;
    for (int number = 0; number < 10; ++number) {
        idle.push_back(connect());
        std::this_thread::sleep_for(milliseconds(5));
    }
    std::vector<TestConnection> callers;
    callers.reserve(5);
    // All are accepted before the first of them is served.
    runOnTrafficThread([this, &callers] {
        for (int number = 0; number < 5; ++number) {
            callers.push_back(connect());
            callers.back().write(request("/r/", "q" + std::to_string(number)));
        }
        std::this_thread::sleep_for(ArrivalTime);
    });
    for (auto &caller : callers) {
        const auto result = caller.read();
        ASSERT_TRUE(result);
        EXPECT_EQ(result->status(), 200);
    }
    EXPECT_TRUE(idle.front().isClosedByPeer());
}

// Guards against a caller whose malformed body is answered with a closed connection only.
TEST_F(SessionClose, malformedBodyIsAnswered)
{
    FakeServer backend(answerEach);
    start({backend.endpoint()});
    auto caller = connect();
    caller.write("POST /r/ HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nAuthorization: Token key-1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
    const auto result = caller.read();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status(), 400);
}

}
