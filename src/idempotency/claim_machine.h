#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

namespace carawaypoint
{

/// States of a claim in the daemon that holds its token.
enum class ClaimState : std::uint8_t {
    Absent, // the write that creates the claim is not confirmed
    Claimed,
    DispatchedUnknown, // the call was sent and may run
    Completed,
    NotRun,
    Unknown, // sent, and no answer will come
    Relinquished, // given up to a peer before it was sent
};

enum class ClaimEvent : std::uint8_t {
    Created, // the claim's write is confirmed
    Dispatch, // about to send the first byte
    Refused, // the server refused before running; the call may be sent once more
    Answered,
    AnswerLost,
    Close, // the call will not be sent
    Relinquish, // a peer asks for the claim
};

std::string_view claimStateName(ClaimState state);

/// Decides what a daemon may still do with a claim. A call is sent only when apply(Dispatch) returned true.
class ClaimMachine
{
public:
    ClaimMachine();
    ~ClaimMachine();
    ClaimMachine(ClaimMachine &&other) noexcept;
    ClaimMachine &operator=(ClaimMachine &&other) noexcept;

    /// False when the event is not allowed in the present state, which stays as it is.
    bool apply(ClaimEvent event);
    ClaimState state() const;

private:
    class Machine;
    std::unique_ptr<Machine> machine_;
};

}
