#include "daemon/fact_collector.h"
#include "daemon/observation_exchange.h"
#include "daemon/snapshot_builder.h"

#include <gtest/gtest.h>

namespace carawaypoint
{

namespace
{

constexpr TimePoint Now{hours(1)};

EffectiveConfig makeConfig()
{
    EffectiveConfig config;
    ModelSettings model;
    model.id = ModelId("assistant");
    model.vmsPerReplica = 4;
    model.slotsPerReplica = 8;
    model.replicas = 2;
    config.models.push_back(model);
    ServiceSettings service;
    service.id = ServiceId("booking");
    service.pool = "booking";
    config.services.push_back(service);
    config.siteSettings.daemons = 5;
    return config;
}

ReplicaView makeReplica(std::size_t members)
{
    ReplicaView replica;
    replica.id = ReplicaId("r1");
    replica.model = ModelId("assistant");
    replica.zone = ZoneId("z1");
    replica.expectedMembers = 4;
    for (std::size_t index = 0; index < members; ++index) {
        replica.members.push_back({VmId("vm" + std::to_string(index)), {"127.0.0.1", 1}, Now, true, false});
    }
    return replica;
}

VmRecord makeServer(std::string id, std::string zone)
{
    return {VmId(std::move(id)), {"127.0.0.1", 2}, ZoneId(std::move(zone)), FabricDomainId(), "booking", false};
}

DomainRecord makeRecord()
{
    DomainRecord record;
    record.vms.push_back({VmId("vm0"), {"127.0.0.1", 1}, "p", VmPhase::Bound, ReplicaId("r1"), {}, false});
    ReplicaEntry replica;
    replica.id = ReplicaId("r1");
    replica.fence = {2, 7};
    replica.model = ModelId("assistant");
    replica.members = {VmId("vm0")};
    record.replicas.push_back(replica);
    return record;
}

}

// Guards against daemons that together exceed the capacity because each one, cut off from its peers, divides it by the number of
// daemons that it can see.
TEST(SnapshotBuilder, sharesByConfiguredDaemonsWithoutPeers)
{
    const EffectiveConfig config = makeConfig();
    SnapshotInputs inputs;
    inputs.config = &config;
    inputs.liveDaemonsInZone = 1;
    EXPECT_EQ(buildRoutingSnapshot(inputs, Now)->daemonsInZone, 5U);
    inputs.isPeerExchangeFresh = true;
    EXPECT_EQ(buildRoutingSnapshot(inputs, Now)->daemonsInZone, 1U);
}

// Guards against new requests to a server that announced that it leaves while the platform's VM list still shows it as live.
TEST(SnapshotBuilder, leavingSignalsPrecedeTheVmList)
{
    const EffectiveConfig config = makeConfig();
    const std::vector<VmRecord> vms{makeServer("far", "z2"), makeServer("near", "z1")};
    SnapshotInputs inputs;
    inputs.config = &config;
    inputs.zone = ZoneId("z1");
    inputs.vms = vms;
    inputs.replicas = {makeReplica(4)};
    inputs.leavingVms = {VmId("far"), VmId("vm2")};
    const auto snapshot = buildRoutingSnapshot(inputs, Now);
    ASSERT_EQ(snapshot->services.at(0).servers.size(), 2U);
    EXPECT_EQ(snapshot->services[0].servers[0].vm.str(), "near");
    EXPECT_FALSE(snapshot->services[0].servers[0].isLeaving);
    EXPECT_TRUE(snapshot->services[0].servers[1].isLeaving);
    EXPECT_TRUE(snapshot->replicas.at(0).members.at(2).isLeaving);
    EXPECT_EQ(snapshot->replicas[0].slots, 8U);
}

// Guards against a snapshot with models or a generation before a configuration is in force.
TEST(SnapshotBuilder, isEmptyWithoutConfiguration)
{
    const auto snapshot = buildRoutingSnapshot({}, Now);
    EXPECT_EQ(snapshot->generation, 0U);
    EXPECT_TRUE(snapshot->models.empty());
}

// Guards against an engine of an earlier replica incarnation, observed by a peer, that counts as a member of the current incarnation.
TEST(ObservationExchange, otherFencingNumberBelongsToNoReplica)
{
    ServerState server;
    server.isSeen = true;
    server.isLoaded = true;
    server.fencing = {2, 7};
    const auto present = toVmObservation(VmId("vm0"), server, Now, makeRecord());
    EXPECT_EQ(present.state.replica.str(), "r1");
    EXPECT_EQ(present.state.role, EngineRole::Leader);
    server.fencing = {2, 6};
    EXPECT_TRUE(toVmObservation(VmId("vm0"), server, Now, makeRecord()).state.replica.isEmpty());
}

// Guards against alarm facts that count a replica as serving although a member was not seen within the observation bound.
TEST(FactCollector, countsUnseenMembersAsMissing)
{
    const EffectiveConfig config = makeConfig();
    const AssignmentStatus assignment;
    std::vector<ReplicaView> replicas{makeReplica(4)};
    replicas[0].members[1].lastSeen = Now - seconds(10);
    FactInputs inputs;
    inputs.config = &config;
    inputs.zone = ZoneId("z1");
    inputs.replicas = replicas;
    inputs.assignment = &assignment;
    inputs.observationBound = seconds(3);
    const FleetFacts facts = collectFacts(inputs, Now);
    ASSERT_EQ(facts.replicas.size(), 1U);
    EXPECT_FALSE(facts.replicas[0].isServing);
    ASSERT_EQ(facts.replicas[0].missingVms.size(), 1U);
    EXPECT_EQ(facts.replicas[0].missingVms[0].str(), "vm1");
    EXPECT_DOUBLE_EQ(facts.replicas[0].repairProgress, 0.75);
}

// Guards against a zone that counts as cut off although one of its daemons is alive, and against dead daemons that count as behind the
// newest generation.
TEST(FactCollector, countsLiveMembersByZone)
{
    const EffectiveConfig config = makeConfig();
    const AssignmentStatus assignment;
    const auto member = [](std::string id, std::string zone, MemberStatus status, std::uint64_t generation) {
        return MemberRecord{MemberId(std::move(id)), ZoneId(std::move(zone)), {"127.0.0.1", 1}, 1, 0, status, generation, 0};
    };
    const std::vector<MemberRecord> members{member("a", "z1", MemberStatus::Alive, 3), member("b", "z2", MemberStatus::Dead, 3),
                                            member("c", "z2", MemberStatus::Alive, 2), member("d", "z3", MemberStatus::Dead, 1)};
    FactInputs inputs;
    inputs.config = &config;
    inputs.zone = ZoneId("z1");
    inputs.assignment = &assignment;
    inputs.members = members;
    inputs.newestGeneration = 3;
    const FleetFacts facts = collectFacts(inputs, Now);
    ASSERT_EQ(facts.otherZones.size(), 2U);
    EXPECT_TRUE(facts.otherZones[0].isReachable);
    EXPECT_FALSE(facts.otherZones[1].isReachable);
    ASSERT_EQ(facts.outdatedMembers.size(), 1U);
    EXPECT_EQ(facts.outdatedMembers[0].id.str(), "c");
    EXPECT_EQ(facts.liveDaemons, 1U);
}

}
