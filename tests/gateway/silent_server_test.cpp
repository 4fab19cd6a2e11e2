// Tests what becomes of a request whose server is silent for a while and goes on.

#include "tests/gateway/gateway_fixture.h"

#include <atomic>
#include <thread>

namespace carawaypoint
{

namespace
{

constexpr auto TickInterval = milliseconds(100);
/// Longer than the time after which a server counts as stalled, and shorter than that after which callers leave.
constexpr auto Silence = milliseconds(1200);
constexpr unsigned LastEvent = 4;

}

class SilentServer : public GatewayTest
{
protected:
    ~SilentServer() override
    {
        stopTicking();
    }

    void startTicking()
    {
        ticker_ = std::thread([this] {
            while (!isOver_) {
                std::this_thread::sleep_for(TickInterval);
                runOnTrafficThread([this] { context_->loadTracker.tick(context_->now()); });
            }
        });
    }

    void stopTicking()
    {
        isOver_ = true;
        if (ticker_.joinable()) {
            ticker_.join();
        }
    }

    /// Sends @p head of a stream, is silent for @p time and sends the events from @p next on.
    static bool pauseInStream(TestConnection &connection, const std::string &id, unsigned next, Duration time)
    {
        auto stream = eventStream(id, 1, LastEvent, true);
        const auto cut = stream.find("id: " + std::to_string(next));
        const auto begin = next > 1 ? stream.rfind("\r\n", cut - 3) + 2 : stream.find("\r\n\r\n") + 4;
        connection.write(stream.substr(0, begin));
        std::this_thread::sleep_for(time);
        return connection.write(stream.substr(begin));
    }

    static bool refuse(TestConnection &connection, const std::string &id)
    {
        return connection.write(responseText(503, "X-Id: " + id + "\r\nX-Not-Run: 1\r\n", ""));
    }

    static std::string allEvents()
    {
        std::string text;
        for (unsigned number = 1; number <= LastEvent; ++number) {
            text += "id: " + std::to_string(number) + "\ndata: piece" + std::to_string(number) + "\n\n";
        }
        return text;
    }

    void expectWholeStream()
    {
        startTicking();
        auto caller = connect();
        caller.write(request("/s/", "q1"));
        const auto result = caller.read();
        stopTicking();
        ASSERT_TRUE(result);
        EXPECT_EQ(result->status(), 200);
        EXPECT_TRUE(result->isComplete);
        EXPECT_EQ(result->body, allEvents());
    }

private:
    std::thread ticker_;
    std::atomic<bool> isOver_ = false;
};

// Guards against a stream that is cut because its server is silent for a second, although there is no other server.
TEST_F(SilentServer, streamWithoutAnotherServerGoesOn)
{
    FakeServer backend([](const TestMessage &message, TestConnection &connection) { return pauseInStream(connection, message.header("x-id"), 2, Silence); });
    start({backend.endpoint()});
    expectWholeStream();
}

// Guards against a stream that is cut because the second server refuses it, while the first one would have gone on.
TEST_F(SilentServer, streamThatAnotherServerRefusesGoesOn)
{
    std::atomic<int> asked = 0;
    FakeServer backend([&asked](const TestMessage &message, TestConnection &connection) {
        return ++asked == 1 ? pauseInStream(connection, message.header("x-id"), 2, Silence) : refuse(connection, message.header("x-id"));
    });
    start({backend.endpoint(), backend.endpoint()});
    expectWholeStream();
    EXPECT_EQ(asked, 2);
}

// Guards against a stream that is cut because the second server ends its connection, while the first one would have gone on.
TEST_F(SilentServer, streamThatAnotherServerDropsGoesOn)
{
    std::atomic<int> asked = 0;
    FakeServer backend([&asked](const TestMessage &message, TestConnection &connection) {
        return ++asked == 1 && pauseInStream(connection, message.header("x-id"), 2, Silence);
    });
    start({backend.endpoint(), backend.endpoint()});
    expectWholeStream();
}

// Guards against a stream that is cut because the budget for retries is spent, as it is when many servers are silent at once.
TEST_F(SilentServer, streamWithoutARetryBudgetGoesOn)
{
    settings_.retryShare = 0;
    settings_.retrySlack = 0;
    std::atomic<int> asked = 0;
    FakeServer backend([&asked](const TestMessage &message, TestConnection &connection) {
        ++asked;
        return pauseInStream(connection, message.header("x-id"), 2, Silence);
    });
    start({backend.endpoint(), backend.endpoint()});
    expectWholeStream();
    EXPECT_EQ(asked, 1);
}

// Guards against a stream that is refused because its server is silent before the first event and the second one refuses.
TEST_F(SilentServer, silenceBeforeTheFirstEventEndsNoStream)
{
    constexpr auto LongSilence = milliseconds(1800);
    std::atomic<int> asked = 0;
    FakeServer backend([&asked, LongSilence](const TestMessage &message, TestConnection &connection) {
        if (++asked > 1) {
            return refuse(connection, message.header("x-id"));
        }
        std::this_thread::sleep_for(LongSilence);
        return connection.write(eventStream(message.header("x-id"), 1, LastEvent, true));
    });
    start({backend.endpoint(), backend.endpoint()});
    expectWholeStream();
    EXPECT_EQ(asked, 2);
}

// Guards against waiting for a server that stays silent, and against events that come twice or not at all when another one continues.
TEST_F(SilentServer, anotherServerContinuesAStream)
{
    std::atomic<int> asked = 0;
    std::atomic<bool> isOver = false;
    std::string lastEventId;
    FakeServer backend([&](const TestMessage &message, TestConnection &connection) {
        if (++asked == 1) {
            connection.write(eventStream("q1", 1, 2, false));
            waitFor([&isOver] { return isOver.load(); });
            return false;
        }
        lastEventId = message.header("last-event-id");
        return connection.write(eventStream("q1", 2, LastEvent, true));
    });
    start({backend.endpoint(), backend.endpoint()});
    expectWholeStream();
    isOver = true;
    EXPECT_EQ(asked, 2);
    EXPECT_EQ(lastEventId, "2");
}

// Guards against a stream that leaves a server which speaks again before the other one does.
TEST_F(SilentServer, serverThatSpeaksAgainKeepsItsStream)
{
    std::atomic<int> asked = 0;
    std::atomic<bool> isSecondDropped = false;
    FakeServer backend([&](const TestMessage &message, TestConnection &connection) {
        if (++asked == 1) {
            return pauseInStream(connection, message.header("x-id"), 2, Silence);
        }
        isSecondDropped = connection.isClosedByPeer();
        return false;
    });
    start({backend.endpoint(), backend.endpoint()});
    expectWholeStream();
    EXPECT_EQ(asked, 2);
    EXPECT_TRUE(waitFor([&isSecondDropped] { return isSecondDropped.load(); }));
}

// Guards against a call that is given up after a share of its time because the second server refuses, while the first one would have answered.
TEST_F(SilentServer, callThatAnotherServerRefusesIsAnswered)
{
    std::atomic<int> asked = 0;
    FakeServer backend([&asked](const TestMessage &message, TestConnection &connection) {
        if (++asked > 1) {
            return refuse(connection, message.header("x-id"));
        }
        std::this_thread::sleep_for(milliseconds(1100));
        return connection.write(answer(message.header("x-id"), "x"));
    });
    start({backend.endpoint(), backend.endpoint()});
    auto caller = connect();
    caller.write(request("/r/", "q1"));
    const auto result = caller.read();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status(), 200);
    EXPECT_EQ(asked, 2);
}

// Guards against waiting for a silent server until the deadline when another one answers a repeatable call.
TEST_F(SilentServer, anotherServerAnswersACall)
{
    std::atomic<int> asked = 0;
    std::atomic<bool> isOver = false;
    FakeServer backend([&](const TestMessage &message, TestConnection &connection) {
        if (++asked == 1) {
            waitFor([&isOver] { return isOver.load(); });
            return false;
        }
        return connection.write(answer(message.header("x-id"), "x"));
    });
    start({backend.endpoint(), backend.endpoint()});
    auto caller = connect();
    const auto begin = std::chrono::steady_clock::now();
    caller.write(request("/r/", "q1"));
    const auto result = caller.read();
    isOver = true;
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status(), 200);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, seconds(1));
}

}
