// Tests backend servers that send bytes which are no response, or a response without end.

#include "tests/gateway/gateway_fixture.h"

#include <atomic>

namespace carawaypoint
{

namespace
{

/// Longer than any attempt at a faulty server may take, shorter than the timeouts of the routes.
constexpr Duration FailoverTime = milliseconds(1400);
/// Bytes after which a fake server gives up when nobody closes its connection.
constexpr std::size_t EndlessBytes = std::size_t{64} * 1024 * 1024;

std::string responseHead(const std::string &id, const std::string &extra)
{
    return "HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Signature: s\r\n" + extra;
}

/// Sends @p head and then @p block repeatedly until the peer closes the connection. Returns the number of bytes that were accepted.
std::size_t sendEndlessly(const TestConnection &connection, const std::string &head, const std::string &block)
{
    std::size_t sent = 0;
    if (!connection.write(head)) {
        return sent;
    }
    while (sent < EndlessBytes && connection.write(block)) {
        sent += block.size();
    }
    return sent;
}

/// Sends @p bytes at an interval until the peer closes the connection.
void trickle(const TestConnection &connection, const std::string &bytes, Duration interval)
{
    for (int count = 0; count < 100 && connection.write(bytes); ++count) {
        std::this_thread::sleep_for(interval);
    }
}

/// Servers without a sound response for one part of the message.
struct EndlessPart {
    const char *name;
    std::string head;
    std::string block;
};

std::vector<EndlessPart> endlessParts()
{
    const std::string block(16384, 'a');
    return {
        {"header", "HTTP/1.1 200 OK\r\nX-Long: ", block},
        {"header lines", "HTTP/1.1 200 OK\r\n", "X-Line: a\r\n"},
        {"status line", "HTTP/1.1 200 ", block},
        {"body with length", responseHead("q1", "Content-Length: 99999999\r\n\r\n"), block},
        {"body in chunks", responseHead("q1", "Transfer-Encoding: chunked\r\n\r\n"), "4000\r\n" + block + "\r\n"},
        {"body until the end of the connection", responseHead("q1", "\r\n"), block},
        {"chunk size", responseHead("q1", "Transfer-Encoding: chunked\r\n\r\n"), std::string(16384, '0')},
        {"chunk extension", responseHead("q1", "Transfer-Encoding: chunked\r\n\r\n4;x="), block},
        {"trailers", responseHead("q1", "Transfer-Encoding: chunked\r\n\r\n0\r\n"), "X-Line: a\r\n"},
        {"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n"},
        {"late responses", "", responseText(200, "X-Id: other\r\nX-Signature: s\r\n", "late")},
    };
}

}

class FaultyBackend : public GatewayTest
{
protected:
    /// Runs the stall detection for @p time.
    void tickFor(Duration time)
    {
        for (Duration elapsed{}; elapsed < time; elapsed += milliseconds(100)) {
            std::this_thread::sleep_for(milliseconds(100));
            runOnTrafficThread([this] { context_->loadTracker.tick(context_->now()); });
        }
    }
};

// Guards against requests and memory that are held by a server whose response has no end.
TEST_F(FaultyBackend, endlessResponsesAreFailures)
{
    for (const auto &part : endlessParts()) {
        SCOPED_TRACE(part.name);
        std::atomic<std::size_t> accepted = 0;
        FakeServer backend([&](const TestMessage &, TestConnection &connection) {
            accepted = sendEndlessly(connection, part.head, part.block);
            return false;
        });
        start({backend.endpoint()});
        auto caller = connect();
        const auto begin = std::chrono::steady_clock::now();
        caller.write(request("/b/", "q1"));
        const auto result = caller.read();
        ASSERT_TRUE(result);
        EXPECT_EQ(result->status(), 502);
        EXPECT_EQ(result->header("x-signature"), "");
        EXPECT_LT(std::chrono::steady_clock::now() - begin, FailoverTime);
        stopGateway();
        EXPECT_LT(accepted, EndlessBytes);
    }
}

// Guards against bytes that are no response and reach the caller as one: heads with such statuses, fields or encodings were passed on.
TEST_F(FaultyBackend, malformedHeadsAreFailures)
{
    const std::string identity = "X-Id: q1\r\nX-Signature: s\r\n";
    const std::string heads[] = {
        "HTTP/1.1 000 OK\r\n" + identity,
        "HTTP/1.1 099 OK\r\n" + identity,
        "HTTP/1.1 600 OK\r\n" + identity,
        "HTTP/1.1 999 OK\r\n" + identity,
        "HTTP/1.1 200 OK\r\n" + identity + "X Name: a\r\n",
        "HTTP/1.1 200 OK\r\n" + identity + "X\x01: a\r\n",
        "HTTP/1.1 200 OK\r\n" + identity + "Transfer-Encoding: gzip\r\n",
        "HTTP/1.1 100 Continue\r\nX Name: a\r\n\r\nHTTP/1.1 200 OK\r\n" + identity,
    };
    for (const auto &head : heads) {
        SCOPED_TRACE(head);
        std::atomic<int> asked = 0;
        const auto answerMalformed = [&](const TestMessage &, TestConnection &connection) {
            ++asked;
            return connection.write(head + "Content-Length: 3\r\n\r\nbad");
        };
        FakeServer faulty(answerMalformed);
        start({faulty.endpoint()});
        auto caller = connect();
        // The request may have run, so that it is not sent again.
        caller.write(request("/b/", "q1"));
        const auto refused = caller.read();
        ASSERT_TRUE(refused);
        EXPECT_EQ(refused->status(), 502);
        EXPECT_EQ(refused->header("x-signature"), "");
        EXPECT_EQ(asked, 1);
        stopGateway();
        std::atomic<int> soundAsked = 0;
        FakeServer oneFaulty([&](const TestMessage &message, TestConnection &connection) {
            return ++soundAsked == 1 ? answerMalformed(message, connection) : connection.write(answer("q1", "sound"));
        });
        start({oneFaulty.endpoint(), oneFaulty.endpoint()});
        auto second = connect();
        second.write(request("/r/", "q1"));
        const auto answered = second.read();
        ASSERT_TRUE(answered);
        EXPECT_EQ(answered->status(), 200);
        EXPECT_EQ(answered->body, "sound");
        // The connection of the malformed answer is not used again.
        EXPECT_EQ(oneFaulty.connections(), 2);
        stopGateway();
    }
}

// Guards against an assertion in Beast's parser that ends the process: an empty chunked body of which the last chunk arrives in parts.
TEST_F(FaultyBackend, emptyChunkedBodyMayArriveInParts)
{
    FakeServer backend([&](const TestMessage &message, TestConnection &connection) {
        connection.write("HTTP/1.1 200 OK\r\nX-Id: " + message.header("x-id") + "\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n");
        for (const std::string part : {"\r", "\n"}) {
            std::this_thread::sleep_for(milliseconds(30));
            connection.write(part);
        }
        return true;
    });
    start({backend.endpoint()});
    auto caller = connect();
    for (const std::string path : {"/r/", "/s/", "/b/"}) {
        caller.write(request(path, "q" + path.substr(1, 1)));
        const auto result = caller.read();
        ASSERT_TRUE(result);
        EXPECT_EQ(result->status(), 200);
        EXPECT_EQ(result->body, "");
    }
    // Requests for the model and those for the plain service have a connection each.
    EXPECT_EQ(backend.connections(), 2);
}

// Guards against memory that grows with an event that never ends.
TEST_F(FaultyBackend, endlessEventEndsTheAttempt)
{
    std::atomic<int> asked = 0;
    FakeServer backend([&](const TestMessage &, TestConnection &connection) {
        if (++asked == 1) {
            connection.write(eventStream("q1", 1, 1, false));
            sendEndlessly(connection, "", "4000\r\n" + std::string(16384, 'a') + "\r\n");
            return false;
        }
        return connection.write(eventStream("q1", 2, 2, true));
    });
    start({backend.endpoint(), backend.endpoint()});
    auto caller = connect();
    caller.write(request("/s/", "q1"));
    const auto result = caller.read();
    ASSERT_TRUE(result);
    EXPECT_TRUE(result->isComplete);
    EXPECT_EQ(result->body, "id: 1\ndata: piece1\n\nid: 2\ndata: piece2\n\n");
}

// Guards against stalled servers that count as alive because they send a byte or a comment now and then.
TEST_F(FaultyBackend, trickledBytesAreNoProgress)
{
    for (const std::string bytes : {"1\r\na\r\n", "3\r\n:\n\n\r\n"}) {
        SCOPED_TRACE(bytes);
        std::atomic<int> asked = 0;
        FakeServer backend([&](const TestMessage &, TestConnection &connection) {
            if (++asked == 1) {
                auto stream = eventStream("q1", 1, 1, true);
                connection.write(stream.substr(0, stream.size() - 5));
                trickle(connection, bytes, milliseconds(50));
                return false;
            }
            return connection.write(eventStream("q1", 2, 2, true));
        });
        start({backend.endpoint(), backend.endpoint()});
        auto caller = connect();
        caller.write(request("/s/", "q1"));
        EXPECT_TRUE(caller.readUntil("piece1"));
        tickFor(FailoverTime);
        EXPECT_EQ(asked, 2);
        EXPECT_TRUE(caller.readUntil("piece2"));
        stopGateway();
    }
}

// Guards against cutting a sound stream whose large event takes longer than the time between events.
TEST_F(FaultyBackend, growingEventIsProgress)
{
    std::atomic<int> asked = 0;
    FakeServer backend([&](const TestMessage &, TestConnection &connection) {
        ++asked;
        auto stream = eventStream("q1", 1, 1, true);
        connection.write(stream.substr(0, stream.size() - 5) + "c\r\nid: 2\ndata: \r\n");
        for (int part = 0; part < 12; ++part) {
            connection.write("400\r\n" + std::string(1024, 'x') + "\r\n");
            std::this_thread::sleep_for(milliseconds(150));
        }
        return connection.write("6\r\nlast\n\n\r\n0\r\n\r\n");
    });
    start({backend.endpoint(), backend.endpoint()});
    auto caller = connect();
    caller.write(request("/s/", "q1"));
    EXPECT_TRUE(caller.readUntil("piece1"));
    tickFor(milliseconds(1800));
    EXPECT_TRUE(caller.readUntil("last"));
    EXPECT_EQ(asked, 1);
}

// Guards against a rejection that delays the retry at another server because its body is slow or has no end.
TEST_F(FaultyBackend, bodyOfARejectionDoesNotDelayTheRetry)
{
    for (const bool isEndless : {false, true}) {
        SCOPED_TRACE(isEndless);
        std::atomic<int> asked = 0;
        FakeServer backend([&](const TestMessage &, TestConnection &connection) {
            if (++asked > 1) {
                return connection.write(answer("q1", "ran"));
            }
            const std::string head = "HTTP/1.1 503 Full\r\nX-Id: q1\r\nX-Not-Run: 1\r\nContent-Length: 99999999\r\n\r\n";
            if (isEndless) {
                sendEndlessly(connection, head, std::string(16384, 'a'));
            } else {
                connection.write(head);
                trickle(connection, "a", milliseconds(20));
            }
            return false;
        });
        start({backend.endpoint(), backend.endpoint()});
        auto caller = connect();
        const auto begin = std::chrono::steady_clock::now();
        caller.write(request("/b/", "q1"));
        const auto result = caller.read();
        ASSERT_TRUE(result);
        EXPECT_EQ(result->body, "ran");
        EXPECT_LT(std::chrono::steady_clock::now() - begin, milliseconds(700));
        stopGateway();
    }
}

// Guards against forwarding an interim response as the answer.
TEST_F(FaultyBackend, interimResponsesAreSkipped)
{
    FakeServer backend([](const TestMessage &, TestConnection &connection) {
        return connection.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Id: q1\r\n\r\n" + answer("q1", "final"));
    });
    start({backend.endpoint()});
    auto caller = connect();
    caller.write(request("/b/", "q1"));
    const auto result = caller.read();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status(), 200);
    EXPECT_EQ(result->body, "final");
}

// Guards against a connection that speaks another protocol after the response.
TEST_F(FaultyBackend, switchOfProtocolsIsAFailure)
{
    FakeServer backend(
        [](const TestMessage &, TestConnection &connection) { return connection.write("HTTP/1.1 101 Switching Protocols\r\nX-Id: q1\r\nUpgrade: x\r\n\r\n"); });
    start({backend.endpoint()});
    auto caller = connect();
    caller.write(request("/b/", "q1"));
    EXPECT_EQ(caller.read()->status(), 502);
}

// Guards against a late error response to an earlier request that becomes the answer to the next one on the same connection.
TEST_F(FaultyBackend, responseWithoutIdOnAReusedConnectionIsNotForwarded)
{
    std::atomic<int> asked = 0;
    FakeServer backend([&asked](const TestMessage &, TestConnection &connection) {
        return connection.write(++asked == 1 ? answer("q1", "first") : responseText(500, "", "late error"));
    });
    start({backend.endpoint()});
    auto caller = connect();
    caller.write(request("/b/", "q1"));
    EXPECT_EQ(caller.read()->body, "first");
    caller.write(request("/b/", "q2"));
    const auto result = caller.read();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status(), 502);
    EXPECT_EQ(result->body.find("late error"), std::string::npos);
    EXPECT_EQ(backend.connections(), 1);
}

// Guards against request after request on connections that a reset or a middlebox has ended all at once: after one failure the other idle
// connections to the server are not used.
TEST_F(FaultyBackend, failureOnAReusedConnectionDiscardsTheIdleOnes)
{
    constexpr int Kept = 6;
    std::atomic<int> waiting = 0;
    std::atomic<bool> isReset = false;
    std::atomic<int> lost = 0;
    FakeServer backend([&](const TestMessage &message, TestConnection &connection) {
        thread_local const bool isOpenedAfterReset = isReset; // each connection has its own thread
        const auto id = message.header("x-id");
        if (isReset && !isOpenedAfterReset) {
            ++lost;
            return false;
        }
        if (id.starts_with("first")) {
            ++waiting;
            waitFor([&] { return waiting == Kept; });
        }
        return connection.write(answer(id, "ok"));
    });
    start({backend.endpoint()});
    std::vector<TestConnection> callers;
    for (int number = 0; number < Kept; ++number) {
        callers.push_back(connect());
        callers.back().write(request("/b/", "first" + std::to_string(number)));
    }
    for (auto &caller : callers) {
        ASSERT_TRUE(caller.read());
    }
    isReset = true;
    for (int number = 0; number < Kept; ++number) {
        auto caller = connect();
        caller.write(request("/b/", "late" + std::to_string(number)));
        ASSERT_TRUE(caller.read());
        runOnTrafficThread([this] { context_->loadTracker.recordSuccess(VmId("plain-1")); });
    }
    EXPECT_EQ(lost, 1);
}

// Guards against a second copy of a response that waits on an idle connection and becomes the answer to the next request.
TEST_F(FaultyBackend, connectionWithUnreadBytesIsNotReused)
{
    FakeServer backend([](const TestMessage &message, TestConnection &connection) {
        const auto id = message.header("x-id");
        connection.write(answer(id, "own " + id));
        std::this_thread::sleep_for(milliseconds(100));
        return connection.write(answer(id, "copy of " + id));
    });
    start({backend.endpoint()});
    auto caller = connect();
    for (const std::string id : {"q1", "q2", "q3"}) {
        caller.write(request("/b/", id));
        const auto result = caller.read();
        ASSERT_TRUE(result);
        EXPECT_EQ(result->body, "own " + id);
        std::this_thread::sleep_for(milliseconds(200));
    }
    EXPECT_EQ(backend.connections(), 3);
}

// Guards against many large responses at once, which together exceed the memory of the VM.
TEST_F(FaultyBackend, responsesTogetherStayWithinTheMemoryLimit)
{
    settings_.memoryMb = 8;
    const std::string body(std::size_t{1024} * 1024, 'a');
    std::promise<void> release;
    auto released = release.get_future().share();
    FakeServer backend([&](const TestMessage &message, TestConnection &connection) {
        const auto id = message.header("x-id");
        connection.write("HTTP/1.1 200 OK\r\nX-Id: " + id + "\r\nX-Signature: s\r\nContent-Length: " + std::to_string(body.size() + 1) + "\r\n\r\n" + body);
        released.wait();
        return connection.write("b");
    });
    start({backend.endpoint(), backend.endpoint()});
    std::vector<TestConnection> callers;
    for (int number = 0; number < 6; ++number) {
        callers.push_back(connect());
        callers.back().write(request("/b/", "q" + std::to_string(number)));
    }
    std::this_thread::sleep_for(milliseconds(400));
    std::size_t used = 0;
    runOnTrafficThread([this, &used] { used = context_->responseMemory.used(); });
    EXPECT_LE(used, std::size_t{2} * 1024 * 1024);
    release.set_value();
    unsigned whole = 0;
    for (auto &caller : callers) {
        const auto result = caller.read();
        ASSERT_TRUE(result);
        whole += result->status() == 200 ? 1 : 0;
    }
    EXPECT_GE(whole, 1U);
    EXPECT_LT(whole, 6U);
    // The caller has its response a moment before the gateway has released the memory.
    EXPECT_TRUE(waitFor([this, &used] {
        runOnTrafficThread([this, &used] { used = context_->responseMemory.used(); });
        return used == 0;
    })) << used;
}

// Guards against responses with contradictory lengths, of which the rest would become the next response.
TEST_F(FaultyBackend, contradictoryLengthsAreFailures)
{
    const std::vector<std::string> heads{"Content-Length: 4\r\nContent-Length: 9\r\n\r\n", "Content-Length: -1\r\n\r\n",
                                         "Content-Length: 99999999999999999999999\r\n\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n"};
    for (const auto &head : heads) {
        SCOPED_TRACE(head);
        FakeServer backend([&head](const TestMessage &, TestConnection &connection) {
            connection.write(responseHead("q1", head) + "4\r\nbody\r\n0\r\n\r\n");
            return false;
        });
        start({backend.endpoint()});
        auto caller = connect();
        caller.write(request("/b/", "q1"));
        const auto result = caller.read();
        ASSERT_TRUE(result);
        EXPECT_EQ(result->status(), 502);
        stopGateway();
    }
}

// Guards against a stream without a length whose connection ends inside an event: the gateway ended it as complete, so that the caller took
// the part of an event for the end of the answer.
TEST_F(FaultyBackend, streamThatEndsInsideAnEventIsResumed)
{
    for (const bool isChunked : {false, true}) {
        std::atomic<int> asked = 0;
        FakeServer backend([&asked, isChunked](const TestMessage &, TestConnection &connection) {
            if (++asked > 1) {
                return connection.write(eventStream("q1", 2, 3, true));
            }
            const std::string cutEvents = "id: 1\ndata: piece1\n\nid: 2\ndata: pi"; // 34 bytes
            connection.write(isChunked ? responseHead("q1", "Transfer-Encoding: chunked\r\n\r\n22\r\n") + cutEvents + "\r\n0\r\n\r\n"
                                       : responseHead("q1", "\r\n") + cutEvents);
            return isChunked;
        });
        start({backend.endpoint(), backend.endpoint()});
        auto caller = connect();
        caller.write(request("/s/", "q1"));
        const auto result = caller.read();
        ASSERT_TRUE(result);
        EXPECT_TRUE(result->isComplete);
        EXPECT_EQ(result->body, "id: 1\ndata: piece1\n\nid: 2\ndata: piece2\n\nid: 3\ndata: piece3\n\n");
        EXPECT_EQ(asked, 2);
        stopGateway();
    }
}

// Guards against a sound stream without a length that is taken for a broken one because its end is that of its connection.
TEST_F(FaultyBackend, streamThatEndsWithItsConnectionIsComplete)
{
    FakeServer backend([](const TestMessage &, TestConnection &connection) {
        connection.write(responseHead("q1", "\r\n") + "id: 1\ndata: piece1\n\n");
        return false;
    });
    start({backend.endpoint(), backend.endpoint()});
    auto caller = connect();
    caller.write(request("/s/", "q1"));
    const auto result = caller.read();
    ASSERT_TRUE(result);
    EXPECT_TRUE(result->isComplete);
    EXPECT_EQ(result->body, "id: 1\ndata: piece1\n\n");
    EXPECT_EQ(backend.connections(), 1);
}

}
