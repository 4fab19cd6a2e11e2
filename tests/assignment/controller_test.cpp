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

    void waitUntilComplete(std::size_t replicas = 2)
    {
        ASSERT_LT(zone.runUntil([&] { return zone.completeReplicas() == replicas; }, seconds(200)), seconds(200));
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

// Guards against replicas that are not formed from free VMs, more than one lease holder, and unused VMs that are not bound
// as spares: 5 VMs must give two replicas of 2 VMs and one spare.
TEST_P(ControllerTest, formsReplicasAndBindsSpares)
{
    waitUntilComplete();
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

// Guards against a repair that takes longer than the detection of the dead member and one weight load although a spare is
// bound to the replica.
TEST_P(ControllerTest, replacesDeadMemberBySpare)
{
    waitUntilComplete();
    const auto before = zone.stored("a");
    const auto &replica = before.replicas.front().spare.isEmpty() ? before.replicas.back() : before.replicas.front();
    zone.kill(replica.members.front().str());
    ASSERT_EQ(zone.completeReplicas(), 1U);
    const auto time = zone.runUntil([&] { return zone.completeReplicas() == 2; }, seconds(60));
    // Detection takes 4 s, the load 5 s, and the write, the order and their answers four steps of 0.25 s.
    EXPECT_LE(time, seconds(10));
    EXPECT_GT(zone.stored("a").replica(replica.id)->fence, replica.fence);
}

// Guards against placement decisions that operators cannot look up by replica, because the log has another subject or no
// reason.
TEST_P(ControllerTest, logsPlacementDecisions)
{
    waitUntilComplete();
    const auto replica = zone.stored("a").replicas.front();
    zone.kill(replica.members.back().str());
    waitUntilComplete();
    std::vector<std::string> choices;
    for (const auto &record : decisionLog().find(replica.id.str())) {
        choices.push_back(record.choice);
        EXPECT_EQ(record.kind, "placement");
        EXPECT_FALSE(record.reason.empty());
    }
    EXPECT_EQ(std::count(choices.begin(), choices.end(), "replace_member") > 0, true);
    EXPECT_EQ(std::count(choices.begin(), choices.end(), "create_replica") > 0, true);
}

// A controller is paused with orders in flight and another daemon takes its lease. An order that arrives after the VM was
// bound to another replica would take it out of that replica. VMs of engines that ignore fencing numbers must not become free
// before the former controller has confirmed that no order is in flight.
TEST_P(ControllerTest, lateOrderOfPausedControllerDoesNotReachReassignedVm)
{
    zone.settings.models.front().replicas = 1;
    for (auto &[name, daemon] : zone.daemons) {
        daemon->controller->setSettings(zone.settings);
    }
    zone.runUntil([&] { return !zone.holders("a").empty(); }, seconds(30));
    auto &former = holder();
    former.delaysOrders = true;
    zone.runUntil([&] { return !former.delayedOrders.empty(); }, seconds(30));
    former.pause(zone.clock.now());
    ASSERT_FALSE(former.delayedOrders.empty());
    // Replaces the model whose orders are in flight by another one.
    auto other = zone.settings;
    other.models = {{ModelId("other"), "1", {}, "pool", 4, 1}};
    other.surplusRemovalDelay = seconds(1);
    for (auto &[name, daemon] : zone.daemons) {
        daemon->controller->setSettings(other);
    }
    zone.run(seconds(60));
    EXPECT_EQ(zone.completeReplicas(), GetParam() ? 1U : 0U) << "VMs of engines that ignore fencing wait for the former controller";
    EXPECT_EQ(zone.stored("a").unconfirmed.size(), 1U);
    former.deliverDelayedOrders(zone.clock.now(), zone.settings.maxOrderLifetime);
    former.resume();
    zone.run(seconds(60));
    EXPECT_EQ(zone.completeReplicas(), 1U);
    EXPECT_TRUE(zone.stored("a").unconfirmed.empty());
}

// A write without an answer may or may not have taken effect. The holder must read the record back instead of assuming
// either, and keep its lease.
TEST_P(ControllerTest, readsRecordBackAfterLostAnswer)
{
    waitUntilComplete();
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
    EXPECT_EQ(zone.completeReplicas(), 2U);
}

// While the platform is unreachable, a member of each of two replicas dies. Guards against a holder that leaves the replica
// with a bound spare incomplete, uses any VM but that spare, or does not store the change when the platform is reachable again.
TEST_P(ControllerTest, isolatedHolderUsesOnlyBoundSpares)
{
    waitUntilComplete();
    auto &daemon = holder();
    const auto before = zone.stored("a");
    const auto &replicaWithSpare = before.replicas.front().spare.isEmpty() ? before.replicas.back() : before.replicas.front();
    const auto &replicaWithoutSpare = &replicaWithSpare == &before.replicas.front() ? before.replicas.back() : before.replicas.front();
    zone.store.setDown(true);
    zone.run(seconds(15));
    EXPECT_EQ(daemon.controller->status().domains.front().ownLeaseState, "isolated");
    zone.kill(replicaWithSpare.members.front().str());
    zone.kill(replicaWithoutSpare.members.back().str());
    zone.run(seconds(20));
    EXPECT_TRUE(zone.engines.at(replicaWithSpare.spare).state.isLoaded);
    EXPECT_EQ(zone.engines.at(replicaWithSpare.spare).state.replica, replicaWithSpare.id);
    EXPECT_EQ(zone.stored("a"), before);
    zone.store.setDown(false);
    zone.run(seconds(5));
    const auto after = zone.stored("a");
    EXPECT_EQ(after.replica(replicaWithSpare.id)->members.front(), replicaWithSpare.spare);
    EXPECT_EQ(after.epoch, before.epoch);
    EXPECT_EQ(zone.completeReplicas(), 1U);
}

// An operator takes a VM out of service while its replica runs a request. Guards against replacing the member before the
// request has ended, which would interrupt it, and against new work on the replica until then.
TEST_P(ControllerTest, drainsVmWithoutInterruptingRequests)
{
    waitUntilComplete();
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
    EXPECT_EQ(zone.completeReplicas(), 2U);
}

// Guards against a wanted replica that is not created because the VMs for it are bound as spares of other replicas.
TEST_P(ControllerTest, releasesSparesForMissingReplica)
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
    EXPECT_EQ(full.completeReplicas(), 3U);
    EXPECT_EQ(full.violations, std::vector<std::string>());
}

// Guards against a version change that updates all replicas of a model at once, so that none serves.
TEST_P(ControllerTest, updatesOneReplicaAtATime)
{
    waitUntilComplete();
    zone.settings.models.front().version = "2";
    for (auto &[name, daemon] : zone.daemons) {
        daemon->controller->setSettings(zone.settings);
    }
    std::size_t fewest = 2;
    zone.runUntil(
        [&] {
            fewest = std::min(fewest, zone.completeReplicas());
            const auto record = zone.stored("a");
            return zone.completeReplicas() == 2
                && std::all_of(record.replicas.begin(), record.replicas.end(), [](const auto &replica) { return replica.version == "2"; });
        },
        seconds(120));
    EXPECT_EQ(fewest, 1U);
    EXPECT_EQ(zone.stored("a").replicas.front().version, "2");
    EXPECT_EQ(zone.stored("a").replicas.back().version, "2");
}

// The store is restored from a copy older than orders that were already sent. The holder must write its newer record again,
// or the restored record would contradict the engines.
TEST_P(ControllerTest, writesNewerRecordOverRestoredCopy)
{
    waitUntilComplete();
    const auto copy = zone.store.copy();
    const auto record = zone.stored("a");
    const auto &replica = record.replicas.front().spare.isEmpty() ? record.replicas.back() : record.replicas.front();
    zone.kill(replica.members.front().str());
    zone.run(seconds(20));
    ASSERT_EQ(zone.completeReplicas(), 2U);
    zone.store.restore(copy);
    zone.run(seconds(40));
    EXPECT_EQ(zone.stored("a").replica(replica.id)->members.front(), replica.spare);
    EXPECT_EQ(zone.completeReplicas(), 2U);
}

// A record that cannot be decoded must not be overwritten, since its assignments may be in effect.
TEST_P(ControllerTest, doesNotOverwriteMalformedRecord)
{
    zone.store.put("domain", "z.a", "{\"zone\":", WriteCondition::always(), [](std::error_code, std::uint64_t) {});
    zone.run(seconds(60));
    EXPECT_TRUE(zone.holders("a").empty());
    EXPECT_EQ(zone.store.writes(), 1U);
}

// A daemon that stops without releasing its leases leaves its domains without a holder until the leases expire.
TEST_P(ControllerTest, releasesLeaseOnStop)
{
    waitUntilComplete();
    auto &daemon = holder();
    bool isStopped = false;
    daemon.controller->stop([&] { isStopped = true; });
    const auto time = zone.runUntil([&] { return zone.stored("a").holder && zone.stored("a").holder->daemon.str() != daemon.name; }, seconds(20));
    EXPECT_TRUE(isStopped);
    EXPECT_LE(time, seconds(4));
    EXPECT_TRUE(zone.stored("a").unconfirmed.empty());
}

// Under random overlapping faults (paused daemons, late orders, lost answers and writes, unreachable platform, dead VMs) no
// engine may carry out an order that contradicts the stored record, and the zone must recover after the faults.
TEST_P(ControllerTest, recoversFromRandomFaults)
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
                daemon.delaysOrders = true;
                break;
            case 2:
            case 3:
                if (daemon.isPaused) {
                    daemon.deliverDelayedOrders(faulty.clock.now(), faulty.settings.maxOrderLifetime);
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
            daemon->deliverDelayedOrders(faulty.clock.now(), faulty.settings.maxOrderLifetime);
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
        EXPECT_EQ(faulty.completeReplicas(), 3U) << "seed " << seed;
        EXPECT_EQ(faulty.holders("a").size(), 1U) << "seed " << seed;
    }
}

}
}
