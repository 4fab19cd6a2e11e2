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

/// A whole response to a caller.
struct Reply {
    ResultCode code = ResultCode::Ok;
    RunState state = RunState::Completed;
    unsigned status = 0; // HTTP status; 0: that of the result code
    std::string contentType = "application/json";
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
    Duration retryAfter{}; // sent as Retry-After when above zero
    bool closesConnection = false;
};

/// A failure in the form of docs/interfaces.md.
Reply makeErrorReply(ResultCode code, RunState state, std::string_view message, Duration retryAfter = {});
/// The data of the final `result` event of a stream.
std::string makeResultEvent(const RequestId &request, ResultCode code, RunState state, std::uint32_t tokens);

}
