#include "assignment/lease_holder.h"

#include <gtest/gtest.h>

#include <vector>

namespace carawaypoint
{
namespace
{

using E = LeaseEvent;
using S = LeaseState;

struct Case {
    std::vector<E> events;
    S expected;
};

// Guards against a holder that acts on a lost, refused or outdated write, and against a paused one that keeps authority.
TEST(LeaseHolder, followsTheTable)
{
    for (const auto &[events, expected] : std::vector<Case>{
             {{}, S::Follower},
             {{E::ClaimStarted}, S::Acquiring},
             {{E::ClaimStarted, E::WriteDone}, S::Held},
             {{E::ClaimStarted, E::WriteRefused}, S::Follower},
             {{E::ClaimStarted, E::WriteLost}, S::ResolvingAcquire},
             {{E::ClaimStarted, E::Paused, E::WriteDone}, S::ResolvingAcquire},
             {{E::ClaimStarted, E::WriteLost, E::ReadOwn}, S::Held},
             {{E::ClaimStarted, E::WriteLost, E::ReadOther}, S::Follower},
             {{E::ClaimStarted, E::WriteDone, E::WriteStarted}, S::Writing},
             {{E::ClaimStarted, E::WriteDone, E::WriteStarted, E::WriteRefused}, S::Verifying},
             {{E::ClaimStarted, E::WriteDone, E::WriteStarted, E::WriteLost, E::TimeLapsed}, S::Isolated},
             {{E::ClaimStarted, E::WriteDone, E::TimeLapsed, E::ReadOther}, S::Follower},
             {{E::ClaimStarted, E::WriteDone, E::TimeLapsed, E::Paused}, S::Suspended},
             {{E::ClaimStarted, E::WriteDone, E::Paused, E::TimeLapsed}, S::Suspended},
             {{E::ClaimStarted, E::WriteDone, E::WriteStarted, E::Paused, E::WriteDone}, S::Suspended},
             {{E::ClaimStarted, E::WriteDone, E::GiveBackStarted}, S::GivingBack},
             {{E::ClaimStarted, E::WriteDone, E::GiveBackStarted, E::WriteLost}, S::Follower},
         }) {
        LeaseHolder lease(seconds(10), seconds(1));
        const ManualClock clock;
        for (const auto event : events) {
            lease.handle(event, clock.now());
        }
        EXPECT_EQ(leaseStateName(lease.state()), leaseStateName(expected)) << events.size();
    }
}

// Guards against a lease timed from the answer: others count from the write, so the holder would act too long.
TEST(LeaseHolder, countsFromSending)
{
    ManualClock clock;
    LeaseHolder lease(seconds(10), seconds(1));
    lease.handle(E::ClaimStarted, clock.now());
    clock.advance(seconds(4));
    lease.handle(E::WriteDone, clock.now());
    EXPECT_TRUE(lease.mayAct(clock.now()));
    clock.advance(seconds(5));
    EXPECT_FALSE(lease.mayAct(clock.now()));
    lease.checkTime(clock.now());
    EXPECT_EQ(lease.state(), S::Isolated);
    EXPECT_TRUE(lease.mayUseSpares());
}

// Guards against a holder that acts after its write was read back, when the lease may have run out elsewhere.
TEST(LeaseHolder, writesAgainAfterReadBack)
{
    const ManualClock clock;
    LeaseHolder lease(seconds(10), seconds(1));
    lease.handle(E::ClaimStarted, clock.now());
    lease.handle(E::WriteLost, clock.now());
    lease.handle(E::ReadOwn, clock.now());
    EXPECT_EQ(lease.state(), S::Held);
    EXPECT_FALSE(lease.mayAct(clock.now()));
    lease.handle(E::WriteStarted, clock.now());
    lease.handle(E::WriteDone, clock.now());
    EXPECT_TRUE(lease.mayAct(clock.now()));
}

}
}
