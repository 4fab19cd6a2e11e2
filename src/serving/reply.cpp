#include "serving/reply.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace carawaypoint
{

namespace json = boost::json;

Reply makeErrorReply(ResultCode code, RunState state, std::string_view message, Duration retryAfter)
{
    Reply reply;
    reply.code = code;
    reply.state = state;
    reply.retryAfter = retryAfter;
    const json::object error{{"code", static_cast<unsigned>(code)},
                             {"name", resultCodeName(code)},
                             {"message", message.empty() ? resultCodeInfo(code).advice : message},
                             {"run_state", runStateName(state)}};
    reply.body = json::serialize(json::object{{"error", error}});
    return reply;
}

std::string makeResultEvent(const RequestId &request, ResultCode code, RunState state, std::uint32_t tokens)
{
    const json::object result{{"request", request.str()},
                              {"code", static_cast<unsigned>(code)},
                              {"name", resultCodeName(code)},
                              {"run_state", runStateName(state)},
                              {"tokens", tokens}};
    return "event: result\ndata: " + json::serialize(result) + "\n\n";
}

}
