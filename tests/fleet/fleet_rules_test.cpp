#include "fleet/control_lease.h"
#include "fleet/load_pacer.h"
#include "fleet/replica_composer.h"
#include "fleet/replica_view.h"
#include "fleet/service_config.h"

#include <gtest/gtest.h>

namespace carawaypoint
{

namespace
{

constexpr TimePoint Start{hours(1)};

Route makeRoute(std::string host, std::string prefix, std::string service)
{
    Route route;
    route.name = prefix;
    route.host = std::move(host);
    route.pathPrefix = std::move(prefix);
    route.targets.push_back({ServiceId(std::move(service)), 1});
    return route;
}

BackendServer makeMember(const std::string &id, unsigned rank, MembershipState state)
{
    BackendServer server;
    server.id = VmId(id);
    server.service = ServiceId("drafting");
    server.address = {"10.0.0.1", 80};
    server.loadedModel = ModelId("small");
    server.membership = ReplicaMembership{ReplicaId("r1"), 7, rank, state};
    return server;
}

ServiceConfigPtr makeConfig()
{
    auto config = std::make_shared<ServiceConfig>();
    EngineSpec engine;
    engine.models.push_back({ModelId("small"), 3, 1.0, 1.0, seconds(12), seconds(1)});
    config->services[ServiceId("drafting")] = {ServiceId("drafting"), 100, engine};
    config->services[ServiceId("booking")] = {ServiceId("booking"), 100, std::nullopt};
    return config;
}

}

// Guards against a request that is sent to a shorter prefix's service, or to another host's.
TEST(ServiceConfig, longestPrefixOfTheHostWins)
{
    ServiceConfig config;
    config.addRoute(makeRoute("one.example", "/a/", "first"));
    config.addRoute(makeRoute("one.example", "/a/b/", "second"));
    config.addRoute(makeRoute("two.example", "/", "third"));
    EXPECT_EQ(config.findRoute("one.example", "/a/b/c")->pathPrefix, "/a/b/");
    EXPECT_EQ(config.findRoute("ONE.example:8080", "/a/bc?x=/a/b/")->pathPrefix, "/a/");
    EXPECT_EQ(config.findRoute("two.example", "/z")->pathPrefix, "/");
    EXPECT_EQ(config.findRoute("one.example", "/z"), nullptr);
    EXPECT_EQ(config.findRoute("one.example", "/a"), nullptr);
    EXPECT_EQ(config.findRoute("three.example", "/a/"), nullptr);
}

// Guards against requests to a replica that lacks a member, has one that leaves, or whose head does not serve.
TEST(FleetSnapshot, onlyWholeOpenReplicasAreTargets)
{
    ServerMap servers;
    servers[VmId("a")] = makeMember("a", 0, MembershipState::Open);
    servers[VmId("b")] = makeMember("b", 1, MembershipState::Ready);
    const auto targets = [&servers] {
        return FleetSnapshot(makeConfig(), servers).targets(ServiceId("drafting"), ModelId("small")).size();
    };
    EXPECT_EQ(targets(), 0U);
    servers[VmId("c")] = makeMember("c", 2, MembershipState::Ready);
    EXPECT_EQ(targets(), 1U);
    servers[VmId("c")].isLeaving = true;
    EXPECT_EQ(targets(), 0U);
    servers[VmId("c")] = makeMember("c", 2, MembershipState::Ready);
    servers[VmId("c")].membership->epoch = 8;
    EXPECT_EQ(targets(), 0U);
    servers[VmId("c")] = makeMember("c", 2, MembershipState::Ready);
    servers[VmId("a")].membership->state = MembershipState::Closing;
    EXPECT_EQ(targets(), 0U);
}

TEST(FleetSnapshot, leavingPlainServersAreNoTargets)
{
    ServerMap servers;
    for (const auto *id : {"a", "b"}) {
        BackendServer server;
        server.id = VmId(id);
        server.service = ServiceId("booking");
        servers[server.id] = server;
    }
    servers[VmId("b")].isLeaving = true;
    const FleetSnapshot snapshot(makeConfig(), servers);
    const auto &targets = snapshot.targets(ServiceId("booking"), ModelId());
    ASSERT_EQ(targets.size(), 1U);
    EXPECT_EQ(targets.front().server.str(), "a");
}

// Guards against two holders, and against a renewal that leaves the object as it is, which the store does not count as a change.
TEST(ControlLease, renewalsChangeTheRecordAndOthersWait)
{
    ControlLease holder(MemberId("a"), 1);
    ControlLease other(MemberId("b"), 2);
    auto now = Start;
    holder.noteObject({}, 0, now);
    other.noteObject({}, 0, now);
    const auto first = holder.takeWrite(now);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->expectedVersion, 0U);
    holder.noteWritten(5);
    EXPECT_TRUE(holder.isHeld(now));
    other.noteObject(first->record, 5, now);
    now += seconds(1);
    const auto renewal = holder.takeWrite(now);
    ASSERT_TRUE(renewal);
    EXPECT_NE(renewal->record.renewals, first->record.renewals);
    EXPECT_EQ(renewal->record.term, first->record.term);
    holder.noteWritten(6);
    other.noteObject(renewal->record, 6, now);
    now += seconds(3);
    EXPECT_FALSE(other.takeWrite(now));
    EXPECT_FALSE(holder.isHeld(now)); // it stops acting before another may take over
    now += milliseconds(600);
    const auto takeover = other.takeWrite(now);
    ASSERT_TRUE(takeover);
    EXPECT_EQ(takeover->expectedVersion, 6U);
    EXPECT_GT(takeover->record.term, renewal->record.term);
}

// Guards against a holder that goes on with its old term after others may have taken the lease in between.
TEST(ControlLease, aLapsedHolderBeginsANewTerm)
{
    ControlLease lease(MemberId("a"), 1);
    auto now = Start;
    lease.noteObject({}, 0, now);
    const auto first = lease.takeWrite(now);
    lease.noteWritten(3);
    now += seconds(10);
    const auto next = lease.takeWrite(now);
    ASSERT_TRUE(next);
    EXPECT_GT(next->record.term, first->record.term);
}

// Guards against a stale read that takes a held lease away, and against acting after a write with unknown outcome.
TEST(ControlLease, staleReadsAreIgnoredAndUnknownWritesAreReadBack)
{
    ControlLease lease(MemberId("a"), 1);
    lease.noteObject({}, 0, Start);
    lease.takeWrite(Start);
    lease.noteWritten(9);
    lease.noteObject({MemberId("b"), 2, 1, 1}, 4, Start);
    EXPECT_TRUE(lease.isHeld(Start));
    const auto later = Start + seconds(1);
    const auto renewal = lease.takeWrite(later);
    ASSERT_TRUE(renewal);
    lease.noteWriteFailed();
    EXPECT_TRUE(lease.mustRead());
    EXPECT_FALSE(lease.takeWrite(later));
    lease.noteObject(renewal->record, 10, later);
    EXPECT_TRUE(lease.takeWrite(later + seconds(1)));
}

// Guards against seconds without a controller after a restart of all daemons at once.
TEST(ControlLease, aRestartedHolderTakesItsLeaseAtOnceInANewTerm)
{
    ControlLease restarted(MemberId("a"), 2);
    restarted.noteObject({MemberId("a"), 1, 4, 9}, 30, Start);
    const auto write = restarted.takeWrite(Start);
    ASSERT_TRUE(write);
    EXPECT_EQ(write->record.term, 5U);
    ControlLease other(MemberId("b"), 1);
    other.noteObject({MemberId("a"), 1, 4, 9}, 30, Start);
    EXPECT_FALSE(other.takeWrite(Start));
}

// Guards against a planned stop that leaves the replicas without a controller until the lease lapses.
TEST(ControlLease, aReleasedLeaseIsTakenAtOnce)
{
    ControlLease holder(MemberId("a"), 1);
    holder.noteObject({}, 0, Start);
    holder.takeWrite(Start);
    holder.noteWritten(2);
    const auto release = holder.release(Start);
    ASSERT_TRUE(release);
    ControlLease other(MemberId("b"), 2);
    other.noteObject(release->record, 3, Start);
    const auto taken = other.takeWrite(Start);
    ASSERT_TRUE(taken);
    EXPECT_GT(taken->record.term, release->record.term);
}

// Guards against more starts in the weight store's window than its rate allows.
TEST(LoadPacer, boundsStartsAndLoadsAtOnce)
{
    LoadPacer pacer;
    pacer.setRates(1, 8);
    EXPECT_TRUE(pacer.mayStart(3, 0, Start));
    pacer.addStarts(3, Start);
    EXPECT_FALSE(pacer.mayStart(6, 3, Start)); // nine at once
    EXPECT_FALSE(pacer.mayStart(3, 0, Start)); // six in five seconds
    EXPECT_TRUE(pacer.mayStart(2, 0, Start));
    EXPECT_TRUE(pacer.mayStart(0, 50, Start));
    EXPECT_TRUE(pacer.mayStart(3, 0, Start + seconds(6)));
}

// Guards against a cold replica that is formed before one whose members hold the weights.
TEST(ReplicaComposer, warmReplicasGoFirst)
{
    const ModelSpec models[] = {{ModelId("large"), 3, 1, 1, seconds(16), seconds(2)}, {ModelId("small"), 2, 1, 1, seconds(12), seconds(1)}};
    const ModelDemand demands[] = {{ModelId("large"), 0, 1}, {ModelId("small"), 10, 1}};
    const FreeServer free[] = {{VmId("a"), ModelId(), {}}, {VmId("b"), ModelId("small"), {}}, {VmId("c"), ModelId(), {ModelId("small")}}};
    const auto chosen = composeReplica(free, models, demands);
    ASSERT_TRUE(chosen);
    EXPECT_EQ(chosen->model.str(), "small");
    EXPECT_EQ(chosen->coldMembers, 0U);
    EXPECT_EQ(chosen->members.front().str(), "b");
}

// Guards against a model without capacity while another gets its next replica.
TEST(ReplicaComposer, theModelWithTheLeastCapacityForItsDemandIsNext)
{
    const ModelSpec models[] = {{ModelId("large"), 3, 1, 1, seconds(16), seconds(2)}, {ModelId("small"), 2, 1, 1, seconds(12), seconds(1)}};
    const FreeServer free[] = {{VmId("a"), {}, {}}, {VmId("b"), {}, {}}, {VmId("c"), {}, {}}};
    const ModelDemand demands[] = {{ModelId("large"), 6, 0.67}, {ModelId("small"), 2, 0.33}};
    EXPECT_EQ(composeReplica(free, models, demands)->model.str(), "small");
    EXPECT_FALSE(composeReplica(std::span(free).first(1), models, demands));
}

// Guards against domains that mix models for no gain: a lost member of one model then needs a load although servers of the other are
// left over.
TEST(ReplicaComposer, aDomainGoesOnWithItsModelWhereThatWastesNoServer)
{
    const std::vector<ModelSpec> models{{ModelId("large"), 12, 0.5, 1.0, seconds(16), seconds(1)}, {ModelId("small"), 6, 0.5, 0.6, seconds(12), seconds(1)}};
    const std::vector<ModelDemand> demands{{ModelId("large"), 12, 0.5}, {ModelId("small"), 0, 0.5}};
    const std::vector<FreeServer> fifteen(15);
    EXPECT_EQ(composeReplica(fifteen, models, demands, {ModelId("large")})->model.str(), "large");
    EXPECT_EQ(composeReplica(fifteen, models, demands, {ModelId("small")})->model.str(), "small");
    EXPECT_EQ(composeReplica(fifteen, models, demands)->model.str(), "small");
    // Another large one would leave six servers over.
    const std::vector<FreeServer> eighteen(18);
    const std::vector<ModelSpec> uneven{{ModelId("large"), 12, 0.5, 1.0, seconds(16), seconds(1)}, {ModelId("small"), 9, 0.5, 0.6, seconds(12), seconds(1)}};
    EXPECT_EQ(leftOver(18, uneven), 0U);
    EXPECT_EQ(composeReplica(eighteen, uneven, demands, {ModelId("large")})->model.str(), "small");
}

// Guards against spares that all hold the same model, and against one that drops weights it holds.
TEST(ReplicaComposer, sparesStageTheModelThatIsMostExposed)
{
    const std::map<ModelId, unsigned> exposed{{ModelId("large"), 6}, {ModelId("small"), 3}};
    const FreeServer empty{VmId("a"), {}, {}};
    EXPECT_EQ(chooseStaging(empty, {}, exposed).str(), "large");
    EXPECT_EQ(chooseStaging(empty, {{ModelId("large"), 1}}, exposed).str(), "small");
    const FreeServer holding{VmId("b"), {}, {ModelId("small")}};
    EXPECT_TRUE(chooseStaging(holding, {}, exposed).isEmpty());
}

}
