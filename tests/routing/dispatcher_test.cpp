#include "routing_fixture.h"

#include <gtest/gtest.h>

namespace carawaypoint
{

// A daemon that has no routing snapshot yet must refuse requests, not queue them or send them to an unknown replica.
TEST(Dispatcher, refusesBeforeFirstSnapshot)
{
    RoutingFixture fixture;
    EXPECT_EQ(fixture.codeOf(fixture.submit(fixture.request())), ResultCode::NotReady);
}

// No request may be sent to a replica with a missing, surplus, leaving, unloaded or unseen member, without a leader, or
// while it drains (I1). The request waits and is refused at its deadline.
TEST(Dispatcher, neverGrantsIneligibleReplica)
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

// When no new snapshot arrives, the members' last observations get old; the replica must become ineligible.
TEST(Dispatcher, replicaNotSeenWithinObservationBoundIsIneligible)
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

// Guards against more requests in flight than slots, and against a waiting request that is not granted when a slot becomes
// free.
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

// Guards against a request that waits past its deadline because its replica is busy, and against a second call of its
// handler when the slot becomes free after the refusal.
TEST(Dispatcher, refusesWaitingRequestAtItsDeadline)
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

// Guards against granting a slot to a cancelled request, and against cancel() returning true for a request that was granted
// or cancelled before.
TEST(Dispatcher, cancelRemovesWaitingRequestsOnly)
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

// A resubmitted request must not be sent to the replica that failed its last attempt, as listed by the caller.
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

// The loss of a replica fails every request of its batch at once. Shortly after its start a daemon has seen too few requests
// to earn that many retries from their share; the initial reserve of the retry budget must cover them.
TEST(Dispatcher, retryReserveCoversBatchOfLostReplicaAfterStart)
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
