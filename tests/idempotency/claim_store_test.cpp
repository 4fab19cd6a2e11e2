#include "idempotency/claim_fakes.h"

#include <gtest/gtest.h>

namespace carawaypoint
{

class ClaimStoreTest : public ::testing::Test, public PeerClaims
{
protected:
    ClaimStoreTest()
        : objects_(time_, 1)
        , store_(objects_, [](const std::function<void()> &action) { action(); })
    {
        time_.clock.advance(hours(100));
        claims_ = makeStore({MemberId("d1"), 5});
        key_ = makeKey(time_.wallTime(), 1);
    }

    std::unique_ptr<ClaimStore> makeStore(const ClaimOwner &owner)
    {
        ClaimStore::Dependencies dependencies{&store_,
                                              this,
                                              &time_.clock,
                                              [this] { return time_.wallTime(); },
                                              owner,
                                              [this](WallTime) {
                                                  ++detectedRestores_;
                                              }};
        return std::make_unique<ClaimStore>(dependencies, ClaimStoreSettings(), ++lastSeed_);
    }

    void relinquish(const ClaimReference &claim, Handler handler) override
    {
        requestedClaim_ = claim;
        handler(peerResult_);
    }

    ClaimAcquisition acquire(ClaimStore &claims, const std::string &fingerprint = "f")
    {
        ClaimAcquisition result;
        claims.acquire({ServiceId("s"), key_, fingerprint, RequestId("q")}, [&](const ClaimAcquisition &begun) { result = begun; });
        time_.runAll();
        return result;
    }

    void runTicks(int count)
    {
        for (int i = 0; i < count; ++i) {
            time_.clock.advance(seconds(1));
            claims_->tick();
            time_.runAll();
        }
    }

    VirtualTime time_;
    FakeObjects objects_;
    FakeStore store_;
    std::unique_ptr<ClaimStore> claims_;
    std::string key_;
    RelinquishResult peerResult_ = RelinquishResult::Unreachable;
    ClaimReference requestedClaim_;
    int detectedRestores_ = 0;
    std::uint64_t lastSeed_ = 0;
};

// Guards against transitions that allow a call to be sent twice, or after its claim was relinquished or closed.
TEST(ClaimMachine, allowsOneDispatch)
{
    using enum ClaimEvent;
    struct Case {
        std::vector<ClaimEvent> before;
        ClaimEvent event;
        bool isAllowed;
    };
    const Case cases[] = {
        {{}, Dispatch, false},
        {{Created}, Dispatch, true},
        {{Created, Dispatch}, Dispatch, false},
        {{Created, Dispatch, Refused}, Dispatch, true},
        {{Created, Dispatch}, Relinquish, false},
        {{Created, Dispatch}, Close, false},
        {{Created, Dispatch, Answered}, Dispatch, false},
        {{Created, Dispatch, AnswerLost}, Dispatch, false},
        {{Created, Dispatch, AnswerLost}, Relinquish, false},
        {{Created, Relinquish}, Dispatch, false},
        {{Relinquish}, Created, false},
        {{Created, Close}, Dispatch, false},
    };
    for (const auto &[before, event, isAllowed] : cases) {
        ClaimMachine machine;
        for (const auto earlier : before) {
            EXPECT_TRUE(machine.apply(earlier));
        }
        EXPECT_EQ(machine.apply(event), isAllowed) << claimStateName(machine.state());
    }
}

// Guards against accepting keys that are not a UUID version 7: their age is unknown, so an expired key could run a call again.
TEST(ClaimKey, rejectsOtherForms)
{
    const WallTime now(1'700'000'000'000);
    for (const std::string key : {"018bcfe5-6800-4000-8000-000000000001", "018bcfe5-6800-7000-c000-000000000001", "018bcfe568007000800000000000000001",
                                  "018bcfe5-6800-7000-8000-00000000000g", "018bcfe5-6800-7000-8000-00000000000"}) {
        EXPECT_EQ(checkClaimKey(key, now, {}).code, ResultCode::KeyInvalid) << key;
    }
    const auto check = checkClaimKey("018BCFE5-6800-7000-8000-00000000000A", now, {});
    EXPECT_EQ(check.code, ResultCode::Ok);
    EXPECT_EQ(check.key, "018bcfe5-6800-7000-8000-00000000000a");
    EXPECT_EQ(check.createdAt, now);
}

// Guards against running a call twice because its claim was acquired although the owner may have sent the call, and against a
// wrong run state in the result.
TEST_F(ClaimStoreTest, resultWhenTheOwnerIsAskedToRelinquish)
{
    const std::tuple<RelinquishResult, ResultCode, RunState> cases[] = {
        {RelinquishResult::Refused, ResultCode::KeyInUse, RunState::Unknown},
        {RelinquishResult::Unreachable, ResultCode::KeyInUse, RunState::Unknown},
        {RelinquishResult::OwnerEnded, ResultCode::OutcomeUnknown, RunState::Unknown},
        {RelinquishResult::Relinquished, ResultCode::Ok, RunState::NotRun},
    };
    const auto other = makeStore({MemberId("d2"), 9});
    for (const auto &[answer, code, state] : cases) {
        key_ = makeKey(time_.wallTime(), 10 + static_cast<unsigned>(answer));
        const auto token = acquire(*other).token;
        peerResult_ = answer;
        const auto result = acquire(*claims_);
        EXPECT_EQ(result.code, code);
        EXPECT_EQ(result.state, state);
        EXPECT_EQ(requestedClaim_.token, token);
        EXPECT_EQ(requestedClaim_.owner, (ClaimOwner{MemberId("d2"), 9}));
    }
}

// Guards against an owner that relinquishes a claim after dispatch, or dispatches a call whose claim it relinquished.
TEST_F(ClaimStoreTest, relinquishedOnlyBeforeDispatch)
{
    const ClaimOwner self{MemberId("d1"), 5};
    const auto token = acquire(*claims_).token;
    EXPECT_EQ(claims_->relinquish({ServiceId("s"), key_, token, {MemberId("d1"), 4}}), RelinquishResult::OwnerEnded);
    EXPECT_EQ(claims_->relinquish({ServiceId("s"), key_, token, {MemberId("d1"), 6}}), RelinquishResult::Unreachable);
    EXPECT_EQ(claims_->relinquish({ServiceId("s"), key_, token, self}), RelinquishResult::Relinquished);
    EXPECT_FALSE(claims_->dispatch(token));

    key_ = makeKey(time_.wallTime(), 2);
    const auto second = acquire(*claims_).token;
    EXPECT_TRUE(claims_->dispatch(second));
    EXPECT_EQ(claims_->relinquish({ServiceId("s"), key_, second, self}), RelinquishResult::Refused);
    EXPECT_FALSE(claims_->dispatch(second));
}

// Guards against losing an outcome because the platform was unavailable when the answer arrived.
TEST_F(ClaimStoreTest, outcomeIsRecordedAfterAnOutage)
{
    const auto token = acquire(*claims_).token;
    ASSERT_TRUE(claims_->dispatch(token));
    objects_.isDown = true;
    claims_->recordAnswer(token, {200, "text/plain", "booked", false});
    runTicks(5);
    EXPECT_EQ(claims_->openClaims(), 1U);
    objects_.isDown = false;
    EXPECT_EQ(acquire(*claims_).code, ResultCode::OkReplayed) << "the owner has to replay the answer before it is recorded";
    runTicks(20);
    EXPECT_EQ(claims_->openClaims(), 0U);
    const auto other = makeStore({MemberId("d2"), 1});
    const auto replay = acquire(*other);
    EXPECT_EQ(replay.code, ResultCode::OkReplayed);
    EXPECT_EQ(replay.answer.body, "booked");
    EXPECT_EQ(acquire(*other, "other").code, ResultCode::KeyReusedForOtherCall);
}

// Guards against running a call twice after the platform lost its claim in a restore from an older backup.
TEST_F(ClaimStoreTest, keysOlderThanAPlatformRestoreHaveUnknownOutcome)
{
    const auto token = acquire(*claims_).token;
    ASSERT_TRUE(claims_->dispatch(token));
    claims_->recordAnswer(token, {200, "", "", false});
    time_.runAll();
    objects_.objects.clear();
    objects_.revision = 50;
    const auto again = acquire(*claims_);
    EXPECT_EQ(again.code, ResultCode::OutcomeUnknown);
    EXPECT_EQ(again.state, RunState::Unknown);
    EXPECT_EQ(detectedRestores_, 1);
    key_ = makeKey(time_.wallTime(), 7);
    EXPECT_EQ(acquire(*claims_).code, ResultCode::OutcomeUnknown);
    time_.clock.advance(minutes(11));
    key_ = makeKey(time_.wallTime(), 8);
    EXPECT_EQ(acquire(*claims_).code, ResultCode::Ok);
}

// Guards against claims that are never deleted, deleted too early, or deleted at a rate above cleanupPerSecond, which would
// overload the platform.
TEST_F(ClaimStoreTest, oldClaimsAreDeletedAtABoundedRate)
{
    constexpr int Count = 100;
    for (int i = 0; i < Count; ++i) {
        key_ = makeKey(time_.wallTime(), static_cast<unsigned>(i));
        claims_->dispatch(acquire(*claims_).token);
        claims_->close(acquire(*claims_).token, [](bool) {});
    }
    const auto other = makeStore({MemberId("d2"), 1});
    time_.clock.advance(hours(24));
    other->queueExpiredClaims();
    runTicks(1);
    EXPECT_EQ(objects_.removals, 0U);
    time_.clock.advance(hours(2));
    other->queueExpiredClaims();
    other->tick();
    EXPECT_LE(objects_.removals, 20U);
    for (int i = 0; i < 6; ++i) {
        time_.clock.advance(seconds(1));
        other->tick();
    }
    EXPECT_EQ(objects_.removals, static_cast<std::size_t>(Count));
}

}
