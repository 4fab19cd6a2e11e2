#pragma once

#include "routing/dispatcher.h"
#include "serving/front_end_settings.h"

#include <string>
#include <string_view>

namespace carawaypoint
{

/// A checked request for a chat completion.
struct ChatRequest {
    ModelRequest routing; // without id
    bool isStreamed = false;
    std::string engineBody; // always asks for a stream, so that loss is noticed token by token
};

/// The parts of a caller's request that are checked.
struct ChatInput {
    std::string_view body;
    std::string_view customer; // X-Customer
    std::string_view deadlineMs; // X-Deadline-Ms; empty: default
};

struct ChatCheck {
    ResultCode code = ResultCode::Ok;
    std::string message; // what is wrong, when code is not Ok
    ChatRequest request;
};

/// Checks a request against the snapshot.
ChatCheck checkChatRequest(const ChatInput &input, const RoutingSnapshot &snapshot, TimePoint now, const FrontEndSettings &settings);

}
