#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/result_code.h"

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carawaypoint
{

/// A complete response to a caller.
struct Reply {
    ResultCode code = ResultCode::Ok;
    RunState state = RunState::Completed;
    unsigned status = 0; // HTTP status; 0: the status of the result code
    std::string contentType = "application/json";
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    Duration retryAfter{}; // sent as Retry-After when above zero
    bool closesConnection = false; // the caller's connection is closed after the response
};

/// Makes an error response in the form of docs/interfaces.md; an empty @p message stands for the advice of the result code.
Reply makeErrorReply(ResultCode code, RunState state, std::string_view message, Duration retryAfter = {});
/// Formats the `result` server-sent event, which ends a streamed response.
std::string makeResultEvent(const RequestId &request, ResultCode code, RunState state, std::uint32_t tokens);

}
