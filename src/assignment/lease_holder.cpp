#include "assignment/lease_holder.h"

#include <boost/mpl/vector/vector30.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace carawaypoint
{
namespace
{
namespace msm = boost::msm;
using msm::front::none;
using msm::front::Row;

struct ClaimStarted {
};
struct WriteStarted {
};
struct ReleaseStarted {
};
struct WriteDone {
};
struct WriteRefused {
};
struct WriteLost {
};
struct ReadOwn {
};
struct ReadOther {
};
struct LeaseExpired {
};
struct Paused {
};

struct LeaseTransitions : public msm::front::state_machine_def<LeaseTransitions> {
    // In the order of LeaseState. MSM numbers the states by the initial state and the rows below.
    struct Follower : public msm::front::state<> {
    };
    struct Acquiring : public msm::front::state<> {
    };
    struct ResolvingAcquire : public msm::front::state<> {
    };
    struct Held : public msm::front::state<> {
    };
    struct Writing : public msm::front::state<> {
    };
    struct Verifying : public msm::front::state<> {
    };
    struct Isolated : public msm::front::state<> {
    };
    struct Suspended : public msm::front::state<> {
    };
    struct ReleasingLease : public msm::front::state<> {
    };
    using initial_state = Follower;

    // clang-format off
    // NOLINTNEXTLINE(readability-identifier-naming): name fixed by Boost.MSM
    struct transition_table : boost::mpl::vector30<
        Row<Follower,         ClaimStarted,    Acquiring,        none, none>,
        Row<Acquiring,        WriteDone,       Held,             none, none>,
        Row<Acquiring,        WriteRefused,    Follower,         none, none>,
        Row<Acquiring,        WriteLost,       ResolvingAcquire, none, none>,
        Row<Acquiring,        Paused,          ResolvingAcquire, none, none>,
        Row<ResolvingAcquire, ReadOwn,         Held,             none, none>,
        Row<ResolvingAcquire, ReadOther,       Follower,         none, none>,
        Row<Held,             WriteStarted,    Writing,          none, none>,
        Row<Held,             ReleaseStarted,  ReleasingLease,   none, none>,
        Row<Held,             LeaseExpired,    Isolated,         none, none>,
        Row<Held,             Paused,          Suspended,        none, none>,
        Row<Held,             ReadOther,       Follower,         none, none>,
        Row<Writing,          WriteDone,       Held,             none, none>,
        // Either another daemon took the lease or an earlier write of this process took effect late.
        Row<Writing,          WriteRefused,    Verifying,        none, none>,
        Row<Writing,          WriteLost,       Verifying,        none, none>,
        Row<Writing,          LeaseExpired,    Isolated,         none, none>,
        Row<Writing,          Paused,          Suspended,        none, none>,
        Row<Verifying,        ReadOwn,         Held,             none, none>,
        Row<Verifying,        ReadOther,       Follower,         none, none>,
        Row<Verifying,        LeaseExpired,    Isolated,         none, none>,
        Row<Verifying,        Paused,          Suspended,        none, none>,
        Row<Isolated,         ReadOwn,         Held,             none, none>,
        Row<Isolated,         ReadOther,       Follower,         none, none>,
        Row<Isolated,         Paused,          Suspended,        none, none>,
        Row<Suspended,        ReadOwn,         Held,             none, none>,
        Row<Suspended,        ReadOther,       Follower,         none, none>,
        Row<ReleasingLease,   WriteDone,       Follower,         none, none>,
        Row<ReleasingLease,   WriteRefused,    Follower,         none, none>,
        Row<ReleasingLease,   WriteLost,       Follower,         none, none>,
        Row<ReleasingLease,   Paused,          Follower,         none, none>
    > {};
    // clang-format on

    // A state ignores events without a row, because an answer may arrive after the state was left.
    template<typename Fsm, typename Event>
    void no_transition(const Event &, Fsm &, int) // NOLINT(readability-identifier-naming): name fixed by Boost.MSM
    {
    }
};

constexpr std::string_view StateNames[] = {
    "follower", "acquiring", "resolving_acquire", "held", "writing", "verifying", "isolated", "suspended", "giving_back",
};

}

std::string_view leaseStateName(LeaseState state)
{
    return StateNames[static_cast<std::size_t>(state)];
}

class LeaseHolder::Machine : public msm::back::state_machine<LeaseTransitions>
{
public:
    template<typename Event>
    static void feed(Machine &machine)
    {
        machine.process_event(Event{});
    }
};

LeaseHolder::LeaseHolder(Duration duration, Duration margin)
    : machine_(std::make_unique<Machine>())
    , validDuration_(duration - margin)
{
    machine_->start();
}

LeaseHolder::~LeaseHolder() = default;

LeaseState LeaseHolder::state() const
{
    // MSM numbers states in the order in which they first appear as source of a row, which is the order of LeaseState.
    return static_cast<LeaseState>(machine_->current_state()[0]);
}

void LeaseHolder::handle(LeaseEvent event, TimePoint now)
{
    using Feed = void (*)(Machine &);
    static constexpr Feed Feeds[] = {
        Machine::feed<ClaimStarted>, Machine::feed<WriteStarted>, Machine::feed<ReleaseStarted>, Machine::feed<WriteDone>,    Machine::feed<WriteRefused>,
        Machine::feed<WriteLost>,    Machine::feed<ReadOwn>,      Machine::feed<ReadOther>,      Machine::feed<LeaseExpired>, Machine::feed<Paused>,
    };
    const auto before = state();
    if (event == LeaseEvent::ClaimStarted || event == LeaseEvent::WriteStarted) {
        lastWriteSentAt_ = now;
    }
    Feeds[static_cast<std::size_t>(event)](*machine_);
    // The lease time starts when the write was sent. A write that was only read back does not start it, since it may have
    // been sent long ago: the holder has to write again before it acts.
    if (event == LeaseEvent::WriteDone && (before == LeaseState::Acquiring || before == LeaseState::Writing)) {
        validUntil_ = lastWriteSentAt_ + validDuration_;
    }
}

void LeaseHolder::checkExpiry(TimePoint now)
{
    if (isHolder() && now >= validUntil_ && now >= lastWriteSentAt_ + validDuration_) {
        handle(LeaseEvent::LeaseExpired, now);
    }
}

bool LeaseHolder::mayAct(TimePoint now) const
{
    return (state() == LeaseState::Held || state() == LeaseState::Writing) && now < validUntil_;
}

bool LeaseHolder::mayUseSpares() const
{
    return state() == LeaseState::Isolated;
}

bool LeaseHolder::mustRead() const
{
    const auto current = state();
    return current == LeaseState::ResolvingAcquire || current == LeaseState::Verifying || current == LeaseState::Isolated || current == LeaseState::Suspended;
}

bool LeaseHolder::isHolder() const
{
    return state() >= LeaseState::Held && state() <= LeaseState::Suspended;
}

TimePoint LeaseHolder::validUntil() const
{
    return validUntil_;
}

}
