#include "routing_fixture.h"

#include <gtest/gtest.h>

namespace carawaypoint
{

// Guards against requests being sent before the daemon knows any replica.
TEST(Dispatcher, refusesBeforeFirstSnapshot)
{
    RoutingFixture fixture;
    EXPECT_EQ(fixture.codeOf(fixture.submit(fixture.request())), ResultCode::NotReady);
}

// Guards against serving from a replica with a missing, leaving or unloaded member (I1).
TEST(Dispatcher, neverUsesIneligibleReplica)
{
    struct Case {
        const char *name;
        void (*change)(ReplicaView &);
    };
    const Case cases[] = {
        {"draining",
         [](ReplicaView &r) {
             r.isDraining = true;
         }},
        {"incomplete",
         [](ReplicaView &r) {
             r.members.pop_back();
         }},
        {"surplus member",
         [](ReplicaView &r) {
             r.expectedMembers = 1;
         }},
        {"leaving",
         [](ReplicaView &r) {
             r.members[1].isLeaving = true;
         }},
        {"unloaded",
         [](ReplicaView &r) {
             r.members[1].isLoaded = false;
         }},
        {"not seen",
         [](ReplicaView &r) {
             r.members[1].lastSeen -= seconds(3) + microseconds(1);
         }},
        {"no leader",
         [](ReplicaView &r) {
             r.leader = {};
         }},
    };
    for (const auto &[name, change] : cases) {
        RoutingFixture fixture;
        change(fixture.addReplica("r1"));
        fixture.publish();
        const auto ticket = fixture.submit(fixture.request());
        EXPECT_TRUE(fixture.decisionsOf(ticket).empty()) << name;
        EXPECT_FALSE(fixture.dispatcher->isEligible(ReplicaId("r1"), 1)) << name;
        fixture.clock.advance(seconds(2) + milliseconds(1));
        fixture.dispatcher->tick();
        EXPECT_EQ(fixture.codeOf(ticket), ResultCode::NoReplicaAvailable) << name;
    }
}

// Guards against a replica staying eligible when no snapshot arrives any more.
TEST(Dispatcher, eligibilityEndsWithTheObservationBound)
{
    RoutingFixture fixture;
    fixture.addReplica("r1");
    fixture.publish();
    EXPECT_TRUE(fixture.dispatcher->isEligible(ReplicaId("r1"), 1));
    EXPECT_FALSE(fixture.dispatcher->isEligible(ReplicaId("r1"), 2));
    fixture.clock.advance(seconds(4));
    EXPECT_FALSE(fixture.dispatcher->isEligible(ReplicaId("r1"), 1));
    EXPECT_FALSE(fixture.isGranted(fixture.submit(fixture.request())));
}

// Guards against more requests in flight than slots, and against waiting requests being forgotten.
TEST(Dispatcher, queuesWhenFullAndGrantsInOrder)
{
    RoutingFixture fixture;
    fixture.snapshot.policy.queueOrder = "fifo";
    fixture.addReplica("r1", 2);
    fixture.publish();
    std::vector<Dispatcher::Ticket> tickets;
    tickets.reserve(4);
    for (int i = 0; i < 4; ++i) {
        tickets.push_back(fixture.submit(fixture.request()));
    }
    EXPECT_TRUE(fixture.isGranted(tickets[0]) && fixture.isGranted(tickets[1]));
    EXPECT_TRUE(fixture.decisionsOf(tickets[2]).empty());
    fixture.dispatcher->finish(tickets[0], AttemptOutcome::Completed, 5);
    EXPECT_TRUE(fixture.isGranted(tickets[2]));
    EXPECT_TRUE(fixture.decisionsOf(tickets[3]).empty());
}

// Guards against a request waiting past its deadline and against a second call of its handler.
TEST(Dispatcher, refusesAtTheDeadline)
{
    RoutingFixture fixture;
    fixture.snapshot.policy.admission = "unbounded";
    fixture.addReplica("r1", 1);
    fixture.publish();
    const auto first = fixture.submit(fixture.request());
    const auto second = fixture.submit(fixture.request());
    fixture.clock.advance(seconds(2) + milliseconds(1));
    fixture.refresh();
    fixture.dispatcher->tick();
    EXPECT_EQ(fixture.codeOf(second), ResultCode::DeadlinePassed);
    EXPECT_GT(fixture.decisionsOf(second)[0].retryAfter, Duration::zero());
    fixture.dispatcher->finish(first, AttemptOutcome::Completed, 5);
    EXPECT_EQ(fixture.decisionsOf(second).size(), 1U);
}

// Guards against a cancelled request taking a slot, and against a cancel that claims success too late.
TEST(Dispatcher, cancelTakesOutWaitingRequestsOnly)
{
    RoutingFixture fixture;
    fixture.addReplica("r1", 1);
    fixture.publish();
    const auto first = fixture.submit(fixture.request());
    const auto second = fixture.submit(fixture.request());
    EXPECT_FALSE(fixture.dispatcher->cancel(first));
    EXPECT_TRUE(fixture.dispatcher->cancel(second));
    EXPECT_FALSE(fixture.dispatcher->cancel(second));
    fixture.dispatcher->finish(first, AttemptOutcome::Completed, 5);
    EXPECT_TRUE(fixture.decisionsOf(second).empty());
}

// Guards against a failed attempt going back to the replica that failed it.
TEST(Dispatcher, resubmitAvoidsExcludedReplicas)
{
    RoutingFixture fixture;
    fixture.addReplica("r1");
    fixture.addReplica("r2");
    fixture.publish();
    const auto first = fixture.submit(fixture.request());
    const ReplicaId failed = fixture.decisionsOf(first)[0].replica;
    fixture.dispatcher->finish(first, AttemptOutcome::Refused, 0);
    const auto second = fixture.resubmit(first, {failed});
    ASSERT_TRUE(fixture.isGranted(second));
    EXPECT_NE(fixture.decisionsOf(second)[0].replica, failed);
}

// Guards against a daemon with little traffic that fails requests because its first minutes allow too few retries: a
// replica that is lost takes every request of its batch with it.
TEST(Dispatcher, resubmitsTheBatchOfALostReplicaAfterTheStart)
{
    RoutingFixture fixture;
    fixture.addReplica("r1", 32);
    fixture.publish();
    std::vector<Dispatcher::Ticket> tickets;
    for (int i = 0; i < 32; ++i) {
        tickets.push_back(fixture.submit(fixture.request()));
        ASSERT_TRUE(fixture.isGranted(tickets.back())) << i;
    }
    fixture.addReplica("r2", 32);
    fixture.publish();
    for (const Dispatcher::Ticket ticket : tickets) {
        fixture.dispatcher->finish(ticket, AttemptOutcome::ReplicaLost, 0);
        EXPECT_NE(fixture.codeOf(fixture.resubmit(ticket, {ReplicaId("r1")})), ResultCode::RetryBudgetExhausted);
    }
}

}
