#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace carawaypoint
{

/// State of a claim in the daemon that created it.
enum class ClaimState : std::uint8_t {
    Absent, // the write that creates the claim is not confirmed yet
    Claimed,
    DispatchedUnknown, // the call was sent and may run
    Completed,
    NotRun,
    Unknown, // the call was sent, and no answer will arrive
    Relinquished, // released to a peer before the call was sent
};

enum class ClaimEvent : std::uint8_t {
    Created, // the write that creates the claim is confirmed
    Dispatch, // the daemon is about to send the first byte of the call
    Refused, // the server refused the call before running it; it may be sent again
    Answered,
    AnswerLost,
    Close, // the daemon will not send the call
    Relinquish, // a peer requests the claim
};

std::string_view claimStateName(ClaimState state);

/// State machine of a claim. A call may be sent only after apply(Dispatch) returned true.
class ClaimMachine
{
public:
    ClaimMachine();
    ~ClaimMachine();
    ClaimMachine(ClaimMachine &&other) noexcept;
    ClaimMachine &operator=(ClaimMachine &&other) noexcept;

    /// Returns false, without a change of state, when the event is not allowed in the current state.
    bool apply(ClaimEvent event);
    ClaimState state() const;

private:
    class Machine;
    std::unique_ptr<Machine> machine_;
};

}
