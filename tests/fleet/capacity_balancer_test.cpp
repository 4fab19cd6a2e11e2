#include "fleet/capacity_balancer.h"
#include "fleet/peak_load.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace carawaypoint
{

namespace
{

using testing::ElementsAre;

const ModelId Large("large");
const ModelId Small("small");

MovableReplica makeReplica(const std::string &id, unsigned size, double requests, unsigned holders)
{
    return {ReplicaId(id), size < 6 ? Small : Large, size, requests, holders};
}

}

TEST(CapacityBalancer, findsTheModelWithTheLowestCoverage)
{
    const std::vector<ModelDemand> demands{{Large, 24, 20}, {Small, 30, 40}};
    ASSERT_NE(CapacityBalancer::findNeed(demands), nullptr);
    EXPECT_EQ(CapacityBalancer::findNeed(demands)->model, Small);
    const std::vector<ModelDemand> covered{{Large, 26, 20}, {Small, 60, 40}};
    EXPECT_EQ(CapacityBalancer::findNeed(covered), nullptr);
}

// Guards against draining more than needed: free servers and the replicas with the fewest requests come first.
TEST(CapacityBalancer, drainsTheReplicasWithTheFewestRequests)
{
    const std::vector<ModelDemand> demands{{Large, 6, 20}, {Small, 30, 5}};
    const std::vector<DomainCapacity> domains{
        {0, 0, {makeReplica("a", 3, 9, 3), makeReplica("b", 3, 8, 3)}},
        {4, 4, {makeReplica("c", 3, 9, 3), makeReplica("d", 3, 7, 3)}},
    };
    const auto move = CapacityBalancer::planMove(demands[0], 6, demands, domains);
    ASSERT_TRUE(move);
    EXPECT_EQ(move->domain, 1U);
    EXPECT_THAT(move->drained, ElementsAre(ReplicaId("d")));
    EXPECT_EQ(move->loadsFromStore, 0U);
}

// Guards against a move that only exchanges which model is short.
TEST(CapacityBalancer, movesNothingWithoutAClearGain)
{
    const std::vector<ModelDemand> demands{{Large, 12, 12}, {Small, 12, 11}};
    const std::vector<DomainCapacity> domains{{0, 0, {makeReplica("a", 3, 1, 3), makeReplica("b", 3, 1, 3)}}};
    EXPECT_FALSE(CapacityBalancer::planMove(demands[0], 6, demands, domains));
}

// Load: the demand of both models swings in waves, and one is at its low point. Guards against servers that follow each wave: the model lacks
// them at its next peak, and each move costs seconds in which they serve nothing.
TEST(CapacityBalancer, modelKeepsTheServersOfItsLastPeak)
{
    const std::vector<DomainCapacity> domains{{0, 0, {makeReplica("a", 3, 1, 3), makeReplica("b", 3, 1, 3)}}};
    const std::vector<ModelDemand> atLowPoint{{Large, 12, 12, 12}, {Small, 30, 10, 26}};
    EXPECT_FALSE(CapacityBalancer::planMove(atLowPoint[0], 6, atLowPoint, domains));
    const std::vector<ModelDemand> idle{{Large, 12, 12, 12}, {Small, 30, 10, 12}};
    EXPECT_TRUE(CapacityBalancer::planMove(idle[0], 6, idle, domains));
}

TEST(PeakLoad, remembersAPeakForOneToTwoIntervals)
{
    const PeakLoad::Key key{ServiceId("drafting"), Large};
    PeakLoad load;
    TimePoint now{hours(1)};
    EXPECT_EQ(load.of(key), 0);
    load.record(key, 9, now);
    load.record(key, 2, now + PeakLoad::Interval - milliseconds(1));
    EXPECT_EQ(load.of(key), 9);
    load.record(key, 3, now + PeakLoad::Interval);
    EXPECT_EQ(load.of(key), 9);
    load.record(key, 1, now + 2 * PeakLoad::Interval);
    EXPECT_EQ(load.of(key), 3);
    load.record(key, 1, now + 5 * PeakLoad::Interval);
    EXPECT_EQ(load.of(key), 1);
}

// Guards against a model that loses its last replica.
TEST(CapacityBalancer, everyModelKeepsAReplica)
{
    const std::vector<ModelDemand> demands{{Large, 6, 40}, {Small, 6, 0.1}};
    const std::vector<DomainCapacity> domains{{0, 0, {makeReplica("a", 3, 1, 3), makeReplica("b", 3, 1, 3)}}};
    EXPECT_FALSE(CapacityBalancer::planMove(demands[0], 6, demands, domains));
}

// Guards against loads of many seconds for a model that is only a little short, and against a model that has no capacity for as long.
TEST(CapacityBalancer, loadsWeightsOnlyForAModelThatIsVeryShort)
{
    const std::vector<DomainCapacity> domains{{0, 0, {makeReplica("a", 3, 1, 0), makeReplica("b", 3, 1, 0)}}};
    const std::vector<ModelDemand> little{{Large, 12, 18}, {Small, 60, 5}};
    EXPECT_FALSE(CapacityBalancer::planMove(little[0], 6, little, domains));
    const std::vector<ModelDemand> very{{Large, 0, 18}, {Small, 60, 5}};
    const auto move = CapacityBalancer::planMove(very[0], 6, very, domains);
    ASSERT_TRUE(move);
    EXPECT_EQ(move->loadsFromStore, 6U);
}

}
