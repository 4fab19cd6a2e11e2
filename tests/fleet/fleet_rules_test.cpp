#include "fleet/control_lease.h"
#include "fleet/replica_composer.h"
#include "fleet/replica_view.h"
#include "fleet/service_config.h"
#include "fleet/weight_load_limiter.h"
#include "objects/store_version.h"

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

// Guards against routing a request to the service of a shorter prefix or of another host.
TEST(ServiceConfig, routesToLongestMatchingPrefixOfTheHost)
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

// Guards against requests to a replica with a missing or leaving member, or with a head that is not open.
TEST(FleetSnapshot, onlyCompleteOpenReplicasAreTargets)
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

// Guards against a sound replica that gets no requests because a registration of another writer names it with an unnamed service.
TEST(FleetSnapshot, registrationOfAnUnnamedServiceHidesNoReplica)
{
    ServerMap servers;
    servers[VmId("a")] = makeMember("a", 0, MembershipState::Open);
    servers[VmId("b")] = makeMember("b", 1, MembershipState::Ready);
    servers[VmId("c")] = makeMember("c", 2, MembershipState::Ready);
    for (const unsigned rank : {0U, 2U, 3U}) {
        servers[VmId("w")] = makeMember("w", rank, MembershipState::Broken);
        servers[VmId("w")].service = ServiceId("ledger");
        const FleetSnapshot snapshot(makeConfig(), servers);
        const auto &targets = snapshot.targets(ServiceId("drafting"), ModelId("small"));
        ASSERT_EQ(targets.size(), 1U) << "rank " << rank;
        EXPECT_EQ(targets.front().server.str(), "a") << "rank " << rank;
    }
}

// Guards against a request that reaches a server of an evacuated zone through the head of a replica in another zone.
TEST(FleetSnapshot, serversOfEvacuatedZonesAreNotTargets)
{
    ServerMap servers;
    for (unsigned rank = 0; rank < 3; ++rank) {
        auto member = makeMember("vm-" + std::to_string(rank), rank, rank == 0 ? MembershipState::Open : MembershipState::Ready);
        member.zone = ZoneId(rank == 2 ? "b" : "a");
        servers[member.id] = member;
    }
    BackendServer plain;
    plain.id = VmId("booking-1");
    plain.service = ServiceId("booking");
    plain.zone = ZoneId("b");
    servers[plain.id] = plain;
    const auto countTargets = [&servers](std::set<ZoneId> evacuated) {
        const FleetSnapshot snapshot(makeConfig(), servers, std::move(evacuated));
        return snapshot.targets(ServiceId("drafting"), ModelId("small")).size() + snapshot.targets(ServiceId("booking"), ModelId()).size();
    };
    EXPECT_EQ(countTargets({}), 2U);
    EXPECT_EQ(countTargets({ZoneId("c")}), 2U);
    EXPECT_EQ(countTargets({ZoneId("b")}), 0U) << "a replica with a member there has its head elsewhere";
}

TEST(FleetSnapshot, leavingPlainServersAreNotTargets)
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

// Guards against two holders at the same time. A renewal must change the object, since the store keeps the version of an object that a
// write does not change, and other daemons would then take the lease over.
TEST(ControlLease, renewalChangesTheRecordAndDelaysTakeover)
{
    ControlLease holder(MemberId("a"), 1);
    ControlLease other(MemberId("b"), 2);
    auto now = Start;
    holder.onObjectRead({}, 0, now);
    other.onObjectRead({}, 0, now);
    const auto first = holder.takeWrite(now);
    ASSERT_TRUE(first);
    EXPECT_EQ(first->expectedVersion, 0U);
    holder.onWriteSucceeded(5);
    EXPECT_TRUE(holder.isHeld(now));
    other.onObjectRead(first->record, 5, now);
    now += seconds(1);
    const auto renewal = holder.takeWrite(now);
    ASSERT_TRUE(renewal);
    EXPECT_NE(renewal->record.renewals, first->record.renewals);
    EXPECT_EQ(renewal->record.term, first->record.term);
    holder.onWriteSucceeded(6);
    other.onObjectRead(renewal->record, 6, now);
    now += seconds(3);
    EXPECT_FALSE(other.takeWrite(now));
    EXPECT_FALSE(holder.isHeld(now)); // the holder stops acting before another daemon may take over
    now += milliseconds(600);
    const auto takeover = other.takeWrite(now);
    ASSERT_TRUE(takeover);
    EXPECT_EQ(takeover->expectedVersion, 6U);
    EXPECT_GT(takeover->record.term, renewal->record.term);
}

// Guards against orders of a superseded holder: one refusal must stop it, and neither a read that began before the refusal nor a stale
// one may let it go on.
TEST(ControlLease, refusedOrderStopsTheHolderUntilTheLeaseIsConfirmed)
{
    ControlLease holder(MemberId("a"), 1);
    auto now = Start;
    holder.onObjectRead({}, 0, now);
    const auto first = holder.takeWrite(now);
    ASSERT_TRUE(first);
    holder.onWriteSucceeded(5);
    ASSERT_TRUE(holder.mayAct(now));
    holder.onOrderRefused();
    EXPECT_FALSE(holder.mayAct(now));
    holder.onObjectRead(first->record, 5, now);
    EXPECT_FALSE(holder.mayAct(now)) << "a list may be stale";
    EXPECT_FALSE(holder.takeWrite(now + seconds(2))) << "a write in doubt could extend a lease of another holder's term";
    holder.confirm();
    EXPECT_TRUE(holder.mayAct(now));
    holder.onOrderRefused();
    holder.onObjectRead({MemberId("b"), 2, first->record.term + 1, 1}, 6, now);
    holder.confirm();
    EXPECT_FALSE(holder.mayAct(now));
}

// Guards against two holders when the store comes back from an older copy, whose record names an earlier holder that still runs: it must not act before
// the lease of the holder that the copy does not know has run out everywhere.
TEST(ControlLease, earlierHolderInARestoredStoreWaitsForTheLeaseOfTheEndedEra)
{
    ControlLease earlier(MemberId("a"), 1);
    ControlLease holder(MemberId("b"), 2);
    const LeaseRecord old{MemberId("a"), 1, 4, 7};
    auto now = Start;
    earlier.onObjectRead(old, storeVersion(1, 50), now);
    holder.onObjectRead(old, storeVersion(1, 50), now);
    now += milliseconds(3600);
    const auto take = holder.takeWrite(now);
    ASSERT_TRUE(take);
    holder.onWriteSucceeded(storeVersion(1, 60));
    earlier.onObjectRead(take->record, storeVersion(1, 60), now);

    earlier.onStoreRestored(now);
    earlier.onObjectRead(old, storeVersion(2, 50), now);
    EXPECT_FALSE(earlier.isHeld(now));
    EXPECT_FALSE(earlier.takeWrite(now + milliseconds(2800)));
    ASSERT_TRUE(holder.isHeld(now));
    EXPECT_FALSE(holder.isHeld(now + milliseconds(2900)));
    const auto again = earlier.takeWrite(now + milliseconds(3600));
    ASSERT_TRUE(again);
    EXPECT_GT(again->record.term, take->record.term);
}

// Guards against a holder that acts on a lease which the restored store does not have, and against one that waits although nobody else can hold it.
TEST(ControlLease, holderTakesItsLeaseAgainInTheNewEra)
{
    ControlLease holder(MemberId("a"), 1);
    auto now = Start;
    holder.onObjectRead({}, storeVersion(1, 0), now);
    const auto first = holder.takeWrite(now);
    ASSERT_TRUE(first);
    holder.onWriteSucceeded(storeVersion(1, 60));
    ASSERT_TRUE(holder.isHeld(now));
    EXPECT_FALSE(holder.hasPredecessor());

    holder.onStoreRestored(now);
    EXPECT_FALSE(holder.isHeld(now));
    EXPECT_FALSE(holder.takeWrite(now)) << "what the copy holds is not known";
    holder.onObjectRead({}, storeVersion(2, 0), now);
    const auto again = holder.takeWrite(now);
    ASSERT_TRUE(again);
    EXPECT_EQ(storeCounterOf(again->expectedVersion), 0U);
    EXPECT_GT(again->record.term, first->record.term);
    holder.onWriteSucceeded(storeVersion(2, 40));
    EXPECT_TRUE(holder.isHeld(now));
    EXPECT_TRUE(holder.hasPredecessor());
}

// Guards against a lease that is held because of a write which took effect in an era that has ended.
TEST(ControlLease, writeFromBeforeARestorationHoldsNothing)
{
    ControlLease lease(MemberId("a"), 1);
    lease.onObjectRead({}, storeVersion(1, 0), Start);
    ASSERT_TRUE(lease.takeWrite(Start));
    lease.onStoreRestored(Start);
    lease.onWriteSucceeded(storeVersion(2, 30));
    EXPECT_FALSE(lease.isHeld(Start));
    EXPECT_TRUE(lease.mustRead());
}

// Guards against a fencing token that is given out twice: a gateway that has started after the restoration knows no term of the ended era.
TEST(ControlLease, termsOfALaterEraAreHigherThanAllOfAnEarlierOne)
{
    ControlLease before(MemberId("a"), 1);
    before.onObjectRead({MemberId("b"), 2, 4000, 1}, storeVersion(1, 50), Start);
    const auto late = before.takeWrite(Start + seconds(4));
    ASSERT_TRUE(late);
    ControlLease after(MemberId("c"), 3);
    after.onObjectRead({}, storeVersion(2, 0), Start);
    const auto first = after.takeWrite(Start);
    ASSERT_TRUE(first);
    EXPECT_GT(first->record.term, late->record.term);
}

// Guards against reuse of the old term after a lapse, in which another daemon may have held the lease.
TEST(ControlLease, holderStartsNewTermAfterItsLeaseLapsed)
{
    ControlLease lease(MemberId("a"), 1);
    auto now = Start;
    lease.onObjectRead({}, 0, now);
    const auto first = lease.takeWrite(now);
    lease.onWriteSucceeded(3);
    now += seconds(10);
    const auto next = lease.takeWrite(now);
    ASSERT_TRUE(next);
    EXPECT_GT(next->record.term, first->record.term);
}

// Guards against losing a held lease through a stale read, and against a further write while the outcome of the last one is unknown.
TEST(ControlLease, ignoresStaleReadsAndRereadsAfterUnknownWrite)
{
    ControlLease lease(MemberId("a"), 1);
    lease.onObjectRead({}, 0, Start);
    lease.takeWrite(Start);
    lease.onWriteSucceeded(9);
    lease.onObjectRead({MemberId("b"), 2, 1, 1}, 4, Start);
    EXPECT_TRUE(lease.isHeld(Start));
    const auto later = Start + seconds(1);
    const auto renewal = lease.takeWrite(later);
    ASSERT_TRUE(renewal);
    lease.onWriteFailed();
    EXPECT_TRUE(lease.mustRead());
    EXPECT_FALSE(lease.takeWrite(later));
    lease.onObjectRead(renewal->record, 10, later);
    EXPECT_TRUE(lease.takeWrite(later + seconds(1)));
}

// Guards against seconds without a controller when all daemons restart together and the old lease has to lapse first.
TEST(ControlLease, restartedHolderTakesItsLeaseImmediatelyInNewTerm)
{
    ControlLease restarted(MemberId("a"), 2);
    restarted.onObjectRead({MemberId("a"), 1, 4, 9}, 30, Start);
    const auto write = restarted.takeWrite(Start);
    ASSERT_TRUE(write);
    EXPECT_EQ(write->record.term, 5U);
    ControlLease other(MemberId("b"), 1);
    other.onObjectRead({MemberId("a"), 1, 4, 9}, 30, Start);
    EXPECT_FALSE(other.takeWrite(Start));
}

// Guards against replicas without a controller until the lease lapses after a planned stop of the holder.
TEST(ControlLease, releasedLeaseCanBeTakenImmediately)
{
    ControlLease holder(MemberId("a"), 1);
    holder.onObjectRead({}, 0, Start);
    holder.takeWrite(Start);
    holder.onWriteSucceeded(2);
    const auto release = holder.release(Start);
    ASSERT_TRUE(release);
    ControlLease other(MemberId("b"), 2);
    other.onObjectRead(release->record, 3, Start);
    const auto taken = other.takeWrite(Start);
    ASSERT_TRUE(taken);
    EXPECT_GT(taken->record.term, release->record.term);
}

// Guards against more load starts in the window, or more concurrent loads, than the weight store allows.
TEST(WeightLoadLimiter, limitsStartRateAndConcurrentLoads)
{
    WeightLoadLimiter limiter;
    limiter.setLimits(1, 8);
    EXPECT_TRUE(limiter.mayStart(3, 0, Start));
    limiter.recordStarts(3, Start);
    EXPECT_FALSE(limiter.mayStart(6, 3, Start)); // nine concurrent loads
    EXPECT_FALSE(limiter.mayStart(3, 0, Start)); // six starts in five seconds
    EXPECT_TRUE(limiter.mayStart(2, 0, Start));
    EXPECT_TRUE(limiter.mayStart(0, 50, Start));
    EXPECT_TRUE(limiter.mayStart(3, 0, Start + seconds(6)));
}

// Guards against forming a replica that has to load weights before one whose members already have them.
TEST(ReplicaComposer, prefersReplicaThatNeedsNoLoadFromWeightStore)
{
    const ModelSpec models[] = {{ModelId("large"), 3, 1, 1, seconds(16), seconds(2)}, {ModelId("small"), 2, 1, 1, seconds(12), seconds(1)}};
    const ModelDemand demands[] = {{ModelId("large"), 0, 1}, {ModelId("small"), 10, 1}};
    const FreeServer free[] = {{VmId("a"), ModelId(), {}}, {VmId("b"), ModelId("small"), {}}, {VmId("c"), ModelId(), {ModelId("small")}}};
    const auto chosen = composeReplica(free, models, demands);
    ASSERT_TRUE(chosen);
    EXPECT_EQ(chosen->model.str(), "small");
    EXPECT_EQ(chosen->loadsFromStoreCount, 0U);
    EXPECT_EQ(chosen->members.front().str(), "b");
}

// Guards against forming a further replica of one model while another model lacks capacity.
TEST(ReplicaComposer, prefersModelWithLeastCapacityForItsDemand)
{
    const ModelSpec models[] = {{ModelId("large"), 3, 1, 1, seconds(16), seconds(2)}, {ModelId("small"), 2, 1, 1, seconds(12), seconds(1)}};
    const FreeServer free[] = {{VmId("a"), {}, {}}, {VmId("b"), {}, {}}, {VmId("c"), {}, {}}};
    const ModelDemand demands[] = {{ModelId("large"), 6, 0.67}, {ModelId("small"), 2, 0.33}};
    EXPECT_EQ(composeReplica(free, models, demands)->model.str(), "small");
    EXPECT_FALSE(composeReplica(std::span(free).first(1), models, demands));
}

// Guards against mixing models in a domain without need: replacing a lost member then requires a load, although servers with the
// weights of the other model are unused.
TEST(ReplicaComposer, keepsDomainOnOneModelUnlessServersWouldStayUnused)
{
    const std::vector<ModelSpec> models{{ModelId("large"), 12, 0.5, 1.0, seconds(16), seconds(1)}, {ModelId("small"), 6, 0.5, 0.6, seconds(12), seconds(1)}};
    const std::vector<ModelDemand> demands{{ModelId("large"), 12, 0.5}, {ModelId("small"), 0, 0.5}};
    const std::vector<FreeServer> fifteen(15);
    EXPECT_EQ(composeReplica(fifteen, models, demands, {ModelId("large")})->model.str(), "large");
    EXPECT_EQ(composeReplica(fifteen, models, demands, {ModelId("small")})->model.str(), "small");
    EXPECT_EQ(composeReplica(fifteen, models, demands)->model.str(), "small");
    // Another large replica would leave six servers unused.
    const std::vector<FreeServer> eighteen(18);
    const std::vector<ModelSpec> uneven{{ModelId("large"), 12, 0.5, 1.0, seconds(16), seconds(1)}, {ModelId("small"), 9, 0.5, 0.6, seconds(12), seconds(1)}};
    EXPECT_EQ(unusedServerCount(18, uneven), 0U);
    EXPECT_EQ(composeReplica(eighteen, uneven, demands, {ModelId("large")})->model.str(), "small");
}

// Guards against spares that all stage the same model, and against a spare that replaces its staged weights.
TEST(ReplicaComposer, stagesModelWithMostServersPerSpare)
{
    const std::map<ModelId, unsigned> servingServers{{ModelId("large"), 6}, {ModelId("small"), 3}};
    const FreeServer empty{VmId("a"), {}, {}};
    EXPECT_EQ(chooseStaging(empty, {}, servingServers).str(), "large");
    EXPECT_EQ(chooseStaging(empty, {{ModelId("large"), 1}}, servingServers).str(), "small");
    const FreeServer holding{VmId("b"), {}, {ModelId("small")}};
    EXPECT_TRUE(chooseStaging(holding, {}, servingServers).isEmpty());
}

}
