// Tests that requests which crash backend servers are recognised and refused, and no others.

#include "tests/gateway/gateway_fixture.h"

#include <algorithm>
#include <atomic>
#include <memory>

namespace carawaypoint
{

namespace
{

constexpr const char *HarmfulPart = "dead";

std::vector<std::uint64_t> hashParts(std::string_view text)
{
    std::vector<std::uint64_t> parts;
    while (!text.empty()) {
        const auto entry = text.substr(0, text.find(','));
        text.remove_prefix(std::min(text.size(), entry.size() + 1));
        parts.push_back(std::hash<std::string_view>()(entry.substr(0, entry.find(':'))));
    }
    return parts;
}

std::string partsField(const std::string &parts)
{
    return "X-Parts: " + parts + "\r\n";
}

}

class CrashQuarantineTest : public GatewayTest
{
protected:
    CrashQuarantineTest()
    {
        names_.promptParts = "X-Parts";
        names_.parsePromptParts = hashParts;
    }

    /// Starts servers that end when a request with the text HarmfulPart in its parts or path reaches them.
    void startCrashingServers(unsigned count)
    {
        for (unsigned number = 0; number < count; ++number) {
            backends_.push_back(std::make_unique<FakeServer>([this, number](const TestMessage &message, TestConnection &connection) {
                const bool isHarmful = (message.header("x-parts") + message.startLine).find(HarmfulPart) != std::string::npos;
                const auto id = message.header("x-id");
                const bool isStream = message.startLine.find("/s/") != std::string::npos;
                if (isHarmful) {
                    std::this_thread::sleep_for(timeToCrash_);
                    ++crashes_;
                    if (crashesAfterFirstEvent_) {
                        connection.write(isStream ? eventStream(id, 1, 1, false) : answer(id, "xy").substr(0, answer(id, "xy").size() - 1));
                    }
                    backends_[number]->stopListening();
                    return false;
                }
                return connection.write(isStream ? eventStream(id, 1, 2, true) : answer(id, "x"));
            }));
        }
        std::vector<Endpoint> endpoints;
        for (const auto &backend : backends_) {
            endpoints.push_back(backend->endpoint());
        }
        start(endpoints);
    }

    /// Sends a request on a connection of its own, after a pause: crashes at about the same time count once.
    TestMessage send(const std::string &path, const std::string &parts)
    {
        std::this_thread::sleep_for(CrashAttributionSettings().burstTime);
        auto caller = connect();
        caller.write(request(path, "q" + std::to_string(++requests_), parts.empty() ? "" : partsField(parts)));
        return caller.read().value_or(TestMessage());
    }

    /// Sends @p count calls, one after the other, that crash their servers. Returns the status of the last one.
    int sendHarmfulCalls(int count)
    {
        int status = 0;
        for (int number = 0; number < count; ++number) {
            status = send("/r/dead", "").status();
        }
        return status;
    }

    std::atomic<int> crashes_ = 0;
    Duration timeToCrash_{}; // from the arrival of a harmful request to the end of its server
    bool crashesAfterFirstEvent_ = false; // servers begin to answer a harmful request before they end

private:
    std::vector<std::unique_ptr<FakeServer>> backends_;
    int requests_ = 0;
};

// Guards against requests that crash one server after the other, of which no two are alike: they share one part of their prompts. Sound
// requests of the same caller and with the same other parts are served.
TEST_F(CrashQuarantineTest, requestsWithAPartThatCrashesServersAreRefused)
{
    startCrashingServers(10);
    for (int number = 0; number < 3; ++number) {
        EXPECT_EQ(send("/s/", "a" + std::to_string(number) + ":40,b" + std::to_string(number) + ":9").status(), 200);
    }
    TestMessage refusal;
    for (int number = 0; number < 8; ++number) {
        refusal = send("/s/", "a" + std::to_string(number % 3) + ":40,dead:8,c" + std::to_string(number) + ":9");
    }
    EXPECT_LE(crashes_, 5);
    EXPECT_EQ(refusal.status(), 503);
    EXPECT_NE(refusal.body.find("prompt_quarantined"), std::string::npos);
    EXPECT_GT(std::stod(refusal.header("retry-after")), 500);
    for (int number = 0; number < 3; ++number) {
        EXPECT_EQ(send("/s/", "a" + std::to_string(number) + ":40,d:9").status(), 200);
    }
}

// Guards against a second crash by the same request once such requests are known to lose their servers.
TEST_F(CrashQuarantineTest, suspectRequestIsNotSentToASecondServer)
{
    startCrashingServers(6);
    EXPECT_EQ(send("/s/", "a1:40,dead:8,c1:9").status(), 502);
    EXPECT_EQ(crashes_, 2);
    EXPECT_EQ(send("/s/", "a2:40,dead:8,c2:9").status(), 502);
    EXPECT_EQ(crashes_, 3);
}

// Guards against requests without parts that crash servers and come again unchanged.
TEST_F(CrashQuarantineTest, repeatedRequestThatCrashesServersIsRefused)
{
    startCrashingServers(10);
    EXPECT_EQ(sendHarmfulCalls(8), 503);
    EXPECT_LE(crashes_, 5);
    EXPECT_EQ(send("/r/other", "").status(), 200);
}

// Guards against a request that comes again and is never held back, because other requests of its session, which share its parts, are answered
// before each crash and between the crashes (review/8).
TEST_F(CrashQuarantineTest, repeatedRequestOfASessionIsRefusedAndTheOthersAreServed)
{
    startCrashingServers(16);
    int status = 0;
    for (int number = 0; number < 8; ++number) {
        EXPECT_EQ(send("/s/" + std::to_string(number), "a1:40,b1:9").status(), 200);
        status = send("/s/dead", "a1:40,b1:9").status();
    }
    EXPECT_EQ(status, 503);
    EXPECT_LE(crashes_, 5);
    EXPECT_EQ(send("/s/dead", "a2:40,b2:9").status(), 503) << "with other parts";
    EXPECT_EQ(send("/s/other", "a1:40,b1:9").status(), 200);
    EXPECT_LE(crashes_, 5);
}

// Guards against requests that crash one server after the other just after the first event: the event was taken for an answer, which cleared
// the evidence.
TEST_F(CrashQuarantineTest, requestsThatCrashServersAfterTheFirstEventAreRefused)
{
    crashesAfterFirstEvent_ = true;
    startCrashingServers(12);
    TestMessage refusal;
    for (int number = 0; number < 8; ++number) {
        refusal = send("/s/", "a1:40,dead:8,c" + std::to_string(number) + ":9");
    }
    EXPECT_LE(crashes_, 5);
    EXPECT_EQ(refusal.status(), 503);
    EXPECT_EQ(send("/s/", "a1:40,d:9").status(), 200);
}

// Guards against calls that crash servers in the middle of the response.
TEST_F(CrashQuarantineTest, callsThatCrashServersInTheResponseAreRefused)
{
    crashesAfterFirstEvent_ = true;
    startCrashingServers(12);
    EXPECT_EQ(sendHarmfulCalls(8), 503);
    EXPECT_LE(crashes_, 5);
}

// Guards against calls that crash servers after a while: by then a second server was asked, whose end was no evidence, so that twice as many
// servers were lost.
TEST_F(CrashQuarantineTest, callsThatCrashServersLateAreRefused)
{
    timeToCrash_ = milliseconds(550);
    startCrashingServers(16);
    EXPECT_EQ(sendHarmfulCalls(6), 503);
    EXPECT_LE(crashes_, 5);
}

// Guards against blaming a request whose stream has gone on for a while for the loss of its server.
TEST_F(CrashQuarantineTest, longStreamIsNoSuspect)
{
    FakeServer *self = nullptr;
    FakeServer backend([&self](const TestMessage &message, TestConnection &connection) {
        const auto stream = eventStream(message.header("x-id"), 1, 2, true);
        const auto half = stream.find("id: 2");
        connection.write(stream.substr(0, half));
        std::this_thread::sleep_for(milliseconds(600));
        connection.write(stream.substr(half, stream.rfind("0\r\n\r\n") - half));
        std::this_thread::sleep_for(milliseconds(50));
        self->stopListening();
        return false;
    });
    self = &backend;
    start({backend.endpoint()});
    send("/s/", "a:40,b:8");
    std::vector<TraitEvidence> evidence;
    runOnTrafficThread([this, &evidence] { evidence = context_->quarantine.evidenceForReport(context_->now()); });
    EXPECT_TRUE(evidence.empty());
}

// Guards against blaming a request for a connection that a living server has reset.
TEST_F(CrashQuarantineTest, resetConnectionOfALivingServerIsNoCrash)
{
    FakeServer backend([](const TestMessage &, TestConnection &) { return false; });
    start({backend.endpoint(), backend.endpoint()});
    for (int number = 0; number < 8; ++number) {
        EXPECT_EQ(send("/s/", "a:40,b:8,c:9").status(), 502);
    }
    std::vector<TraitEvidence> evidence;
    runOnTrafficThread([this, &evidence] {
        for (int report = 0; report < 20; ++report) {
            const auto part = context_->quarantine.evidenceForReport(context_->now());
            evidence.insert(evidence.end(), part.begin(), part.end());
        }
    });
    EXPECT_TRUE(evidence.empty());
}

// Guards against a gateway that admits what the others refuse: no two of the requests come to the same gateway.
TEST_F(CrashQuarantineTest, evidenceOfOtherGatewaysIsUsed)
{
    startCrashingServers(4);
    CrashQuarantine peer(minutes(10));
    for (std::uint64_t crash = 1; crash <= 4; ++crash) {
        boost::beast::http::fields fields;
        fields.set("X-Parts", "dead:8");
        // No two of the requests are alike.
        const boost::beast::http::request<boost::beast::http::string_body> request(boost::beast::http::verb::post, "/s/", 11, "turn " + std::to_string(crash),
                                                                                   std::move(fields));
        const auto traits = requestTraits(names_, request, {ServiceId("drafting"), ModelId("m")}, CustomerId("customer-1"));
        peer.recordLostServer(VmId("other"), crash, "q", traits, context_->now() - seconds(5 - crash));
    }
    runOnTrafficThread([&] { context_->quarantine.merge(MemberId("peer"), peer.evidenceForReport(context_->now()), context_->now()); });
    const auto refusal = send("/s/", "a1:40,dead:8,c1:9");
    EXPECT_EQ(refusal.status(), 503);
    EXPECT_EQ(crashes_, 0);
    // The operator's setting ends it.
    runOnTrafficThread([this] { context_->quarantine.setTime(Duration{}, context_->now()); });
    EXPECT_EQ(send("/s/", "a1:40,dead:8,c1:9").status(), 502);
}

}
