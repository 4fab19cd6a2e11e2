#include "core/random.h"
#include "core/result_code.h"
#include "observe/decision_log.h"
#include "support/zone_simulation.h"

#include <gtest/gtest.h>

#include <algorithm>

namespace carawaypoint
{
namespace
{

AssignmentSettings settingsFor(std::uint32_t replicas, std::uint32_t vmsPerReplica = 2)
{
    AssignmentSettings settings;
    settings.models = {{ModelId("m"), "1", {}, "pool", vmsPerReplica, replicas}};
    return settings;
}

struct ControllerTest : testing::TestWithParam<bool> {
    explicit ControllerTest(std::uint32_t replicas = 2)
        : zone(settingsFor(replicas), GetParam())
    {
        zone.addDomain("a", 5);
        for (const auto *name : {"d1", "d2", "d3"}) {
            zone.addDaemon(name);
        }
    }

    void settle(std::size_t replicas = 2)
    {
        ASSERT_LT(zone.runUntil([&] { return zone.wholeReplicas() == replicas; }, seconds(200)), seconds(200));
        zone.run(seconds(5));
    }

    ZoneSimulation::Daemon &holder()
    {
        const auto names = zone.holders("a");
        EXPECT_EQ(names.size(), 1U);
        return *zone.daemons.at(names.front());
    }

    void TearDown() override
    {
        EXPECT_EQ(zone.violations, std::vector<std::string>());
    }

    ZoneSimulation zone;
};

INSTANTIATE_TEST_SUITE_P(Engines, ControllerTest, testing::Bool(), [](const auto &info) { return info.param ? "checkFencing" : "ignoreFencing"; });

// Guards against replicas that are never formed, several holders, and left-over VMs that are not bound as spares.
TEST_P(ControllerTest, formsReplicasAndBindsSpares)
{
    settle();
    EXPECT_EQ(zone.holders("a").size(), 1U);
    const auto record = zone.stored("a");
    ASSERT_EQ(record.replicas.size(), 2U);
    EXPECT_TRUE(isConsistent(record));
    EXPECT_EQ(std::count_if(record.replicas.begin(), record.replicas.end(), [](const auto &replica) { return !replica.spare.isEmpty(); }), 1);
    const auto status = holder().controller->status();
    EXPECT_EQ(status.stranded, 0U);
    EXPECT_EQ(status.domains.front().spares, 1U);
    EXPECT_EQ(status.replicas.front().state, "whole");
}

// Guards against a repair that waits for more than the detection and one load when a spare is bound.
TEST_P(ControllerTest, replacesDeadMemberBySpare)
{
    settle();
    const auto before = zone.stored("a");
    const auto &replica = before.replicas.front().spare.isEmpty() ? before.replicas.back() : before.replicas.front();
    zone.kill(replica.members.front().str());
    ASSERT_EQ(zone.wholeReplicas(), 1U);
    const auto time = zone.runUntil([&] { return zone.wholeReplicas() == 2; }, seconds(60));
    // Detection 4 s, load 5 s, and four steps of 0.25 s for the write, the order and their answers.
    EXPECT_LE(time, seconds(10));
    EXPECT_GT(zone.stored("a").replica(replica.id)->fence, replica.fence);
}

// Guards against placement decisions that operators cannot look up by the replica.
TEST_P(ControllerTest, logsPlacementDecisions)
{
    settle();
    const auto replica = zone.stored("a").replicas.front();
    zone.kill(replica.members.back().str());
    settle();
    std::vector<std::string> choices;
    for (const auto &record : decisionLog().find(replica.id.str())) {
        choices.push_back(record.choice);
        EXPECT_EQ(record.kind, "placement");
        EXPECT_FALSE(record.reason.empty());
    }
    EXPECT_EQ(std::count(choices.begin(), choices.end(), "replace_member") > 0, true);
    EXPECT_EQ(std::count(choices.begin(), choices.end(), "create_replica") > 0, true);
}

// Guards against a former controller's late order that reaches a VM after it was given to another replica.
TEST_P(ControllerTest, pausedControllersLateOrderFindsItsVmUnchanged)
{
    zone.settings.models.front().replicas = 1;
    for (auto &[name, daemon] : zone.daemons) {
        daemon->controller->setSettings(zone.settings);
    }
    zone.runUntil([&] { return !zone.holders("a").empty(); }, seconds(30));
    auto &former = holder();
    former.holdsOrders = true;
    zone.runUntil([&] { return !former.held.empty(); }, seconds(30));
    former.pause(zone.clock.now());
    ASSERT_FALSE(former.held.empty());
    // Another model takes the place of the one whose orders are under way.
    auto other = zone.settings;
    other.models = {{ModelId("other"), "1", {}, "pool", 4, 1}};
    other.surplusHold = seconds(1);
    for (auto &[name, daemon] : zone.daemons) {
        daemon->controller->setSettings(other);
    }
    zone.run(seconds(60));
    EXPECT_EQ(zone.wholeReplicas(), GetParam() ? 1U : 0U) << "VMs of engines that ignore fencing wait for the former controller";
    EXPECT_EQ(zone.stored("a").unconfirmed.size(), 1U);
    former.releaseOrders(zone.clock.now(), zone.settings.maxOrderLifetime);
    former.resume();
    zone.run(seconds(60));
    EXPECT_EQ(zone.wholeReplicas(), 1U);
    EXPECT_TRUE(zone.stored("a").unconfirmed.empty());
}

// Guards against a lost answer that is taken for a success or a failure.
TEST_P(ControllerTest, resolvesLostAnswersByReadingBack)
{
    settle();
    const auto epoch = zone.stored("a").epoch;
    zone.store.loseAnswers(1);
    zone.run(seconds(5));
    zone.store.loseWrites(1);
    zone.run(seconds(5));
    EXPECT_EQ(zone.stored("a").epoch, epoch);
    EXPECT_EQ(zone.holders("a").size(), 1U);
    zone.kill(zone.stored("a").replicas.front().members.front().str());
    zone.runUntil([&] { return zone.stored("a").vms.size() > 5; }, seconds(4));
    zone.store.loseAnswers(3);
    zone.run(seconds(30));
    EXPECT_EQ(zone.wholeReplicas(), 2U);
}

// Guards against an isolated zone that leaves a replica down although a spare is bound, and that takes any other VM.
TEST_P(ControllerTest, isolatedHolderUsesOnlyBoundSpares)
{
    settle();
    auto &daemon = holder();
    const auto before = zone.stored("a");
    const auto &spared = before.replicas.front().spare.isEmpty() ? before.replicas.back() : before.replicas.front();
    const auto &other = &spared == &before.replicas.front() ? before.replicas.back() : before.replicas.front();
    zone.store.setDown(true);
    zone.run(seconds(15));
    EXPECT_EQ(daemon.controller->status().domains.front().ownLeaseState, "isolated");
    zone.kill(spared.members.front().str());
    zone.kill(other.members.back().str());
    zone.run(seconds(20));
    EXPECT_TRUE(zone.engines.at(spared.spare).state.isLoaded);
    EXPECT_EQ(zone.engines.at(spared.spare).state.replica, spared.id);
    EXPECT_EQ(zone.stored("a"), before);
    zone.store.setDown(false);
    zone.run(seconds(5));
    const auto after = zone.stored("a");
    EXPECT_EQ(after.replica(spared.id)->members.front(), spared.spare);
    EXPECT_EQ(after.epoch, before.epoch);
    EXPECT_EQ(zone.wholeReplicas(), 1U);
}

// Guards against a planned stop that interrupts a request, and against new work on a server that leaves.
TEST_P(ControllerTest, drainsVmWithoutInterruptingRequests)
{
    settle();
    const auto before = zone.stored("a");
    const auto &replica = before.replicas.front().spare.isEmpty() ? before.replicas.back() : before.replicas.front();
    zone.engines.at(replica.members.front()).state.load.running = 1;
    holder().controller->drainVm(replica.members.back());
    zone.run(seconds(40));
    EXPECT_TRUE(zone.stored("a").replica(replica.id)->isDraining);
    EXPECT_EQ(zone.stored("a").replica(replica.id)->fence, replica.fence) << "a request is still running";
    zone.engines.at(replica.members.front()).state.load.running = 0;
    zone.run(seconds(20));
    const auto after = zone.stored("a");
    EXPECT_FALSE(after.replica(replica.id)->isDraining);
    EXPECT_EQ(after.replica(replica.id)->members.back(), replica.spare);
    EXPECT_EQ(after.vm(replica.members.back())->phase, VmPhase::Free);
    EXPECT_EQ(zone.engines.at(replica.members.back()).state.role, EngineRole::None);
    EXPECT_EQ(zone.wholeReplicas(), 2U);
}

// Guards against spares that keep a wanted replica from being created, although together they are enough VMs for it.
TEST_P(ControllerTest, sparesGiveWayToAWantedReplica)
{
    ZoneSimulation full(settingsFor(2), GetParam());
    full.addDomain("a", 6);
    auto &daemon = full.addDaemon("d1");
    full.run(seconds(60));
    const auto before = full.stored("a");
    EXPECT_EQ(std::count_if(before.replicas.begin(), before.replicas.end(), [](const auto &replica) { return !replica.spare.isEmpty(); }), 2);
    full.settings.models.front().replicas = 3;
    daemon.controller->setSettings(full.settings);
    full.run(seconds(60));
    EXPECT_EQ(full.wholeReplicas(), 3U);
    EXPECT_EQ(full.violations, std::vector<std::string>());
}

// Guards against a version change that takes all replicas of a model down at once.
TEST_P(ControllerTest, updatesOneReplicaAtATime)
{
    settle();
    zone.settings.models.front().version = "2";
    for (auto &[name, daemon] : zone.daemons) {
        daemon->controller->setSettings(zone.settings);
    }
    std::size_t fewest = 2;
    zone.runUntil(
        [&] {
            fewest = std::min(fewest, zone.wholeReplicas());
            const auto record = zone.stored("a");
            return zone.wholeReplicas() == 2
                && std::all_of(record.replicas.begin(), record.replicas.end(), [](const auto &replica) { return replica.version == "2"; });
        },
        seconds(120));
    EXPECT_EQ(fewest, 1U);
    EXPECT_EQ(zone.stored("a").replicas.front().version, "2");
    EXPECT_EQ(zone.stored("a").replicas.back().version, "2");
}

// Guards against an older copy of the store that undoes assignments which orders have already followed.
TEST_P(ControllerTest, writesNewerRecordOverRestoredCopy)
{
    settle();
    const auto copy = zone.store.copy();
    const auto record = zone.stored("a");
    const auto &replica = record.replicas.front().spare.isEmpty() ? record.replicas.back() : record.replicas.front();
    zone.kill(replica.members.front().str());
    zone.run(seconds(20));
    ASSERT_EQ(zone.wholeReplicas(), 2U);
    zone.store.restore(copy);
    zone.run(seconds(40));
    EXPECT_EQ(zone.stored("a").replica(replica.id)->members.front(), replica.spare);
    EXPECT_EQ(zone.wholeReplicas(), 2U);
}

// Guards against a record that nobody can read being overwritten.
TEST_P(ControllerTest, leavesMalformedRecordAlone)
{
    zone.store.put("domain", "z.a", "{\"zone\":", WriteCondition::always(), [](std::error_code, std::uint64_t) {});
    zone.run(seconds(60));
    EXPECT_TRUE(zone.holders("a").empty());
    EXPECT_EQ(zone.store.writes(), 1U);
}

// Guards against a daemon that stops and leaves its domains without a holder until the lease lapses.
TEST_P(ControllerTest, givesLeaseBackOnStop)
{
    settle();
    auto &daemon = holder();
    bool isStopped = false;
    daemon.controller->stop([&] { isStopped = true; });
    const auto time = zone.runUntil([&] { return zone.stored("a").holder && zone.stored("a").holder->daemon.str() != daemon.name; }, seconds(20));
    EXPECT_TRUE(isStopped);
    EXPECT_LE(time, seconds(4));
    EXPECT_TRUE(zone.stored("a").unconfirmed.empty());
}

// Guards against any order that contradicts the record, under faults that overlap, and against a zone that does not recover.
TEST_P(ControllerTest, survivesRandomFaults)
{
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
        ZoneSimulation faulty(settingsFor(3), GetParam());
        faulty.loadsPerSecond = 1;
        faulty.addDomain("a", 7);
        faulty.addDomain("b", 4);
        for (const auto *name : {"d1", "d2", "d3"}) {
            faulty.addDaemon(name);
        }
        RandomGenerator random(seed);
        std::vector<std::string> vms;
        for (const auto &[id, engine] : faulty.engines) {
            vms.push_back(id.str());
        }
        for (int round = 0; round < 60; ++round) {
            auto &daemon = *faulty.daemons.at("d" + std::to_string(1 + random() % 3));
            const auto &vm = vms[random() % vms.size()];
            switch (random() % 10) {
            case 0:
                if (!daemon.isPaused) {
                    daemon.pause(faulty.clock.now());
                }
                break;
            case 1:
                daemon.holdsOrders = true;
                break;
            case 2:
            case 3:
                if (daemon.isPaused) {
                    daemon.releaseOrders(faulty.clock.now(), faulty.settings.maxOrderLifetime);
                    daemon.resume();
                }
                break;
            case 4:
                daemon.isCutFromPlatform = !daemon.isCutFromPlatform;
                break;
            case 5:
                faulty.kill(vm);
                break;
            case 6:
                if (!faulty.engine(vm).isAlive) {
                    faulty.restart(vm);
                }
                break;
            case 7:
                faulty.store.loseAnswers(1);
                break;
            case 8:
                faulty.store.loseWrites(1);
                break;
            default:
                daemon.losesOrderAnswers = !daemon.losesOrderAnswers;
                break;
            }
            faulty.run(seconds(static_cast<int>(random() % 12)));
        }
        for (auto &[name, daemon] : faulty.daemons) {
            daemon->isCutFromPlatform = false;
            daemon->losesOrderAnswers = false;
            daemon->releaseOrders(faulty.clock.now(), faulty.settings.maxOrderLifetime);
            if (daemon->isPaused) {
                daemon->resume();
            }
        }
        for (const auto &vm : vms) {
            if (!faulty.engine(vm).isAlive) {
                faulty.restart(vm);
            }
        }
        faulty.run(seconds(180));
        EXPECT_EQ(faulty.violations, std::vector<std::string>()) << "seed " << seed;
        EXPECT_EQ(faulty.wholeReplicas(), 3U) << "seed " << seed;
        EXPECT_EQ(faulty.holders("a").size(), 1U) << "seed " << seed;
    }
}

}
}
