#include "idempotency/claim_machine.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace carawaypoint
{

namespace msm = boost::msm;

namespace
{

template<ClaimEvent Value>
struct On {
};

template<ClaimState Value>
struct In : msm::front::state<> {
};

template<ClaimState From, ClaimEvent Event, ClaimState To>
using Row = msm::front::Row<In<From>, On<Event>, In<To>>;

struct Definition : msm::front::state_machine_def<Definition> {
    using initial_state = In<ClaimState::Absent>; // NOLINT(readability-identifier-naming): the name that MSM requires
    using enum ClaimState;

    // After the dispatch, only the server's statement that it did not run the call leads back to a state in which the claim
    // can be relinquished.
    // NOLINTNEXTLINE(readability-identifier-naming): the name that MSM requires
    struct transition_table : boost::mpl::vector<Row<Absent, ClaimEvent::Created, Claimed>,
                                                 Row<Absent, ClaimEvent::Close, NotRun>,
                                                 Row<Absent, ClaimEvent::Relinquish, Relinquished>,
                                                 Row<Claimed, ClaimEvent::Dispatch, DispatchedUnknown>,
                                                 Row<Claimed, ClaimEvent::Close, NotRun>,
                                                 Row<Claimed, ClaimEvent::Relinquish, Relinquished>,
                                                 Row<DispatchedUnknown, ClaimEvent::Refused, Claimed>,
                                                 Row<DispatchedUnknown, ClaimEvent::Answered, Completed>,
                                                 Row<DispatchedUnknown, ClaimEvent::AnswerLost, Unknown>> {
    };

    template<typename Machine, typename Event>
    void no_transition(const Event &, Machine &, int) // NOLINT(readability-identifier-naming): the name that MSM requires
    {
    }
};

}

class ClaimMachine::Machine : public msm::back::state_machine<Definition>
{
};

std::string_view claimStateName(ClaimState state)
{
    switch (state) {
    case ClaimState::Absent:
        return "absent";
    case ClaimState::Claimed:
        return "claimed";
    case ClaimState::DispatchedUnknown:
        return "dispatched-unknown";
    case ClaimState::Completed:
        return "completed";
    case ClaimState::NotRun:
        return "not-run";
    case ClaimState::Relinquished:
        return "relinquished";
    case ClaimState::Unknown:
        break;
    }
    return "unknown";
}

ClaimMachine::ClaimMachine()
    : machine_(std::make_unique<Machine>())
{
    machine_->start();
}

ClaimMachine::~ClaimMachine() = default;
ClaimMachine::ClaimMachine(ClaimMachine &&other) noexcept = default;
ClaimMachine &ClaimMachine::operator=(ClaimMachine &&other) noexcept = default;

bool ClaimMachine::apply(ClaimEvent event)
{
    const auto process = [this](auto typed) {
        return machine_->process_event(typed) == msm::back::HANDLED_TRUE;
    };
    switch (event) {
    case ClaimEvent::Created:
        return process(On<ClaimEvent::Created>());
    case ClaimEvent::Dispatch:
        return process(On<ClaimEvent::Dispatch>());
    case ClaimEvent::Refused:
        return process(On<ClaimEvent::Refused>());
    case ClaimEvent::Answered:
        return process(On<ClaimEvent::Answered>());
    case ClaimEvent::AnswerLost:
        return process(On<ClaimEvent::AnswerLost>());
    case ClaimEvent::Close:
        return process(On<ClaimEvent::Close>());
    case ClaimEvent::Relinquish:
        return process(On<ClaimEvent::Relinquish>());
    }
    return false;
}

ClaimState ClaimMachine::state() const
{
    // MSM numbers states by their position in the table, so each state is identified by its type.
    using Back = msm::back::state_machine<Definition>;
    const int current = machine_->current_state()[0];
    using Table = Back::stt;
    if (current == msm::back::get_state_id<Table, In<ClaimState::Absent>>::value) {
        return ClaimState::Absent;
    }
    if (current == msm::back::get_state_id<Table, In<ClaimState::Claimed>>::value) {
        return ClaimState::Claimed;
    }
    if (current == msm::back::get_state_id<Table, In<ClaimState::DispatchedUnknown>>::value) {
        return ClaimState::DispatchedUnknown;
    }
    if (current == msm::back::get_state_id<Table, In<ClaimState::Completed>>::value) {
        return ClaimState::Completed;
    }
    if (current == msm::back::get_state_id<Table, In<ClaimState::NotRun>>::value) {
        return ClaimState::NotRun;
    }
    if (current == msm::back::get_state_id<Table, In<ClaimState::Relinquished>>::value) {
        return ClaimState::Relinquished;
    }
    return ClaimState::Unknown;
}

}
