#include "idempotency/claim_fakes.h"

#include <gtest/gtest.h>

namespace carawaypoint
{

class Claims : public ::testing::Test, public PeerClaims
{
protected:
    Claims()
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
                                                  ++restores_;
                                              }};
        return std::make_unique<ClaimStore>(dependencies, ClaimStoreSettings(), ++seeds_);
    }

    void relinquish(const ClaimReference &claim, Handler handler) override
    {
        asked_ = claim;
        handler(peerAnswer_);
    }

    ClaimBegin begin(ClaimStore &claims, const std::string &fingerprint = "f")
    {
        ClaimBegin result;
        claims.begin({ServiceId("s"), key_, fingerprint, RequestId("q")}, [&](const ClaimBegin &begun) { result = begun; });
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
    RelinquishResult peerAnswer_ = RelinquishResult::Unreachable;
    ClaimReference asked_;
    int restores_ = 0;
    std::uint64_t seeds_ = 0;
};

// Guards against transitions that let a call be sent twice or after it was given up.
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

// Guards against keys of other versions and forms.
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

// Guards against a wrong conclusion from what the owner of a claim says.
TEST_F(Claims, resultOfAskingTheOwner)
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
        const auto token = begin(*other).token;
        peerAnswer_ = answer;
        const auto result = begin(*claims_);
        EXPECT_EQ(result.code, code);
        EXPECT_EQ(result.state, state);
        EXPECT_EQ(asked_.token, token);
        EXPECT_EQ(asked_.owner, (ClaimOwner{MemberId("d2"), 9}));
    }
}

// Guards against an owner that gives up a claim it has used, or keeps one that a peer was given.
TEST_F(Claims, relinquishedOnlyBeforeDispatch)
{
    const ClaimOwner self{MemberId("d1"), 5};
    const auto token = begin(*claims_).token;
    EXPECT_EQ(claims_->relinquish({ServiceId("s"), key_, token, {MemberId("d1"), 4}}), RelinquishResult::OwnerEnded);
    EXPECT_EQ(claims_->relinquish({ServiceId("s"), key_, token, {MemberId("d1"), 6}}), RelinquishResult::Unreachable);
    EXPECT_EQ(claims_->relinquish({ServiceId("s"), key_, token, self}), RelinquishResult::Relinquished);
    EXPECT_FALSE(claims_->dispatch(token));

    key_ = makeKey(time_.wallTime(), 2);
    const auto second = begin(*claims_).token;
    EXPECT_TRUE(claims_->dispatch(second));
    EXPECT_EQ(claims_->relinquish({ServiceId("s"), key_, second, self}), RelinquishResult::Refused);
    EXPECT_FALSE(claims_->dispatch(second));
}

// Guards against an outcome that is lost because the platform was down when it came.
TEST_F(Claims, outcomeIsRecordedAfterAnOutage)
{
    const auto token = begin(*claims_).token;
    ASSERT_TRUE(claims_->dispatch(token));
    objects_.isDown = true;
    claims_->complete(token, {200, "text/plain", "booked", false});
    runTicks(5);
    EXPECT_EQ(claims_->openClaims(), 1U);
    objects_.isDown = false;
    EXPECT_EQ(begin(*claims_).code, ResultCode::OkReplayed) << "the owner knows the outcome before it is recorded";
    runTicks(20);
    EXPECT_EQ(claims_->openClaims(), 0U);
    const auto other = makeStore({MemberId("d2"), 1});
    const auto replay = begin(*other);
    EXPECT_EQ(replay.code, ResultCode::OkReplayed);
    EXPECT_EQ(replay.answer.body, "booked");
    EXPECT_EQ(begin(*other, "other").code, ResultCode::KeyReusedForOtherCall);
}

// Guards against a second run when the platform lost a claim because it was restored from an older copy.
TEST_F(Claims, restoredPlatformMakesOlderKeysUnknown)
{
    const auto token = begin(*claims_).token;
    ASSERT_TRUE(claims_->dispatch(token));
    claims_->complete(token, {200, "", "", false});
    time_.runAll();
    objects_.objects.clear();
    objects_.revision = 50;
    const auto again = begin(*claims_);
    EXPECT_EQ(again.code, ResultCode::OutcomeUnknown);
    EXPECT_EQ(again.state, RunState::Unknown);
    EXPECT_EQ(restores_, 1);
    key_ = makeKey(time_.wallTime(), 7);
    EXPECT_EQ(begin(*claims_).code, ResultCode::OutcomeUnknown);
    time_.clock.advance(minutes(11));
    key_ = makeKey(time_.wallTime(), 8);
    EXPECT_EQ(begin(*claims_).code, ResultCode::Ok);
}

// Guards against claims that are kept for ever, deleted too early, or deleted faster than the platform can take.
TEST_F(Claims, oldClaimsAreDeletedAtABoundedRate)
{
    constexpr int Count = 100;
    for (int i = 0; i < Count; ++i) {
        key_ = makeKey(time_.wallTime(), static_cast<unsigned>(i));
        claims_->dispatch(begin(*claims_).token);
        claims_->close(begin(*claims_).token, [](bool) {});
    }
    const auto other = makeStore({MemberId("d2"), 1});
    time_.clock.advance(hours(24));
    other->sweep();
    runTicks(1);
    EXPECT_EQ(objects_.removals, 0U);
    time_.clock.advance(hours(2));
    other->sweep();
    other->tick();
    EXPECT_LE(objects_.removals, 20U);
    for (int i = 0; i < 6; ++i) {
        time_.clock.advance(seconds(1));
        other->tick();
    }
    EXPECT_EQ(objects_.removals, static_cast<std::size_t>(Count));
}

}
