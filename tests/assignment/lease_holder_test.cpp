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

// Guards against a holder that acts after a lost or refused write, an expired lease or a pause: checks the state that each
// sequence of events leads to. An answer that arrives after a pause must not give the authority back.
TEST(LeaseHolder, reachesStatesOfTransitionTable)
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
             {{E::ClaimStarted, E::WriteDone, E::WriteStarted, E::WriteLost, E::LeaseExpired}, S::Isolated},
             {{E::ClaimStarted, E::WriteDone, E::LeaseExpired, E::ReadOther}, S::Follower},
             {{E::ClaimStarted, E::WriteDone, E::LeaseExpired, E::Paused}, S::Suspended},
             {{E::ClaimStarted, E::WriteDone, E::Paused, E::LeaseExpired}, S::Suspended},
             {{E::ClaimStarted, E::WriteDone, E::WriteStarted, E::Paused, E::WriteDone}, S::Suspended},
             {{E::ClaimStarted, E::WriteDone, E::ReleaseStarted}, S::ReleasingLease},
             {{E::ClaimStarted, E::WriteDone, E::ReleaseStarted, E::WriteLost}, S::Follower},
         }) {
        LeaseHolder lease(seconds(10), seconds(1));
        const ManualClock clock;
        for (const auto event : events) {
            lease.handle(event, clock.now());
        }
        EXPECT_EQ(leaseStateName(lease.state()), leaseStateName(expected)) << events.size();
    }
}

// Other daemons time the lease from the write. A holder that timed it from the answer would act after another daemon took
// the lease, so it must time it from the sending.
TEST(LeaseHolder, leaseIsTimedFromSendingOfWrite)
{
    ManualClock clock;
    LeaseHolder lease(seconds(10), seconds(1));
    lease.handle(E::ClaimStarted, clock.now());
    clock.advance(seconds(4));
    lease.handle(E::WriteDone, clock.now());
    EXPECT_TRUE(lease.mayAct(clock.now()));
    clock.advance(seconds(5));
    EXPECT_FALSE(lease.mayAct(clock.now()));
    lease.checkExpiry(clock.now());
    EXPECT_EQ(lease.state(), S::Isolated);
    EXPECT_TRUE(lease.mayUseSpares());
}

// A write that was only read back may be so old that the lease has expired for other daemons. The holder must write again
// before it acts.
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
