// Tests that servers which state that they leave, or that they accept no requests for some time, get none.

#include "tests/gateway/gateway_fixture.h"

#include <atomic>

namespace carawaypoint
{

namespace
{

TimePoint at(Duration time)
{
    return TimePoint{} + hours(1) + time;
}

ServingTarget makeTarget(const std::string &id, std::uint64_t startedAt)
{
    ServingTarget target;
    target.server = VmId(id);
    target.startedAt = startedAt;
    return target;
}

std::string rejection(const std::string &id, const std::string &retryAfter)
{
    return responseText(503, "X-Id: " + id + "\r\nX-Not-Run: 1\r\nRetry-After: " + retryAfter + "\r\n", "");
}

}

// Guards against a statement that is held against the next server at the same address, or against the next process of the same server.
TEST(ServerStatements, holdForOneProcessOnly)
{
    ServerStatements statements;
    statements.recordLeaving(makeTarget("a", 1), "q", at(seconds(0)));
    statements.recordDeferral(makeTarget("b", 1), seconds(5), "q", at(seconds(0)));
    const std::vector<ServingTarget> same{makeTarget("a", 1), makeTarget("b", 1)};
    const std::vector<ServingTarget> next{makeTarget("a", 2), makeTarget("b", 2)};
    EXPECT_EQ(statements.unavailable(same, at(seconds(1))).size(), 2U);
    EXPECT_TRUE(statements.unavailable(next, at(seconds(1))).empty());
    statements.recordDeferral(makeTarget("a", 2), seconds(1), "q", at(seconds(2)));
    EXPECT_FALSE(statements.isLeaving(VmId("a"), 2));
}

// Guards against a shorter time that replaces a longer one, against one that never ends, and against memory that grows with servers that are gone.
TEST(ServerStatements, deferralEndsAndIsForgotten)
{
    ServerStatements statements;
    const std::vector<ServingTarget> targets{makeTarget("a", 1), makeTarget("b", 1)};
    statements.recordDeferral(targets[0], seconds(5), "q", at(seconds(0)));
    statements.recordDeferral(targets[0], seconds(1), "q", at(seconds(1)));
    statements.recordDeferral(targets[1], seconds(8), "q", at(seconds(1)));
    EXPECT_EQ(statements.firstDeferralLeft(targets, at(seconds(1))), seconds(4));
    EXPECT_EQ(statements.unavailable(targets, at(seconds(6))), std::vector<VmId>{VmId("b")});
    statements.expire(at(seconds(10)));
    EXPECT_FALSE(statements.firstDeferralLeft(targets, at(seconds(2))));
}

// Guards against values that no server can mean.
TEST(ServerStatements, parsesOnlyPlausibleTimes)
{
    EXPECT_EQ(parseDeferral("2"), seconds(2));
    EXPECT_EQ(parseDeferral("0.25"), milliseconds(250));
    EXPECT_EQ(parseDeferral("99999999"), ServerStatements::MaxDeferral);
    for (const auto *text : {"", "0", "-1", "nan", "inf", "1e3", "0x10", "2s", " 2", "Fri, 04 Dec 2026 10:00:00 GMT"}) {
        EXPECT_FALSE(parseDeferral(text)) << text;
    }
}

class ServerStatementsTest : public GatewayTest
{
protected:
    ServerStatementsTest()
    {
        names_.serverLeaving = "X-Leaving";
    }

    int send(const std::string &path)
    {
        auto caller = connect();
        caller.write(request(path, "q" + std::to_string(++requests_)));
        const auto result = caller.read();
        lastRetryAfter_ = result ? result->header("retry-after") : "";
        return result ? result->status() : 0;
    }

    std::string lastRetryAfter_;

private:
    int requests_ = 0;
};

// Guards against requests to a server that has said in an answer that it leaves, while the store still lists it as ready.
TEST_F(ServerStatementsTest, leavingServerGetsNoFurtherRequest)
{
    std::atomic<int> leavingCount = 0;
    std::atomic<int> otherCount = 0;
    FakeServer leaving([&leavingCount](const TestMessage &message, TestConnection &connection) {
        ++leavingCount;
        const auto id = message.header("x-id");
        auto text = message.startLine.find("/s/") != std::string::npos ? eventStream(id, 1, 1, true) : answer(id, "x");
        return connection.write(text.insert(text.find("X-Id"), "X-Leaving: 1\r\n"));
    });
    FakeServer other([&otherCount](const TestMessage &message, TestConnection &connection) {
        ++otherCount;
        const auto id = message.header("x-id");
        return connection.write(message.startLine.find("/s/") != std::string::npos ? eventStream(id, 1, 1, true) : answer(id, "x"));
    });
    start({leaving.endpoint(), other.endpoint()});
    for (const std::string path : {"/r/", "/s/"}) {
        leavingCount = 0;
        for (int number = 0; number < 20; ++number) {
            EXPECT_EQ(send(path), 200);
        }
        EXPECT_LE(leavingCount, 1) << path;
    }
    EXPECT_GE(otherCount, 38);
}

// Guards against requests to a server before the time is over for which it asked for none, and against taking that for its failure.
TEST_F(ServerStatementsTest, deferringServerGetsNoRequestForItsTime)
{
    std::atomic<int> refusals = 0;
    std::atomic<bool> isBusy = true;
    FakeServer busy([&](const TestMessage &message, TestConnection &connection) {
        const auto id = message.header("x-id");
        return connection.write(isBusy ? (++refusals, rejection(id, "0.4")) : answer(id, "busy"));
    });
    FakeServer other([](const TestMessage &message, TestConnection &connection) { return connection.write(answer(message.header("x-id"), "other")); });
    start({busy.endpoint(), other.endpoint()});
    for (int number = 0; number < 30; ++number) {
        EXPECT_EQ(send("/r/"), 200);
    }
    EXPECT_EQ(refusals, 1);
    isBusy = false;
    std::this_thread::sleep_for(milliseconds(450));
    auto caller = connect();
    unsigned fromBusy = 0;
    for (int number = 0; number < 30; ++number) {
        caller.write(request("/r/", "p" + std::to_string(number)));
        const auto result = caller.read();
        ASSERT_TRUE(result);
        fromBusy += result->body == "busy" ? 1 : 0;
    }
    EXPECT_GE(fromBusy, 1U);
}

// Guards against requests that wait or are sent around although every server has asked for none: callers get the time after which one accepts.
TEST_F(ServerStatementsTest, requestIsRefusedAtOnceWhileAllServersDefer)
{
    std::atomic<int> asked = 0;
    FakeServer backend([&asked](const TestMessage &message, TestConnection &connection) {
        ++asked;
        return connection.write(rejection(message.header("x-id"), "20"));
    });
    start({backend.endpoint(), backend.endpoint()});
    EXPECT_EQ(send("/r/"), 503);
    EXPECT_GT(std::stod(lastRetryAfter_), 15);
    const auto before = asked.load();
    EXPECT_EQ(send("/r/"), 503);
    EXPECT_GT(std::stod(lastRetryAfter_), 15);
    EXPECT_LT(std::stod(lastRetryAfter_), 31);
    EXPECT_EQ(asked, before);
}

}
