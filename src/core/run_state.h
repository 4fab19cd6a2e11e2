#pragma once

#include <cstdint>
#include <string_view>

namespace carawaypoint
{

/// Whether a request was executed, as reported to its caller.
enum class RunState : std::uint8_t {
    NotRun, // no backend server ran the request and none will
    Completed, // the request was run and the answer is complete
    Unknown, // the request may have been run
};

/// The value of the X-Run-State header.
constexpr std::string_view runStateName(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not-run";
    case RunState::Completed:
        return "completed";
    case RunState::Unknown:
        break;
    }
    return "unknown";
}

}
