#include "gateway/load_exchange.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <thread>

namespace carawaypoint
{

namespace
{

const VmId Server("vm-1");
constexpr unsigned SlowLink = 20; // Mbit/s
constexpr Duration Timeout = seconds(15); // for exchanges that take about two seconds
constexpr Duration PollPause = milliseconds(1);

/// A gateway with one request in progress at the server.
class Gateway
{
public:
    Gateway(unsigned number, const std::string &zone, unsigned linkMbps)
        : context_(makeSettings(number, zone, linkMbps), names_)
        , exchange_(context_, 1)
    {
        EXPECT_FALSE(exchange_.open(context_.settings.peer));
        context_.loadTracker.recordRequestStart(Server, nullptr);
    }

    PeerGateway record() const
    {
        const auto &settings = context_.settings;
        return {settings.id, settings.zone, settings.peer, {}, settings.linkMbps};
    }
    /// Requests of all gateways at the server, as far as this one knows.
    unsigned knownRequests() const
    {
        return context_.loadTracker.requestsAt(Server);
    }
    void setPeers(std::span<const PeerGateway> peers)
    {
        exchange_.setPeers(peers);
    }
    void poll()
    {
        context_.io.poll();
        context_.io.restart();
        context_.loadTracker.tick(context_.now()); // drops the counts of silent gateways
    }

private:
    static GatewaySettings makeSettings(unsigned number, const std::string &zone, unsigned linkMbps)
    {
        GatewaySettings settings;
        settings.id = MemberId("g" + std::to_string(number));
        settings.zone = ZoneId(zone);
        settings.peer = {"127.0.0.1", freeUdpPort()};
        settings.linkMbps = linkMbps;
        return settings;
    }

    static std::uint16_t freeUdpPort()
    {
        asio::io_context io;
        const asio::ip::udp::socket socket(io, {asio::ip::make_address("127.0.0.1"), 0});
        return socket.local_endpoint().port();
    }

    WireNames names_;
    GatewayContext context_;
    LoadExchange exchange_;
};

/// A fleet of 18 gateways in two availability zones, so that load goes through relays. The gateways 0 and 1 have the fastest links of zone `a`
/// and are its relays.
class LoadExchangeTest : public testing::Test
{
protected:
    LoadExchangeTest()
    {
        for (unsigned number = 0; number < 18; ++number) {
            const std::string zone = number % 2 == 0 || number == 1 ? "a" : "b";
            gateways_.push_back(std::make_unique<Gateway>(number, zone, number < 2 ? 200 - number : SlowLink));
            records_.push_back(gateways_.back()->record());
        }
        for (auto &gateway : gateways_) {
            gateway->setPeers(peersOf(*gateway));
        }
    }

    std::vector<PeerGateway> peersOf(const Gateway &gateway) const
    {
        auto peers = records_;
        std::erase(peers, gateway.record());
        return peers;
    }

    /// Ends the process of a gateway. Its record stays in the store.
    void kill(unsigned number)
    {
        gateways_.at(number).reset();
    }

    std::size_t countRunning() const
    {
        return static_cast<std::size_t>(std::count_if(gateways_.begin(), gateways_.end(), [](const auto &gateway) { return gateway != nullptr; }));
    }

    /// Whether each running gateway learns of the requests of all of them.
    bool allLearnTheLoad()
    {
        return runUntil([this] {
            return std::all_of(gateways_.begin(), gateways_.end(),
                               [this](const auto &gateway) { return gateway == nullptr || gateway->knownRequests() == countRunning(); });
        });
    }

    bool runUntil(const std::function<bool()> &isDone)
    {
        const auto end = clock_.now() + Timeout;
        while (!isDone() && clock_.now() < end) {
            for (auto &gateway : gateways_) {
                if (gateway != nullptr) {
                    gateway->poll();
                }
            }
            std::this_thread::sleep_for(PollPause);
        }
        return isDone();
    }

    SteadyClock clock_;
    std::vector<std::unique_ptr<Gateway>> gateways_;
    std::vector<PeerGateway> records_;
};

}

// Guards against a zone whose load no other gateway knows after its relays ended for good: their records stay in the store, and gateways that
// report to them overload the replicas.
TEST_F(LoadExchangeTest, otherGatewaysTakeOverFromRelaysThatEnded)
{
    ASSERT_TRUE(allLearnTheLoad());
    kill(0);
    kill(1);
    EXPECT_TRUE(allLearnTheLoad());
}

// Guards against reports that go to former relays for as long as most gateways of a zone have not read the list of gateways again: only the new
// relay and the former one, which read it every second, know that another gateway has the fastest link now.
TEST_F(LoadExchangeTest, gatewaysReportToARelayThatTheyHaveNotReadOf)
{
    ASSERT_TRUE(allLearnTheLoad());
    kill(0);
    gateways_.push_back(std::make_unique<Gateway>(100, "a", 300));
    records_.push_back(gateways_.back()->record());
    gateways_.back()->setPeers(peersOf(*gateways_.back()));
    gateways_[1]->setPeers(peersOf(*gateways_[1]));
    EXPECT_TRUE(allLearnTheLoad());
}

// Guards against a zone with more and more relays: a relay that was only silent for a while is one again, and its substitute stops.
TEST_F(LoadExchangeTest, relaysThatSpeakAgainReplaceTheirSubstitutes)
{
    ASSERT_TRUE(allLearnTheLoad());
    kill(0);
    ASSERT_TRUE(allLearnTheLoad());
    gateways_[0] = std::make_unique<Gateway>(0, "a", 200);
    records_[0] = gateways_[0]->record();
    for (auto &gateway : gateways_) {
        gateway->setPeers(peersOf(*gateway));
    }
    EXPECT_TRUE(allLearnTheLoad());
}

}
