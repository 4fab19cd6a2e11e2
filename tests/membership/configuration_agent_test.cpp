#include "fake_object_store.h"
#include "membership/configuration_agent.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <optional>

namespace carawaypoint
{

namespace
{

using test::FakeObjectStore;

const std::pair<std::string, std::string> CurrentKey{"config", "current"};

/// Peers that all return the same configuration.
class FakePeers : public PeerCalls
{
public:
    void exchange(const PeerTarget &, PeerMessage, ExchangeHandler) override
    {
    }
    void fetchConfig(const PeerTarget &, ConfigurationHandler handler) override
    {
        handler({}, configuration);
    }
    void relinquishClaim(const PeerTarget &, std::string_view, std::string_view, std::string_view, RelinquishHandler) override
    {
    }
    void confirmNoOrdersInFlight(const PeerTarget &, const DomainKey &, std::uint64_t, ConfirmHandler) override
    {
    }
    void reportSignals(const PeerTarget &, std::vector<PeerSignal>, DoneHandler) override
    {
    }
    void fetchAssignment(const PeerTarget &, std::vector<RecordStamp>, AssignmentHandler) override
    {
    }

    ConfigurationText configuration;
};

class ConfigurationAgentTest : public testing::Test
{
protected:
    std::unique_ptr<ConfigurationAgent> makeAgent(std::string writer)
    {
        ConfigurationAgentOptions options;
        options.writer = std::move(writer);
        options.retryDelay = milliseconds(1);
        auto agent = std::make_unique<ConfigurationAgent>(io_.get_executor(), clock_, store_, options);
        agent->setPeers(peers_);
        return agent;
    }

    /// Runs handlers until no more are ready and the short retry timers have expired.
    void runUntilIdle()
    {
        for (int i = 0; i < 20; ++i) {
            io_.restart();
            io_.run_for(std::chrono::milliseconds(15));
        }
    }

    struct Result {
        std::error_code error;
        ConfigurationText present;
    };

    std::shared_ptr<std::optional<Result>> propose(ConfigurationAgent &agent, std::string_view documents, std::uint64_t expected)
    {
        auto result = std::make_shared<std::optional<Result>>();
        agent.propose(documents, expected, [result](std::error_code error, ConfigurationText present) { *result = Result{error, std::move(present)}; });
        return result;
    }

    std::uint64_t storedGeneration()
    {
        const auto found = store_.objects.find(CurrentKey);
        const auto stored = found == store_.objects.end() ? std::nullopt : parseStoredConfiguration(found->second.value);
        return stored ? stored->configuration.generation : 0;
    }

    boost::asio::io_context io_;
    ManualClock clock_;
    FakeObjectStore store_{io_.get_executor()};
    FakePeers peers_;
};

// Guards against two operators who propose a change of the same generation at the same time and are both told that it was
// accepted.
TEST_F(ConfigurationAgentTest, acceptsOneOfTwoConcurrentProposals)
{
    auto first = makeAgent("a");
    auto second = makeAgent("b");
    const auto one = propose(*first, R"({"base":"1"})", 0);
    const auto two = propose(*second, R"({"base":"2"})", 0);
    runUntilIdle();
    ASSERT_TRUE(*one && *two);
    EXPECT_FALSE((*one)->error);
    EXPECT_EQ((*two)->error, ResultCode::ConfigConflict);
    EXPECT_EQ((*two)->present.text, R"({"base":"1"})"); // the refused operator receives the accepted text
    EXPECT_EQ(second->tracker().generation(), 0U); // the refused proposal is not put in force
    const auto again = propose(*second, R"({"base":"2"})", 1);
    runUntilIdle();
    EXPECT_FALSE((*again)->error);
    EXPECT_EQ(storedGeneration(), 2U);
}

// Guards against a lost response that is reported as a conflict with the operator's own write, or as a success although the
// write did not take effect.
TEST_F(ConfigurationAgentTest, resolvesLostResponsesByReadingBack)
{
    auto agent = makeAgent("a");
    store_.lostResponses = 1;
    const auto lost = propose(*agent, R"({"base":"1"})", 0);
    runUntilIdle();
    EXPECT_FALSE((*lost)->error);
    store_.droppedWrites = 1;
    const auto dropped = propose(*agent, R"({"base":"2"})", 1);
    runUntilIdle();
    EXPECT_FALSE((*dropped)->error);
    EXPECT_EQ(storedGeneration(), 2U);
    EXPECT_EQ(store_.writes, 2);
    store_.isDown = true;
    const auto down = propose(*agent, R"({"base":"3"})", 2);
    runUntilIdle();
    EXPECT_EQ((*down)->error, ResultCode::PlatformUnavailable);
    EXPECT_EQ(agent->tracker().generation(), 2U);
}

// Guards against a write without effect that is reported as a success after its response was lost and another operator wrote
// the same generation.
TEST_F(ConfigurationAgentTest, reportsConflictWhenAnotherWriteReplacedALostOne)
{
    auto first = makeAgent("a");
    auto second = makeAgent("b");
    store_.droppedWrites = 1;
    const auto one = propose(*first, R"({"base":"1"})", 0);
    io_.poll(); // the first write has no effect and its retry is pending
    const auto two = propose(*second, R"({"base":"2"})", 0);
    runUntilIdle();
    EXPECT_NE(!(*one)->error, !(*two)->error);
    EXPECT_EQ(storedGeneration(), 1U);
}

// Guards against storing documents that daemons cannot parse or that exceed the size limit.
TEST_F(ConfigurationAgentTest, refusesInvalidOrTooLargeDocuments)
{
    auto agent = makeAgent("a");
    struct Case {
        std::string documents;
        ResultCode code;
    };
    for (const auto &[documents, code] : {Case{"[1]", ResultCode::ConfigInvalid},
                                          {"{", ResultCode::ConfigInvalid},
                                          {"", ResultCode::ConfigInvalid},
                                          {R"({"base":")" + std::string(ObjectStore::MaxValueBytes, 'x') + "\"}", ResultCode::ConfigTooLarge}}) {
        const auto result = propose(*agent, documents, 0);
        runUntilIdle();
        EXPECT_EQ((*result)->error, code);
    }
    EXPECT_EQ(store_.writes, 0);
}

// Guards against a watcher that misses changes, and against a daemon that goes on watching after it lost the role.
TEST_F(ConfigurationAgentTest, followsThePlatformOnlyWhileWatching)
{
    auto operators = makeAgent("a");
    auto watcher = makeAgent("w");
    watcher->setWatcher(true);
    propose(*operators, R"({"base":"1"})", 0);
    runUntilIdle();
    EXPECT_EQ(watcher->tracker().generation(), 1U);
    watcher->setWatcher(false);
    propose(*operators, R"({"base":"2"})", 1);
    runUntilIdle();
    EXPECT_EQ(watcher->tracker().generation(), 1U);
    watcher->setWatcher(true);
    runUntilIdle();
    EXPECT_EQ(watcher->tracker().generation(), 2U);
}

// Guards against reverting to an older configuration when the platform is restored from an older backup.
TEST_F(ConfigurationAgentTest, writesTheHigherGenerationBackAfterARestore)
{
    auto watcher = makeAgent("w");
    watcher->setWatcher(true);
    propose(*watcher, R"({"base":"1"})", 0);
    runUntilIdle();
    const auto backup = store_.objects;
    const auto backupRevision = store_.revision;
    propose(*watcher, R"({"base":"2"})", 1);
    runUntilIdle();
    ASSERT_EQ(watcher->tracker().generation(), 2U);
    store_.objects = backup;
    store_.revision = backupRevision;
    store_.endWatches();
    runUntilIdle();
    EXPECT_EQ(watcher->tracker().inForce().text, R"({"base":"2"})");
    EXPECT_EQ(storedGeneration(), 2U);

    store_.objects.clear(); // the backup has no configuration
    store_.revision = 0;
    store_.endWatches();
    runUntilIdle();
    EXPECT_EQ(storedGeneration(), 2U);
}

// Guards against accepting a change of an older generation that only the platform has after it was restored from a backup.
TEST_F(ConfigurationAgentTest, refusesProposalsOnARestoredGeneration)
{
    auto agent = makeAgent("a");
    propose(*agent, R"({"base":"1"})", 0);
    runUntilIdle();
    const auto backup = store_.objects;
    propose(*agent, R"({"base":"2"})", 1);
    runUntilIdle();
    store_.objects = backup;
    const auto result = propose(*agent, R"({"base":"3"})", 1);
    runUntilIdle();
    EXPECT_EQ((*result)->error, ResultCode::ConfigConflict);
    EXPECT_EQ((*result)->present.generation, 2U);
}

// Guards against a daemon that stays without a configuration while the platform is unreachable, or that puts a lower
// generation from a peer in force.
TEST_F(ConfigurationAgentTest, fetchesTheHighestGenerationFromPeers)
{
    store_.isDown = true;
    auto agent = makeAgent("r");
    agent->setWatcher(true);
    EXPECT_FALSE(agent->tracker().isReady());
    peers_.configuration = {5, 0, R"({"base":"5"})"};
    agent->recordMember({MemberId("p"), 1, {}}, 5, configurationDigest(R"({"base":"5"})"));
    runUntilIdle();
    EXPECT_EQ(agent->tracker().generation(), 5U);
    peers_.configuration = {4, 0, R"({"base":"4"})"};
    agent->recordMember({MemberId("q"), 1, {}}, 6, 0); // announces 6 but delivers 4
    runUntilIdle();
    EXPECT_EQ(agent->tracker().generation(), 5U);
    peers_.configuration = {7, 0, "no json"};
    agent->recordMember({MemberId("q"), 1, {}}, 7, 0);
    EXPECT_EQ(agent->tracker().generation(), 5U);
    EXPECT_EQ(agent->invalidConfigurationCount(), 1U);
}

// Guards against members that have different texts of one generation unnoticed. The difference has to be reported, and the text
// in force is not replaced.
TEST_F(ConfigurationAgentTest, reportsAnotherTextUnderTheSameGeneration)
{
    auto agent = makeAgent("a");
    propose(*agent, R"({"base":"1"})", 0);
    runUntilIdle();
    agent->recordMember({MemberId("p"), 1, {}}, 1, 42);
    EXPECT_EQ(agent->invalidConfigurationCount(), 1U);
    EXPECT_EQ(agent->tracker().inForce().text, R"({"base":"1"})");
}

// Guards against a second text of the generation in force that replaces the first, or is ignored without an error.
TEST(GenerationTracker, refusesAnotherTextOfTheSameGeneration)
{
    GenerationTracker tracker;
    EXPECT_EQ(tracker.applyIfNewer({3, 0, "a"}), GenerationTracker::Outcome::Applied);
    EXPECT_EQ(tracker.applyIfNewer({3, 0, "a"}), GenerationTracker::Outcome::Unchanged);
    EXPECT_EQ(tracker.applyIfNewer({3, 0, "b"}), GenerationTracker::Outcome::DigestMismatch);
    EXPECT_EQ(tracker.applyIfNewer({2, 0, "c"}), GenerationTracker::Outcome::Older);
    EXPECT_EQ(tracker.inForce().text, "a");
}

// Guards against a status that shows a member with an earlier generation, or with the wrong start time of its generation.
TEST(GenerationTracker, recordsSinceWhenAMemberHasItsGeneration)
{
    GenerationTracker tracker;
    ManualClock clock;
    tracker.recordMember(MemberId("p"), 1, 7, clock.now());
    const auto first = clock.now();
    clock.advance(seconds(5));
    tracker.recordMember(MemberId("p"), 1, 7, clock.now());
    EXPECT_EQ(tracker.memberStatus().front().since, first);
    tracker.recordMember(MemberId("p"), 2, 8, clock.now());
    EXPECT_EQ(tracker.memberStatus().front().since, clock.now());
    tracker.forgetMember(MemberId("p"));
    EXPECT_TRUE(tracker.memberStatus().empty());
}

}

}
