#include "membership/membership_agent.h"
#include "protocol/peer_service.h"
#include "tests/membership/fake_object_store.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>

namespace carawaypoint
{

namespace
{

/// The membership part of a daemon over real sockets, with short intervals.
struct Daemon {
    Daemon(boost::asio::io_context &io, ObjectStore &store, int index)
        : configuration(io.get_executor(), clock, store, configurationOptions(index))
    {
        MembershipAgentOptions options;
        options.table.period = milliseconds(200);
        // On a busy machine, a short stall of the test process must not count as a pause.
        options.table.pausePeriods = 25;
        options.self.id = MemberId("d" + std::to_string(index));
        options.self.zone = ZoneId("z" + std::to_string(index / 3));
        options.self.process = 100 + static_cast<std::uint64_t>(index);
        options.seedInterval = milliseconds(300);
        options.randomSeed = static_cast<std::uint64_t>(index);
        // The service is started before the agent exists, because its port is known only then. The forwarder gets the agent later.
        forwarder = std::make_unique<ForwardingHandler>();
        service = std::make_unique<PeerService>(io.get_executor(), PeerServiceOptions{}, *forwarder, options.self.process);
        EXPECT_FALSE(service->start({"127.0.0.1", 0}));
        options.self.address = service->localEndpoint();
        MembershipCallbacks callbacks;
        callbacks.onSignal = [this](const PeerSignal &signal) {
            signals.push_back(signal);
        };
        callbacks.onConfirmNoOrdersInFlight = [](const DomainKey &, std::uint64_t epoch, const auto &answer) {
            answer(epoch == 4);
        };
        agent = std::make_unique<MembershipAgent>(io.get_executor(), clock, store, configuration, options, std::move(callbacks));
        forwarder->agent = agent.get();
    }

    ~Daemon()
    {
        service->stop();
    }

    static ConfigurationAgentOptions configurationOptions(int index)
    {
        ConfigurationAgentOptions options;
        options.writer = "d" + std::to_string(index);
        options.retryDelay = milliseconds(20);
        return options;
    }

    struct ForwardingHandler : PeerRequestHandler {
        PeerMessage onExchange(const PeerMessage &message) override
        {
            return agent->onExchange(message);
        }
        ConfigurationText onFetchConfig() override
        {
            return agent->onFetchConfig();
        }
        void onRelinquishClaim(std::string service, std::string key, std::string token, std::function<void(RelinquishOutcome)> answer) override
        {
            agent->onRelinquishClaim(std::move(service), std::move(key), std::move(token), std::move(answer));
        }
        void onConfirmNoOrdersInFlight(DomainKey domain, std::uint64_t epoch, std::function<void(bool)> answer) override
        {
            agent->onConfirmNoOrdersInFlight(std::move(domain), epoch, std::move(answer));
        }
        void onSignals(std::vector<PeerSignal> signals) override
        {
            agent->onSignals(std::move(signals));
        }
        SharedAssignment onFetchAssignment(const std::vector<RecordStamp> &known) override
        {
            return agent->onFetchAssignment(known);
        }
        MembershipAgent *agent = nullptr;
    };

    SteadyClock clock;
    ConfigurationAgent configuration;
    std::unique_ptr<ForwardingHandler> forwarder;
    std::unique_ptr<PeerService> service;
    std::unique_ptr<MembershipAgent> agent;
    std::vector<PeerSignal> signals;
};

class MembershipAgentTest : public testing::Test
{
protected:
    /// Runs the executor until @p isDone; false after 60 s, which only a hanging test reaches.
    bool runUntil(const std::function<bool()> &isDone)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(60);
        while (!isDone()) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
            io_.restart();
            io_.run_one_for(std::chrono::milliseconds(50));
        }
        return true;
    }

    bool holdsForAll(const std::function<bool(Daemon &)> &holds)
    {
        return std::all_of(daemons_.begin(), daemons_.end(), [&](const auto &daemon) { return holds(*daemon); });
    }

    boost::asio::io_context io_;
    test::FakeObjectStore store_{io_.get_executor()};
    std::vector<std::unique_ptr<Daemon>> daemons_;
};

// Guards against missing connections between membership table, peer service and configuration: daemons of two zones must find each
// other by one seed, put a configuration in force, forward signals, and remove a daemon that left.
TEST_F(MembershipAgentTest, daemonsOfTwoZonesWorkTogether)
{
    for (int i = 0; i < 6; ++i) {
        daemons_.push_back(std::make_unique<Daemon>(io_, store_, i));
    }
    const auto seed = daemons_[0]->service->localEndpoint();
    for (const auto &daemon : daemons_) {
        daemon->agent->table().setSeeds({seed});
        daemon->agent->start(*daemon->service);
    }
    ASSERT_TRUE(runUntil([&] {
        return holdsForAll([](Daemon &d) { return d.agent->table().isCurrent(d.clock.now()) && d.agent->table().members().allRecords().size() == 6; });
    }));
    EXPECT_FALSE(holdsForAll([](Daemon &d) { return d.agent->isReady(); })); // no configuration yet

    daemons_[4]->configuration.propose(R"({"base":"x"})", 0, [](std::error_code error, const ConfigurationText &) { EXPECT_FALSE(error); });
    ASSERT_TRUE(runUntil([&] { return holdsForAll([](Daemon &d) { return d.agent->isReady() && d.configuration.tracker().generation() == 1; }); }));

    daemons_[1]->agent->reportCrashSuspect("fp", 1000);
    ASSERT_TRUE(runUntil([&] { return std::count_if(daemons_.begin(), daemons_.end(), [](const auto &d) { return !d->signals.empty(); }) == 5; }));
    EXPECT_EQ(daemons_[5]->signals.size(), 1U); // delivered once, although it arrives both by call and by exchange

    daemons_[2]->agent->leave();
    ASSERT_TRUE(runUntil([&] { return daemons_[3]->agent->table().members().liveMembers(ZoneId("z0")).size() == 2; }));
}

}

}
