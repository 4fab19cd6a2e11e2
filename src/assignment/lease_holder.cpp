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
struct GiveBackStarted {
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
struct TimeLapsed {
};
struct Paused {
};

struct LeaseTable : public msm::front::state_machine_def<LeaseTable> {
    // In the order of LeaseState, which is how the initial state and the rows below number them.
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
    struct GivingBack : public msm::front::state<> {
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
        Row<Held,             GiveBackStarted, GivingBack,       none, none>,
        Row<Held,             TimeLapsed,      Isolated,         none, none>,
        Row<Held,             Paused,          Suspended,        none, none>,
        Row<Held,             ReadOther,       Follower,         none, none>,
        Row<Writing,          WriteDone,       Held,             none, none>,
        // Either somebody took the lease or an earlier write of this process arrived late.
        Row<Writing,          WriteRefused,    Verifying,        none, none>,
        Row<Writing,          WriteLost,       Verifying,        none, none>,
        Row<Writing,          TimeLapsed,      Isolated,         none, none>,
        Row<Writing,          Paused,          Suspended,        none, none>,
        Row<Verifying,        ReadOwn,         Held,             none, none>,
        Row<Verifying,        ReadOther,       Follower,         none, none>,
        Row<Verifying,        TimeLapsed,      Isolated,         none, none>,
        Row<Verifying,        Paused,          Suspended,        none, none>,
        Row<Isolated,         ReadOwn,         Held,             none, none>,
        Row<Isolated,         ReadOther,       Follower,         none, none>,
        Row<Isolated,         Paused,          Suspended,        none, none>,
        Row<Suspended,        ReadOwn,         Held,             none, none>,
        Row<Suspended,        ReadOther,       Follower,         none, none>,
        Row<GivingBack,       WriteDone,       Follower,         none, none>,
        Row<GivingBack,       WriteRefused,    Follower,         none, none>,
        Row<GivingBack,       WriteLost,       Follower,         none, none>,
        Row<GivingBack,       Paused,          Follower,         none, none>
    > {};
    // clang-format on

    // Events that a state does not list change nothing: an answer may arrive after the state was left.
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

class LeaseHolder::Machine : public msm::back::state_machine<LeaseTable>
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
    , validTime_(duration - margin)
{
    machine_->start();
}

LeaseHolder::~LeaseHolder() = default;

LeaseState LeaseHolder::state() const
{
    // MSM numbers states in the order in which the rows of the table first name them as source, which is that of LeaseState.
    return static_cast<LeaseState>(machine_->current_state()[0]);
}

void LeaseHolder::handle(LeaseEvent event, TimePoint now)
{
    using Feed = void (*)(Machine &);
    static constexpr Feed Feeds[] = {
        Machine::feed<ClaimStarted>, Machine::feed<WriteStarted>, Machine::feed<GiveBackStarted>, Machine::feed<WriteDone>,  Machine::feed<WriteRefused>,
        Machine::feed<WriteLost>,    Machine::feed<ReadOwn>,      Machine::feed<ReadOther>,       Machine::feed<TimeLapsed>, Machine::feed<Paused>,
    };
    const auto before = state();
    if (event == LeaseEvent::ClaimStarted || event == LeaseEvent::WriteStarted) {
        sentAt_ = now;
    }
    Feeds[static_cast<std::size_t>(event)](*machine_);
    // A write counts from its sending. One that was read back is not counted, since it may have been sent long ago: the
    // holder has to write again before it acts.
    if (event == LeaseEvent::WriteDone && (before == LeaseState::Acquiring || before == LeaseState::Writing)) {
        validUntil_ = sentAt_ + validTime_;
    }
}

void LeaseHolder::checkTime(TimePoint now)
{
    if (isHolder() && now >= validUntil_ && now >= sentAt_ + validTime_) {
        handle(LeaseEvent::TimeLapsed, now);
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
    const auto now = state();
    return now == LeaseState::ResolvingAcquire || now == LeaseState::Verifying || now == LeaseState::Isolated || now == LeaseState::Suspended;
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
