#include "config/gateway_settings.h"
#include "gateway/backend_load_tracker.h"
#include "gateway/event_splitter.h"
#include "gateway/fleet_retry_budget.h"
#include "gateway/load_report_codec.h"
#include "gateway/relay_plan.h"
#include "gateway/request_parser.h"
#include "gateway/server_registry.h"
#include "gateway/target_selector.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <limits>

namespace carawaypoint
{

namespace
{

using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;

constexpr TimePoint Start{hours(1)};
constexpr Duration Tick = milliseconds(100);

class FakeCall : public ReroutableCall
{
public:
    bool hasStarted() const override
    {
        return hasStartedStream;
    }
    void reroute() override
    {
        ++reroutes;
    }
    bool hasStartedStream = true;
    int reroutes = 0;
};

ServingTarget makeTarget(const std::string &id, const std::string &zone = "a")
{
    return {VmId(id), {"10.0.0.1", 80}, ZoneId(zone), 10, 1, ReplicaId("r-" + id), 1};
}

BackendServer makeServer(const std::string &id)
{
    BackendServer server;
    server.id = VmId(id);
    return server;
}

}

// Guards against events that are truncated or merged when they arrive in several parts.
TEST(EventSplitter, splitsEventsAndFindsIds)
{
    EventSplitter splitter;
    const std::string text = "id: 7\ndata: a\n\nid:8\r\ndata: b\r\n\r\ndata: c\n\nid: 9\nda";
    std::vector<std::string> events;
    std::vector<std::optional<std::uint64_t>> ids;
    for (const char byte : text) {
        splitter.feed({&byte, 1});
        while (const auto event = splitter.next()) {
            events.emplace_back(event->bytes);
            ids.push_back(event->id);
        }
    }
    EXPECT_THAT(events, ElementsAre("id: 7\ndata: a\n\n", "id:8\r\ndata: b\r\n\r\n", "data: c\n\n"));
    EXPECT_THAT(ids, ElementsAre(7, 8, std::nullopt));
    EXPECT_EQ(splitter.rest(), "id: 9\nda");
}

// Guards against more retries of all daemons together than the fleet may send in a window.
TEST(FleetRetryBudget, limitsRetriesOfAllDaemonsTogether)
{
    const ServiceId service("s");
    unsigned granted = 0;
    for (int daemon = 0; daemon < 7; ++daemon) {
        FleetRetryBudget budget({0.2, 132, seconds(10)});
        budget.setDaemonCount(7);
        for (int request = 0; request < 50; ++request) {
            budget.addRequest(service, Start);
        }
        while (budget.tryTake(service, Start)) {
            ++granted;
        }
        EXPECT_FALSE(budget.tryTake(service, Start + seconds(9)));
        EXPECT_TRUE(budget.tryTake(service, Start + seconds(11)));
    }
    EXPECT_LE(granted, 0.2 * 350 + 132);
    EXPECT_GT(granted, 100U);
}

/// The choice of a gateway in the availability zone `a`.
TargetChoice choose(const BackendLoadTracker &loadTracker, std::mt19937_64 &random, TargetQuery query)
{
    query.zone = ZoneId("a");
    return makeTargetSelector(loadTracker).choose(query, random);
}

// Guards against choosing a loaded replica while another has free capacity, even if the loaded one is in the same zone.
TEST(TargetSelector, choosesTheLeastLoadedTarget)
{
    std::mt19937_64 random(1);
    BackendLoadTracker loadTracker;
    const ServingTarget targets[] = {makeTarget("near", "a"), makeTarget("far", "b")};
    EXPECT_EQ(choose(loadTracker, random, {.targets = targets, .now = Start}).target->server.str(), "near");
    for (int count = 0; count < 3; ++count) {
        loadTracker.recordRequestStart(VmId("near"), nullptr);
    }
    EXPECT_EQ(choose(loadTracker, random, {.targets = targets, .now = Start}).target->server.str(), "far");
}

// Guards against queueing long prompts at one replica while another with as many requests has no pending prefill: the first event of
// each stream would wait for the prefill of all prompts before it.
TEST(TargetSelector, prefersTargetWithLeastPendingPrefill)
{
    std::mt19937_64 random(1);
    BackendLoadTracker loadTracker;
    ServingTarget targets[] = {makeTarget("x"), makeTarget("y")};
    targets[0].prefillTokensPerSecond = targets[1].prefillTokensPerSecond = 50000;
    FakeCall call;
    loadTracker.recordRequestStart(VmId("x"), &call, 6000);
    loadTracker.recordRequestStart(VmId("y"), &call, 500);
    EXPECT_EQ(choose(loadTracker, random, {.targets = targets, .now = Start}).target->server.str(), "y");
    loadTracker.recordPrefillEnd(VmId("x"), 6000);
    loadTracker.recordRequestStart(VmId("y"), nullptr, 3000);
    EXPECT_EQ(choose(loadTracker, random, {.targets = targets, .now = Start}).target->server.str(), "x");
}

// Guards against daemons that only count their own requests and overload a replica that others have filled already.
TEST(BackendLoadTracker, countsRequestsOfPeers)
{
    std::mt19937_64 random(1);
    BackendLoadTracker loadTracker;
    const ServingTarget targets[] = {makeTarget("x"), makeTarget("y")};
    loadTracker.setPeerLoads(MemberId("p"), {{VmId("x"), 8, 0, false}}, Start);
    for (int round = 0; round < 20; ++round) {
        EXPECT_EQ(choose(loadTracker, random, {.targets = targets, .now = Start}).target->server.str(), "y");
    }
    loadTracker.setPeerLoads(MemberId("p"), {{VmId("x"), 12, 0, false}, {VmId("y"), 12, 0, false}}, Start);
    const auto full = choose(loadTracker, random, {.targets = targets, .now = Start});
    EXPECT_EQ(full.target, nullptr);
    EXPECT_TRUE(full.isFull);
    // A started stream is not interrupted for lack of free capacity.
    EXPECT_NE(choose(loadTracker, random, {.targets = targets, .now = Start, .stage = RequestStage::StreamStarted}).target, nullptr);
    loadTracker.tick(Start + seconds(3)); // the peer has sent no reports, so its counts are dropped
    EXPECT_NE(choose(loadTracker, random, {.targets = targets, .now = Start}).target, nullptr);
}

// Guards against sending requests to a replica that other daemons have filled since their last reports, although the replica states its
// load in each response, and against trusting that statement when it is old.
TEST(BackendLoadTracker, statedLoadReplacesCountsOfPeersForAShortTime)
{
    std::mt19937_64 random(1);
    BackendLoadTracker loadTracker;
    const ServingTarget targets[] = {makeTarget("x"), makeTarget("y")};
    loadTracker.tick(Start);
    loadTracker.setPeerLoads(MemberId("p"), {{VmId("y"), 3, 0, false}}, Start);
    loadTracker.recordRequestStart(VmId("x"), nullptr);
    loadTracker.recordStatedLoad(VmId("x"), 9, Start);
    EXPECT_EQ(loadTracker.requestsAt(VmId("x")), 9U);
    loadTracker.recordRequestEnd(VmId("x"), nullptr);
    EXPECT_EQ(loadTracker.requestsAt(VmId("x")), 8U) << "its own requests are known exactly";
    EXPECT_EQ(choose(loadTracker, random, {.targets = targets, .now = Start}).target->server.str(), "y");
    loadTracker.tick(Start + milliseconds(200));
    EXPECT_EQ(loadTracker.requestsAt(VmId("x")), 0U);
    EXPECT_EQ(choose(loadTracker, random, {.targets = targets, .now = Start}).target->server.str(), "x");
}

// Load: a gateway of a large fleet sends a few requests a second to a hundred replicas. Guards against a new connection for each of them,
// and against a connected replica that is chosen although it is fuller than others.
TEST(TargetSelector, prefersConnectedTargetsThatAreNoFullerThanOthers)
{
    std::mt19937_64 random(1);
    BackendLoadTracker loadTracker;
    ServingTargets targets;
    for (int number = 0; number < 20; ++number) {
        targets.push_back(makeTarget("vm-" + std::to_string(number)));
    }
    const VmId connected[] = {VmId("vm-7"), VmId("vm-8")};
    for (int round = 0; round < 20; ++round) {
        const auto choice =
            choose(loadTracker, random, {.targets = targets, .now = Start, .stage = RequestStage::New, .staleness = {20, 0}, .connected = connected});
        EXPECT_TRUE(choice.target->server == connected[0] || choice.target->server == connected[1]);
    }
    loadTracker.setPeerLoads(MemberId("p"), {{VmId("vm-7"), 9, 0, false}, {VmId("vm-8"), 9, 0, false}}, Start);
    for (int round = 0; round < 20; ++round) {
        const auto choice =
            choose(loadTracker, random, {.targets = targets, .now = Start, .stage = RequestStage::New, .staleness = {20, 0}, .connected = connected});
        EXPECT_FALSE(choice.target->server == connected[0] || choice.target->server == connected[1]);
    }
}

// Guards against refusing a retry after a refusal: its caller gives up, while the caller of a refused new request retries.
TEST(TargetSelector, retriedRequestsGetCapacityThatNewOnesAreRefused)
{
    std::mt19937_64 random(1);
    BackendLoadTracker loadTracker;
    ServingTarget target = makeTarget("x");
    target.slots = 40;
    target.replica = ReplicaId("r1");
    loadTracker.setPeerLoads(MemberId("p"), {{VmId("x"), 41, 0, false}}, Start);
    const std::span<const ServingTarget> targets(&target, 1);
    EXPECT_TRUE(choose(loadTracker, random, {.targets = targets, .now = Start}).isFull);
    EXPECT_NE(choose(loadTracker, random, {.targets = targets, .now = Start, .stage = RequestStage::Retried}).target, nullptr);
    loadTracker.setPeerLoads(MemberId("p"), {{VmId("x"), 50, 0, false}}, Start);
    EXPECT_TRUE(choose(loadTracker, random, {.targets = targets, .now = Start, .stage = RequestStage::Retried}).isFull);
}

// Guards against sending further requests to a replica with free slots but much pending prefill: all of them would be late.
TEST(TargetSelector, pendingPrefillReducesFreeCapacity)
{
    std::mt19937_64 random(1);
    BackendLoadTracker loadTracker;
    ServingTarget target = makeTarget("x");
    target.slots = 20;
    target.replica = ReplicaId("r1");
    target.prefillTokensPerSecond = 50000;
    const std::span<const ServingTarget> targets(&target, 1);
    loadTracker.setPeerLoads(MemberId("p"), {{VmId("x"), 17, 5000, false}}, Start);
    EXPECT_NE(choose(loadTracker, random, {.targets = targets, .now = Start}).target, nullptr);
    loadTracker.setPeerLoads(MemberId("p"), {{VmId("x"), 17, 60000, false}}, Start);
    EXPECT_TRUE(choose(loadTracker, random, {.targets = targets, .now = Start}).isFull);
    EXPECT_NE(choose(loadTracker, random, {.targets = targets, .now = Start, .stage = RequestStage::StreamStarted}).target, nullptr)
        << "a started stream would be interrupted";
}

// Guards against interrupting a started stream because the fleet has more requests than free capacity.
TEST(TargetSelector, admitsShareOfNewRequestsButEveryStartedStream)
{
    std::mt19937_64 random(1);
    BackendLoadTracker loadTracker;
    ServingTarget target = makeTarget("x");
    target.slots = 20;
    target.replica = ReplicaId("r1");
    const std::span<const ServingTarget> targets(&target, 1);
    loadTracker.setPeerLoads(MemberId("p"), {{VmId("x"), 15, 0, false}}, Start);
    const StalenessEstimate staleness{.startedRequests = 20, .endedShare = 0};
    int admitted = 0;
    for (int round = 0; round < 1000; ++round) {
        admitted +=
            choose(loadTracker, random, {.targets = targets, .now = Start, .stage = RequestStage::New, .staleness = staleness}).target != nullptr ? 1 : 0;
        EXPECT_NE(choose(loadTracker, random, {.targets = targets, .now = Start, .stage = RequestStage::StreamStarted, .staleness = staleness}).target,
                  nullptr);
    }
    EXPECT_NEAR(admitted, 250, 60);
}

// Guards against sending further requests to a replica none of whose streams makes progress.
TEST(BackendLoadTracker, serverWithoutEventsOnAnyStreamIsStalled)
{
    std::mt19937_64 random(1);
    BackendLoadTracker loadTracker;
    FakeCall first;
    FakeCall second;
    loadTracker.recordRequestStart(VmId("x"), &first);
    loadTracker.recordRequestStart(VmId("x"), &second);
    auto now = Start;
    for (int tick = 0; tick < 7; ++tick) {
        loadTracker.tick(now += Tick);
    }
    EXPECT_EQ(first.reroutes, 0);
    loadTracker.recordProgress(VmId("x"));
    for (int tick = 0; tick < 8; ++tick) {
        loadTracker.tick(now += Tick);
    }
    EXPECT_EQ(first.reroutes + second.reroutes, 2);
    EXPECT_THAT(loadTracker.takeStalled(), ElementsAre(VmId("x")));
    const ServingTarget targets[] = {makeTarget("x")};
    EXPECT_EQ(choose(loadTracker, random, {.targets = targets, .now = now}).target, nullptr);
}

// Guards against a daemon whose only stream waits in a queue and that excludes the replica for all other daemons for seconds.
TEST(BackendLoadTracker, eventsAtAnotherDaemonPreventAStall)
{
    std::mt19937_64 random(1);
    BackendLoadTracker loadTracker;
    FakeCall waiting;
    loadTracker.recordRequestStart(VmId("x"), &waiting);
    auto now = Start;
    const ServingTarget targets[] = {makeTarget("x")};
    for (int tick = 0; tick < 16; ++tick) {
        loadTracker.setPeerLoads(MemberId("p"), {{VmId("x"), 2, 0, false, true}}, now);
        loadTracker.tick(now += Tick);
    }
    EXPECT_THAT(loadTracker.takeStalled(), IsEmpty());
    EXPECT_EQ(waiting.reroutes, 0);
    EXPECT_NE(choose(loadTracker, random, {.targets = targets, .now = now}).target, nullptr);
    EXPECT_FALSE(loadTracker.ownLoads().front().isStalled);
    // Before the caller gives up, the stream is rerouted, since this daemon's connection may have failed.
    loadTracker.tick(now += Tick);
    EXPECT_EQ(waiting.reroutes, 1);
    EXPECT_THAT(loadTracker.takeStalled(), IsEmpty());
    // A report of a stall is overridden by another peer that receives events.
    loadTracker.setPeerLoads(MemberId("q"), {{VmId("x"), 1, 0, true, false}}, now);
    EXPECT_NE(choose(loadTracker, random, {.targets = targets, .now = now}).target, nullptr);
    // Without events anywhere the server is stalled.
    loadTracker.setPeerLoads(MemberId("p"), {{VmId("x"), 2, 0, false, false}}, now);
    loadTracker.tick(now += Tick);
    EXPECT_EQ(choose(loadTracker, random, {.targets = targets, .now = now}).target, nullptr);
    EXPECT_TRUE(loadTracker.ownLoads().front().isStalled);
}

// Guards against a daemon without processor time that treats its own delay as a stall of all servers.
TEST(BackendLoadTracker, lateTicksDoNotCountAsStall)
{
    BackendLoadTracker loadTracker;
    FakeCall call;
    loadTracker.recordRequestStart(VmId("x"), &call);
    auto now = Start;
    loadTracker.tick(now);
    for (int tick = 0; tick < 20; ++tick) {
        loadTracker.tick(now += 5 * Tick);
    }
    EXPECT_EQ(call.reroutes, 0);
}

TEST(BackendLoadTracker, stallsOfPeersAreReportedOnce)
{
    BackendLoadTracker loadTracker;
    loadTracker.setPeerLoads(MemberId("p"), {{VmId("x"), 1, 0, true}}, Start);
    loadTracker.setPeerLoads(MemberId("p"), {{VmId("x"), 1, 0, true}}, Start);
    EXPECT_THAT(loadTracker.takeStalled(), ElementsAre(VmId("x")));
}

TEST(TargetSelector, failedServersAreInBackoffWhileOthersServe)
{
    std::mt19937_64 random(1);
    BackendLoadTracker loadTracker;
    const ServingTarget targets[] = {makeTarget("x"), makeTarget("y")};
    loadTracker.recordFailure(VmId("x"), Start);
    EXPECT_EQ(choose(loadTracker, random, {.targets = targets, .now = Start}).target->server.str(), "y");
    const VmId excluded[] = {VmId("y")};
    EXPECT_EQ(choose(loadTracker, random, {.targets = targets, .now = Start, .excluded = excluded}).target->server.str(), "x");
}

// Guards against removing running servers because their registrations lapsed while the store was unavailable.
TEST(ServerRegistry, defersRemovalsAfterAStoreFailure)
{
    ServerRegistry registry;
    registry.replaceAll({{VmId("x"), makeServer("x")}, {VmId("y"), makeServer("y")}}, Start);
    EXPECT_TRUE(registry.takeChange(Start));
    registry.recordStoreFailure();
    registry.recordStoreAnswer(Start);
    registry.remove(VmId("x"), Start);
    registry.remove(VmId("y"), Start);
    EXPECT_FALSE(registry.takeChange(Start + seconds(1)));
    registry.set(makeServer("x"));
    EXPECT_TRUE(registry.takeChange(Start + milliseconds(2300)));
    EXPECT_TRUE(registry.servers().contains(VmId("x")));
    EXPECT_FALSE(registry.servers().contains(VmId("y")));
}

// Guards against keeping a leaving server for longer than it serves: seconds after the store recovered, removals apply immediately.
TEST(ServerRegistry, appliesLaterRemovalsImmediately)
{
    ServerRegistry registry;
    registry.replaceAll({{VmId("x"), makeServer("x")}}, Start);
    registry.recordStoreFailure();
    registry.recordStoreAnswer(Start);
    EXPECT_TRUE(registry.takeChange(Start));
    const auto later = Start + milliseconds(3400);
    registry.remove(VmId("x"), later);
    EXPECT_TRUE(registry.takeChange(later));
    EXPECT_THAT(registry.servers(), IsEmpty());
}

// Guards against a gateway that follows a relay and keeps a leaving server for too long, because its own last store call failed and it
// makes no other for seconds.
TEST(ServerRegistry, deferralRequestedByARelayExpires)
{
    ServerRegistry registry;
    registry.replaceAll({{VmId("x"), makeServer("x")}}, Start);
    EXPECT_EQ(registry.remainingDeferral(Start), Duration{});
    registry.deferRemovalsUntil(Start + milliseconds(700));
    EXPECT_EQ(registry.remainingDeferral(Start), milliseconds(700));
    registry.takeChange(Start);
    registry.remove(VmId("x"), Start);
    EXPECT_FALSE(registry.takeChange(Start + milliseconds(600)));
    EXPECT_TRUE(registry.takeChange(Start + milliseconds(800)));
    EXPECT_THAT(registry.servers(), IsEmpty());
}

// Guards against requests to servers that were known to leave, or to be gone, and that a store which came back from an older copy lists as ready.
TEST(ServerRegistry, restoredStoreBringsNoServerBackThatHasLeft)
{
    ServerRegistry registry;
    registry.replaceAll({{VmId("leaving"), makeServer("leaving")}, {VmId("gone"), makeServer("gone")}}, Start);
    auto leaving = makeServer("leaving");
    leaving.isLeaving = true;
    registry.set(leaving);
    registry.remove(VmId("gone"), Start);
    auto restarted = makeServer("restarted");
    restarted.isLeaving = true;
    registry.set(restarted);
    registry.takeChange(Start);

    registry.recordRestoration(Start);
    restarted.isLeaving = false;
    restarted.startedAt = 1;
    registry.replaceAll({{VmId("leaving"), makeServer("leaving")}, {VmId("gone"), makeServer("gone")}, {restarted.id, restarted}}, Start);
    registry.takeChange(Start + seconds(4));
    EXPECT_TRUE(registry.servers().at(VmId("leaving")).isLeaving);
    EXPECT_FALSE(registry.servers().contains(VmId("gone")));
    EXPECT_FALSE(registry.servers().at(VmId("restarted")).isLeaving) << "another process";
}

// Guards against servers that stay unused although they run: one that registers again, and one that is still registered when copies of the servers that
// are gone have lapsed.
TEST(ServerRegistry, restoredRegistrationsHoldWhenTheirServersHaveWrittenOrTheRestorationIsOver)
{
    ServerRegistry registry;
    registry.replaceAll({{VmId("x"), makeServer("x")}, {VmId("y"), makeServer("y")}, {VmId("z"), makeServer("z")}}, Start);
    for (const auto *id : {"x", "y", "z"}) {
        registry.remove(VmId(id), Start);
    }
    registry.recordRestoration(Start);
    registry.replaceAll({{VmId("x"), makeServer("x")}, {VmId("y"), makeServer("y")}, {VmId("z"), makeServer("z")}}, Start);
    registry.takeChange(Start);
    EXPECT_THAT(registry.servers(), IsEmpty());
    registry.set(makeServer("x"));
    registry.remove(VmId("z"), Start);
    EXPECT_TRUE(registry.servers().contains(VmId("x")));
    EXPECT_TRUE(registry.takeChange(Start + milliseconds(5100)));
    EXPECT_TRUE(registry.servers().contains(VmId("y")));
    EXPECT_FALSE(registry.servers().contains(VmId("z")));
}

// Guards against ending a replica although its member has only lost the connection to the store, and against requests to a head whose
// registration has lapsed.
TEST(ServerRegistry, keepsLapsedMembersButNotHeads)
{
    ServerRegistry registry;
    auto head = makeServer("head");
    head.membership = ReplicaMembership{ReplicaId("r"), 1, 0, MembershipState::Open};
    auto member = makeServer("member");
    member.membership = ReplicaMembership{ReplicaId("r"), 1, 1, MembershipState::Ready};
    registry.replaceAll({{head.id, head}, {member.id, member}}, Start);
    registry.remove(member.id, Start);
    EXPECT_TRUE(registry.takeChange(Start));
    ASSERT_TRUE(registry.servers().contains(member.id));
    EXPECT_TRUE(registry.servers().at(member.id).isRegistrationLapsed);
    registry.set(member);
    EXPECT_FALSE(registry.servers().at(member.id).isRegistrationLapsed);
    registry.remove(member.id, Start);
    registry.takeChange(Start + seconds(13));
    EXPECT_FALSE(registry.servers().contains(member.id));
    registry.remove(head.id, Start);
    EXPECT_FALSE(registry.servers().contains(head.id));
}

// Guards against a replica member that stays in use for seconds although its registration names no server any more. Only what is gone may have lapsed.
TEST(ServerRegistry, keepsNothingOfARegistrationThatNamesNoServer)
{
    auto member = makeServer("member");
    member.membership = ReplicaMembership{ReplicaId("r"), 1, 1, MembershipState::Ready};
    ServerRegistry registry;
    registry.set(member);
    registry.recordStoreFailure();
    registry.remove(member.id, Start);
    ASSERT_EQ(registry.servers().size(), 1U) << "its removal is deferred";
    registry.takeChange(Start);
    registry.discard(member.id);
    EXPECT_TRUE(registry.servers().empty());
    EXPECT_TRUE(registry.takeChange(Start));
    registry.recordStoreAnswer(Start);
    EXPECT_FALSE(registry.takeChange(Start + minutes(1)));
}

TEST(LoadReportCodec, encodesAndDecodes)
{
    const GatewayLoadReport report{MemberId("g"), 5, 6, {{VmId("x"), 7, 70, true, false}, {VmId("y"), 8, 0, false, true}}, 9};
    const auto decoded = decodeReport(encodeReport(report));
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->gateway, report.gateway);
    EXPECT_EQ(decoded->process, 5U);
    EXPECT_EQ(decoded->sequence, 6U);
    EXPECT_EQ(decoded->requestsStarted, 9U);
    ASSERT_EQ(decoded->loads.size(), 2U);
    EXPECT_EQ(decoded->loads[0].requests, 7U);
    EXPECT_EQ(decoded->loads[0].pendingPrefillTokens, 70U);
    EXPECT_TRUE(decoded->loads[0].isStalled);
}

// Guards against demand that is lost on its way to the replica controller, and against forged values that would move all servers.
TEST(LoadReportCodec, encodesUnmetLoadAndRejectsInvalidValues)
{
    GatewayLoadReport report{MemberId("g"), 5, 6, {}, 9, ZoneId("a")};
    report.isFleetSum = true;
    report.unmet = {{{ServiceId("s"), ModelId("m")}, 2.5}, {{ServiceId("s"), ModelId("n")}, -4}, {{ServiceId("s"), ModelId("n")}, 1e30}};
    report.unmet.push_back({{ServiceId("s"), ModelId("n")}, std::numeric_limits<double>::quiet_NaN()});
    const auto decoded = decodeReport(encodeReport(report));
    ASSERT_TRUE(decoded);
    EXPECT_TRUE(decoded->isFleetSum);
    ASSERT_EQ(decoded->unmet.size(), 1U);
    EXPECT_EQ(decoded->unmet.front().pool.second, ModelId("m"));
    EXPECT_EQ(decoded->unmet.front().requests, 2.5);
}

// Guards against evidence of crashes that is lost between gateways, and against reports that grow with invented traits.
TEST(LoadReportCodec, encodesBoundedCrashEvidence)
{
    GatewayLoadReport report{MemberId("g"), 5, 6, {}, 9};
    for (TraitId trait = 1; trait <= 100; ++trait) {
        report.crashEvidence.push_back({trait, std::vector<TraitCrash>(40, {trait + 7, milliseconds(1500), trait == 1})});
    }
    const auto bytes = encodeReport(report);
    EXPECT_LT(bytes.size(), 4000U);
    const auto decoded = decodeReport(bytes);
    ASSERT_TRUE(decoded);
    ASSERT_EQ(decoded->crashEvidence.size(), 33U) << "the traits of one request";
    ASSERT_EQ(decoded->crashEvidence.front().crashes.size(), 8U);
    EXPECT_EQ(decoded->crashEvidence.front().trait, 1U);
    EXPECT_EQ(decoded->crashEvidence.front().crashes.front(), (TraitCrash{8, milliseconds(1500), true}));
    EXPECT_FALSE(decoded->crashEvidence.back().crashes.front().isDisproved);
}

// Guards against a crash on a datagram that is not a load report.
TEST(LoadReportCodec, rejectsInvalidBytes)
{
    EXPECT_FALSE(decodeReport({}));
    std::vector<std::byte> bytes(200, std::byte{0xAB});
    EXPECT_FALSE(decodeReport(bytes));
    auto valid = encodeReport({MemberId("g"), 1, 1, {{VmId("x"), 1, 0, false}}, 1});
    valid.resize(valid.size() / 2);
    EXPECT_FALSE(decodeReport(valid));
}

// Guards against load reports whose cost grows with the fleet: among 80 daemons, one that is not a relay has two receivers.
TEST(RelayPlan, largeFleetsReportThroughTwoRelaysPerZone)
{
    std::vector<PeerGateway> all;
    all.reserve(80);
    for (int number = 0; number < 80; ++number) {
        all.push_back({MemberId("g" + std::to_string(number)), ZoneId("z" + std::to_string(number % 4)), {"10.0.0.1", static_cast<std::uint16_t>(number + 1)}});
    }
    unsigned relays = 0;
    for (const auto &self : all) {
        auto peers = all;
        std::erase(peers, self);
        const RelayPlan plan(self, peers);
        EXPECT_FALSE(plan.isDirect());
        EXPECT_EQ(plan.reportReceivers().size(), plan.isRelay() ? 1U : 2U);
        EXPECT_EQ(plan.zonePeers().size(), plan.isRelay() ? 18U : 0U);
        EXPECT_EQ(plan.changeReceivers().size(), plan.isRelay() ? 19U : 0U);
        EXPECT_EQ(plan.otherZoneRelays().size(), 6U);
        relays += plan.isRelay() ? 1 : 0;
    }
    EXPECT_EQ(relays, 8U);
    const RelayPlan small(all[0], std::span(all).subspan(1, 6));
    EXPECT_TRUE(small.isDirect());
    EXPECT_EQ(small.reportReceivers().size(), 6U);
}

// Guards against a relay on a slow link, which carries the traffic of its whole zone and loses the datagrams.
TEST(RelayPlan, gatewaysWithFastLinksBecomeRelays)
{
    std::vector<PeerGateway> all;
    all.reserve(40);
    for (int number = 0; number < 40; ++number) {
        all.push_back(
            {MemberId("g" + std::to_string(number)), ZoneId("z"), {"10.0.0.1", static_cast<std::uint16_t>(number + 1)}, {}, number == 17 ? 200U : 20U});
    }
    unsigned slowRelays = 0;
    for (const auto &self : all) {
        auto peers = all;
        std::erase(peers, self);
        const RelayPlan plan(self, peers);
        EXPECT_EQ(plan.isRelay() && plan.relayRank() == 0, self.linkMbps == 200);
        slowRelays += plan.isRelay() && plan.relayRank() == 1 ? 1 : 0;
    }
    EXPECT_EQ(slowRelays, 1U);
}

TEST(RequestParser, parsesNumbersAndKeys)
{
    EXPECT_EQ(parseNumber("12"), 12U);
    EXPECT_FALSE(parseNumber("12x"));
    EXPECT_FALSE(parseNumber("-1"));
    EXPECT_FALSE(parseNumber(""));
    EXPECT_EQ(parseKey("token abc", "Token"), "abc");
    EXPECT_EQ(parseKey("Bearer abc", "Token"), "");
    EXPECT_EQ(parseKey("Token", "Token"), "");
}

// Guards against starting a process with incomplete settings.
TEST(GatewaySettings, reportsMissingOrInvalidKey)
{
    const auto result = parseGatewaySettings("[process]\nid = g\nzone = a\n[listen]\ncallers = 127.0.0.1:1\nreadiness = 127.0.0.1:2\n"
                                             "metrics = 127.0.0.1:3\npeer = nowhere\nchanges = 127.0.0.1:6\n[store]\naddress = 127.0.0.1:5\n",
                                             "g.ini");
    ASSERT_EQ(result.errors.size(), 1U);
    EXPECT_THAT(result.errors.front().toString(), HasSubstr("g.ini:8: listen.peer"));
}

TEST(GatewaySettings, readsEveryKey)
{
    const auto result = parseGatewaySettings("[process]\nid = g\nzone = a\nmax_descriptors = 500\nlink_mbps = 20.5\n[listen]\ncallers = 127.0.0.1:1\n"
                                             "readiness = 127.0.0.1:2\nmetrics = 127.0.0.1:3\npeer = 127.0.0.1:4\nchanges = 127.0.0.1:6\n[store]\n"
                                             "address = 127.0.0.1:5\n[serving]\ndrain_time = 8s\nstall_time = 6000ms\nretry_share = 0.3\n"
                                             "retry_slack = 77\nretry_window = 12s\n[log]\nlevel = debug\n",
                                             "g.ini");
    ASSERT_THAT(result.errors, IsEmpty());
    EXPECT_EQ(result.settings.maxDescriptors, 500U);
    EXPECT_EQ(result.settings.linkMbps, 20U);
    EXPECT_EQ(result.settings.callers.port, 1);
    EXPECT_EQ(result.settings.readiness.port, 2);
    EXPECT_EQ(result.settings.metrics.port, 3);
    EXPECT_EQ(result.settings.peer.port, 4);
    EXPECT_EQ(result.settings.changes.port, 6);
    EXPECT_EQ(result.settings.store.port, 5);
    EXPECT_EQ(result.settings.drainTime, seconds(8));
    EXPECT_EQ(result.settings.stallTime, seconds(6));
    EXPECT_EQ(result.settings.retryShare, 0.3);
    EXPECT_EQ(result.settings.retrySlack, 77);
    EXPECT_EQ(result.settings.retryWindow, seconds(12));
    EXPECT_EQ(result.settings.logLevel, "debug");
}

}
