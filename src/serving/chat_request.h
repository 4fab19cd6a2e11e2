#pragma once

#include "routing/dispatcher.h"
#include "serving/front_end_settings.h"

#include <string>
#include <string_view>

namespace carawaypoint
{

/// A validated chat completion request.
struct ChatRequest {
    ModelRequest routing; // the caller of checkChatRequest() sets the id
    bool isStreamed = false;
    std::string engineBody; // request body for engines; always asks for a stream, so that a missing token is detected by its index
};

/// The parts of a caller's request that are validated.
struct ChatInput {
    std::string_view body;
    std::string_view customer; // X-Customer
    std::string_view deadlineMs; // X-Deadline-Ms; empty: the model's or the front end's default
};

struct ChatCheck {
    ResultCode code = ResultCode::Ok;
    std::string message; // reason of a refusal; empty when code is Ok
    ChatRequest request;
};

/// Validates a request against the customers and models of the snapshot.
ChatCheck checkChatRequest(const ChatInput &input, const RoutingSnapshot &snapshot, TimePoint now, const FrontEndSettings &settings);

}
