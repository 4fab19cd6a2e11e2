// Tests what a gateway that stops does with requests that arrive late.

#include "gateway/drain_schedule.h"
#include "tests/gateway/gateway_fixture.h"

#include <atomic>
#include <thread>

namespace carawaypoint
{

namespace
{

constexpr TimePoint Start{hours(1)};
constexpr Duration GraceTime = seconds(8);
/// Callers may expect a daemon that they reach this long after the signal to serve them whole, or to refuse them.
constexpr auto LateArrival = milliseconds(3020);
/// A request of the stream route that is received this long after the signal may last beyond the drain time.
constexpr auto EarlyArrival = milliseconds(1900);

}

class PlannedStop : public GatewayTest
{
protected:
    PlannedStop()
        : backend_([this](const TestMessage &message, TestConnection &connection) {
            ++arrivals_;
            return connection.write(answer(message.header("x-id"), "x"));
        })
    {
        settings_.drainTime = GraceTime;
    }

    std::atomic<int> arrivals_ = 0;
    FakeServer backend_;
};

// Guards against a stream that is taken late in a planned stop and cut when the drain time is over, while its server is at work on it.
TEST_F(PlannedStop, requestThatMayOutliveTheProcessIsRefusedAtOnce)
{
    start({backend_.endpoint()});
    auto fromBefore = connect();
    runOnTrafficThread([this] { server_->drain(); });
    std::this_thread::sleep_for(LateArrival);
    auto later = connect();
    for (auto *caller : {&fromBefore, &later}) {
        caller->write(request("/s/", "q1"));
        const auto result = caller->read();
        ASSERT_TRUE(result);
        EXPECT_EQ(result->status(), 503);
        EXPECT_FALSE(result->header("retry-after").empty());
        EXPECT_EQ(result->header("connection"), "close");
    }
    EXPECT_EQ(arrivals_, 0);
}

// Guards against a body in chunks whose first bytes arrive early in a planned stop and whose last ones so late that its stream is cut.
TEST_F(PlannedStop, timeOfTheLastByteOfABodyCounts)
{
    start({backend_.endpoint()});
    auto caller = connect();
    runOnTrafficThread([this] { server_->drain(); });
    std::this_thread::sleep_for(EarlyArrival);
    caller.write("POST /s/ HTTP/1.1\r\nHost: h\r\nX-Id: q1\r\nX-Model: m\r\nX-Deadline: 9000\r\nAuthorization: Token key-1\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n");
    std::this_thread::sleep_for(LateArrival - EarlyArrival);
    caller.write("0\r\n\r\n");
    const auto result = caller.read();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status(), 503);
    EXPECT_EQ(arrivals_, 0);
}

// Guards against refusing a late request that ends before the process does whatever happens: its caller would have to ask twice.
TEST_F(PlannedStop, requestThatEndsInTimeIsServed)
{
    start({backend_.endpoint()});
    auto caller = connect();
    runOnTrafficThread([this] { server_->drain(); });
    std::this_thread::sleep_for(LateArrival);
    caller.write(request("/b/", "q1"));
    const auto result = caller.read();
    ASSERT_TRUE(result);
    EXPECT_EQ(result->status(), 200);
}

// Guards against a time limit that is a share of the drain time: with a long one, requests were cut seconds before the process has to end.
TEST(DrainSchedule, leavesAFixedTimeForTheEnd)
{
    for (const Duration drainTime : {Duration(seconds(4)), GraceTime, Duration(seconds(60))}) {
        DrainSchedule drain(drainTime);
        EXPECT_FALSE(drain.isOver(Start));
        drain.start(Start);
        EXPECT_FALSE(drain.isOver(Start + drainTime - DrainSchedule::ExitTime - milliseconds(1)));
        EXPECT_TRUE(drain.isOver(Start + drainTime - DrainSchedule::ExitTime));
    }
}

// Guards against a second signal that starts the drain time anew.
TEST(DrainSchedule, startsOnce)
{
    DrainSchedule drain(GraceTime);
    EXPECT_TRUE(drain.mayTake(Start + hours(1), Start));
    drain.start(Start);
    drain.start(Start + seconds(5));
    EXPECT_TRUE(drain.isOver(Start + GraceTime));
    EXPECT_FALSE(drain.mayAccept(Start + DrainSchedule::AcceptTime));
    EXPECT_FALSE(drain.mayTake(Start + hours(1), Start + DrainSchedule::OpenTime));
    EXPECT_TRUE(drain.mayTake(Start + seconds(6), Start + seconds(5)));
}

}
