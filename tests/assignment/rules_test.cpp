#include "assignment/order_rules.h"
#include "assignment/zone_plan.h"

#include <gtest/gtest.h>

namespace carawaypoint
{
namespace
{

DomainRecord sampleRecord()
{
    DomainRecord record;
    record.key = {ZoneId("z"), FabricDomainId("a")};
    record.epoch = 3;
    record.sequence = 9;
    record.holder = ControllerRef{MemberId("d1"), {"10.1.0.1", 1}, 7, 3};
    record.writerToken = "d1/7/9";
    record.lastIncarnation = 6;
    record.vms = {{VmId("v1"), {"10.0.0.1", 1}, "p", VmPhase::Bound, ReplicaId("r"), {}, false},
                  {VmId("v2"), {"10.0.0.1", 2}, "p", VmPhase::Bound, ReplicaId("r"), {}, true},
                  {VmId("v3"), {"10.0.0.1", 3}, "p", VmPhase::Releasing, ReplicaId("q"), {3, 6}, false},
                  {VmId("v4"), {"10.0.0.1", 4}, "p", VmPhase::Free, {}, {}, false}};
    record.replicas = {{ReplicaId("r"), {2, 5}, ModelId("m"), "1", {"a"}, 1, {VmId("v1")}, VmId("v2"), true}};
    record.unconfirmed = {{MemberId("d0"), {"10.1.0.2", 1}, 4, 2}};
    return record;
}

TEST(DomainRecord, decodesItsEncodedText)
{
    const auto record = sampleRecord();
    EXPECT_EQ(decodeDomainRecord(encodeDomainRecord(record)), record);
}

// A controller would assign VMs from a partly decoded record, so truncated, invalid or inconsistent text must be rejected.
TEST(DomainRecord, rejectsDamagedText)
{
    const auto text = encodeDomainRecord(sampleRecord());
    for (std::size_t length = 0; length < text.size(); ++length) {
        EXPECT_FALSE(decodeDomainRecord(std::string_view(text).substr(0, length))) << length;
    }
    for (const auto &[from, to] : {std::pair<std::string, std::string>{"\"epoch\":3", "\"epoch\":-3"},
                                   {"\"phase\":\"free\"", "\"phase\":\"idle\""},
                                   {"\"expected_members\":1", "\"expected_members\":0"},
                                   {"\"members\":[\"v1\"]", "\"members\":[\"v1\",\"v2\"]"},
                                   {"\"members\":[\"v1\"]", "\"members\":[\"v4\"]"},
                                   {"\"spare\":\"v2\"", "\"spare\":\"v1\""},
                                   {"\"spare\":\"v2\"", "\"spare\":\"\""},
                                   {"\"id\":\"v4\"", "\"id\":\"v1\""},
                                   {"10.0.0.1:4", "10.0.0.1"},
                                   {"\"last_incarnation\":6", "\"last_incarnation\":4"},
                                   {"\"unconfirmed\":[{", "\"unconfirmed\":[7,{"}}) {
        auto damaged = text;
        ASSERT_NE(damaged.find(from), std::string::npos) << from;
        damaged.replace(damaged.find(from), from.size(), to);
        EXPECT_FALSE(decodeDomainRecord(damaged)) << to;
    }
}

// A VM that becomes free while an order of this process or of a former controller can still arrive could be bound to two
// replicas. Checks mayFree() for all relevant combinations.
TEST(OrderRules, freesVmsOnlyWhenNoOrderCanArrive)
{
    struct Case {
        bool checksFencing;
        bool hasUnconfirmed;
        bool isReleaseAnswered;
        bool isEarlierOrderLost;
        bool isRemovedByPlatform;
        bool expected;
    };
    for (const auto &[checks, unconfirmed, answered, lost, gone, expected] : {Case{false, false, true, false, false, true},
                                                                              {false, false, false, false, false, false},
                                                                              {false, true, true, false, false, false},
                                                                              {false, false, true, true, false, false},
                                                                              {false, false, false, false, true, true},
                                                                              {false, false, false, true, true, false},
                                                                              {false, true, false, false, true, false},
                                                                              {true, true, true, true, false, true},
                                                                              {true, true, false, false, false, false}}) {
        AssignmentSettings settings;
        settings.enginesCheckFencing["p"] = checks;
        auto record = sampleRecord();
        if (!unconfirmed) {
            record.unconfirmed.clear();
        }
        const ManualClock clock;
        const VmId vm("v3");
        OrderTracker tracker(seconds(15));
        if (lost) {
            tracker.recordAnswer(vm, tracker.recordSent(vm, {2, 4}, false, clock.now()), true, false);
        }
        const auto release = tracker.recordSent(vm, {3, 6}, true, clock.now());
        if (answered || !lost) {
            tracker.recordAnswer(vm, release, false, answered);
        }
        EXPECT_EQ(mayFree(record, *record.vm(vm), tracker, settings, gone), expected) << checks << unconfirmed << answered << lost << gone;
    }
}

// An order without an answer must stay unsettled for its complete lifetime (15 s) and expire then, so that it does not block
// its VM for ever.
TEST(OrderRules, lostOrdersExpireAfterTheirLifetime)
{
    ManualClock clock;
    OrderTracker tracker(seconds(15));
    tracker.expireOrders(clock.now());
    tracker.recordAnswer(VmId("v"), tracker.recordSent(VmId("v"), {1, 1}, false, clock.now()), true, false);
    for (int second = 1; second < 15; ++second) {
        clock.advance(seconds(1));
        tracker.expireOrders(clock.now());
        EXPECT_FALSE(tracker.isAllSettled());
    }
    clock.advance(seconds(1));
    tracker.expireOrders(clock.now());
    EXPECT_TRUE(tracker.isAllSettled());
}

// An order recorded as sent may leave the process only after a pause. Its lifetime must start again after the pause, or it
// would be considered expired before it arrives.
TEST(OrderRules, pauseRestartsOrderLifetimes)
{
    ManualClock clock;
    OrderTracker tracker(seconds(15));
    tracker.expireOrders(clock.now());
    tracker.recordAnswer(VmId("v"), tracker.recordSent(VmId("v"), {1, 1}, false, clock.now()), true, false);
    clock.advance(minutes(5));
    tracker.expireOrders(clock.now());
    EXPECT_FALSE(tracker.isAllSettled());
}

DomainSummary summary(const std::string &domain, std::uint32_t free, std::vector<ReplicaSummary> replicas = {})
{
    return {FabricDomainId(domain), {{"p", free}}, std::move(replicas)};
}

ReplicaSummary incomplete(const std::string &id, std::set<VmId> loading, std::set<VmId> membersToLoad)
{
    const auto liveMembers = static_cast<std::uint32_t>(4);
    return {ReplicaId(id), ModelId("m"), 4, liveMembers, std::move(loading), std::move(membersToLoad), false, true, false};
}

AssignmentSettings planSettings(std::uint32_t replicas)
{
    AssignmentSettings settings;
    settings.models = {{ModelId("m"), "1", {}, "p", 4, replicas}};
    settings.maxConcurrentLoads = 3;
    return settings;
}

// Concurrent loads share the rate of the weight store. Loads must go to the replica nearest to completion first and stay
// within the limit (3), or all replicas would stay incomplete for longer.
TEST(ZonePlan, loadsNearestReplicaFirstWithinTheLimit)
{
    const std::vector<DomainSummary> domains{
        summary("a", 0, {incomplete("r1", {}, {VmId("a1"), VmId("a2"), VmId("a3")})}),
        summary("b", 0, {incomplete("r2", {VmId("b1")}, {VmId("b2")})}),
    };
    EXPECT_EQ(planZone(domains, planSettings(2), *findAssignmentStrategy("nearest_whole")).admittedLoads, (std::set<VmId>{VmId("b2"), VmId("a1")}));
    EXPECT_EQ(planZone(domains, planSettings(2), *findAssignmentStrategy("first_fit")).admittedLoads.size(), 4U);
}

// Guards against creating the replicas of a model in one domain, whose loss would affect most of them, and in domains where
// more VMs than necessary remain unused.
TEST(ZonePlan, spreadsReplicasAndLeavesFewVmsOver)
{
    const std::vector<DomainSummary> domains{summary("a", 16), summary("b", 9), summary("c", 8), summary("d", 3)};
    const auto spread = planZone(domains, planSettings(3), *findAssignmentStrategy("nearest_whole"));
    EXPECT_EQ(spread.replicasToCreate.at(FabricDomainId("a")).at(ModelId("m")), 1U);
    EXPECT_EQ(spread.replicasToCreate.at(FabricDomainId("b")).at(ModelId("m")), 1U);
    EXPECT_EQ(spread.replicasToCreate.at(FabricDomainId("c")).at(ModelId("m")), 1U);
    const auto one = planZone(domains, planSettings(1), *findAssignmentStrategy("nearest_whole"));
    EXPECT_EQ(one.replicasToCreate.at(FabricDomainId("c")).at(ModelId("m")), 1U);
    EXPECT_EQ(planZone(domains, planSettings(3), *findAssignmentStrategy("first_fit")).replicasToCreate.at(FabricDomainId("a")).at(ModelId("m")), 3U);
}

// Guards against removing a complete replica as surplus while one that cannot be completed is kept.
TEST(ZonePlan, removesSurplusReplicaThatCannotBeCompletedFirst)
{
    auto complete = incomplete("r1", {}, {});
    complete.isComplete = true;
    auto uncompletable = incomplete("r2", {}, {});
    uncompletable.liveMembers = 1;
    uncompletable.isCompletable = false;
    const std::vector<DomainSummary> domains{summary("a", 0, {complete, uncompletable})};
    EXPECT_EQ(planZone(domains, planSettings(1), *findAssignmentStrategy("nearest_whole")).replicasToRemove.at(FabricDomainId("a")),
              std::set<ReplicaId>{ReplicaId("r2")});
}

// Guards against a configured strategy name that selects another strategy, or an unknown name that selects any.
TEST(AssignmentStrategy, strategyIsFoundByName)
{
    EXPECT_EQ(findAssignmentStrategy("first_fit")->name, "first_fit");
    EXPECT_EQ(findAssignmentStrategy("nearest_whole")->name, "nearest_whole");
    EXPECT_EQ(findAssignmentStrategy("other"), nullptr);
}

}
}
