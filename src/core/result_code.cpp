#include "core/result_code.h"

#include <algorithm>
#include <array>
#include <string>

namespace carawaypoint
{

namespace
{

using enum RunState;

constexpr std::string_view RetryLater = "retry after the time in Retry-After";
constexpr std::string_view FixRequest = "correct the request";
constexpr std::string_view RetrySameKey = "re-send with the same key";

constexpr std::array Table{
    ResultCodeInfo{ResultCode::Ok, "ok", 200, Completed, "none"},
    ResultCodeInfo{ResultCode::OkReplayed, "ok_replayed", 200, Completed, "none; the recorded answer of an earlier call with the same key"},
    ResultCodeInfo{ResultCode::MalformedRequest, "malformed_request", 400, NotRun, FixRequest},
    ResultCodeInfo{ResultCode::RequestTooLarge, "request_too_large", 413, NotRun, FixRequest},
    ResultCodeInfo{ResultCode::RequestTooSlow, "request_too_slow", 408, NotRun, "send the request without pauses"},
    ResultCodeInfo{ResultCode::UnknownModel, "unknown_model", 404, NotRun, FixRequest},
    ResultCodeInfo{ResultCode::UnknownCustomer, "unknown_customer", 401, NotRun, FixRequest},
    ResultCodeInfo{ResultCode::UnknownService, "unknown_service", 404, NotRun, FixRequest},
    ResultCodeInfo{ResultCode::UnknownPath, "unknown_path", 404, NotRun, FixRequest},
    ResultCodeInfo{ResultCode::UnknownAdapter, "unknown_adapter", 404, NotRun, FixRequest},
    ResultCodeInfo{ResultCode::CallerClosed, "caller_closed", 499, Unknown, "none; the caller closed the connection"},
    ResultCodeInfo{ResultCode::HeaderTooLarge, "header_too_large", 431, NotRun, FixRequest},
    ResultCodeInfo{ResultCode::StreamCut, "stream_cut", 502, Unknown, "go on after the last event that arrived"},
    ResultCodeInfo{ResultCode::QueueFull, "queue_full", 503, NotRun, RetryLater},
    ResultCodeInfo{ResultCode::DeadlineWouldPass, "deadline_would_pass", 503, NotRun, RetryLater},
    ResultCodeInfo{ResultCode::DeadlinePassed, "deadline_passed", 504, NotRun, RetryLater},
    ResultCodeInfo{ResultCode::CustomerOverShare, "customer_over_share", 429, NotRun, RetryLater},
    ResultCodeInfo{ResultCode::Draining, "draining", 503, NotRun, "retry; the balancer chooses another entry"},
    ResultCodeInfo{ResultCode::NotReady, "not_ready", 503, NotRun, "retry; the balancer chooses another entry"},
    ResultCodeInfo{ResultCode::RequestMemoryFull, "request_memory_full", 503, NotRun, RetryLater},
    ResultCodeInfo{ResultCode::NoReplicaAvailable, "no_replica_available", 503, NotRun, RetryLater},
    ResultCodeInfo{ResultCode::ReplicaLost, "replica_lost", 502, Unknown, "re-send the request"},
    ResultCodeInfo{ResultCode::AnswerTruncated, "answer_truncated", 502, Unknown, "discard the partial answer and re-send the request"},
    ResultCodeInfo{ResultCode::BackendTimeout, "backend_timeout", 504, Unknown, "re-send the request"},
    ResultCodeInfo{ResultCode::BackendRefused, "backend_refused", 503, NotRun, RetryLater},
    ResultCodeInfo{ResultCode::BackendBadAnswer, "backend_bad_answer", 502, Unknown, "re-send the request"},
    ResultCodeInfo{ResultCode::RequestQuarantined, "request_quarantined", 422, Unknown, "do not re-send; the request crashed backend servers"},
    ResultCodeInfo{ResultCode::RetryBudgetExhausted, "retry_budget_exhausted", 503, Unknown, RetryLater},
    ResultCodeInfo{ResultCode::NoServerAvailable, "no_server_available", 503, NotRun, RetryLater},
    ResultCodeInfo{ResultCode::PromptQuarantined, "prompt_quarantined", 503, NotRun,
                   "send requests without this part of the prompt, or retry after the time in Retry-After"},
    ResultCodeInfo{ResultCode::KeyRequired, "key_required", 400, NotRun, "send an Idempotency-Key (UUID version 7)"},
    ResultCodeInfo{ResultCode::KeyInvalid, "key_invalid", 400, NotRun, "send an Idempotency-Key that is a UUID version 7 of the present time"},
    ResultCodeInfo{ResultCode::KeyExpired, "key_expired", 409, Unknown, "look the outcome up in the application; the key is too old to re-send"},
    ResultCodeInfo{ResultCode::KeyInUse, "key_in_use", 409, Unknown, "the call is in progress; ask again later with the same key"},
    ResultCodeInfo{ResultCode::OutcomeUnknown, "outcome_unknown", 502, Unknown, "look the outcome up in the application; the call is not run again"},
    ResultCodeInfo{ResultCode::ClaimUnavailable, "claim_unavailable", 503, Unknown, RetrySameKey},
    ResultCodeInfo{ResultCode::KeyReusedForOtherCall, "key_reused_for_other_call", 422, NotRun, "use a new key for a different call"},
    ResultCodeInfo{ResultCode::ConfigInvalid, "config_invalid", 400, NotRun, "correct the reported lines"},
    ResultCodeInfo{ResultCode::ConfigConflict, "config_conflict", 409, NotRun, "review the difference and apply again"},
    ResultCodeInfo{ResultCode::ConfigTooLarge, "config_too_large", 413, NotRun, "shorten the configuration to one megabyte"},
    ResultCodeInfo{ResultCode::ConfigNotInForce, "config_not_in_force", 504, Unknown, "see carawaypoint config status"},
    ResultCodeInfo{ResultCode::ConfigMissing, "config_missing", 404, NotRun, "apply a configuration"},
    ResultCodeInfo{ResultCode::PlatformUnavailable, "platform_unavailable", 503, Unknown, RetryLater},
    ResultCodeInfo{ResultCode::PlatformTimeout, "platform_timeout", 504, Unknown, RetryLater},
    ResultCodeInfo{ResultCode::VersionConflict, "version_conflict", 409, NotRun, "read the object again"},
    ResultCodeInfo{ResultCode::ObjectNotFound, "object_not_found", 404, NotRun, "none"},
    ResultCodeInfo{ResultCode::ObjectMalformed, "object_malformed", 502, NotRun, "correct the object on the platform"},
    ResultCodeInfo{ResultCode::ObjectTooLarge, "object_too_large", 413, NotRun, "shorten the object to one megabyte"},
    ResultCodeInfo{ResultCode::PeerUnavailable, "peer_unavailable", 503, Unknown, RetryLater},
    ResultCodeInfo{ResultCode::PeerMalformed, "peer_malformed", 502, Unknown, "check that all daemons run compatible versions"},
    ResultCodeInfo{ResultCode::OrderStale, "order_stale", 409, NotRun, "none; another controller has taken over"},
    ResultCodeInfo{ResultCode::OrderRefused, "order_refused", 409, NotRun, "see the engine's message"},
    ResultCodeInfo{ResultCode::LeaseLost, "lease_lost", 409, NotRun, "none; another controller holds the lease"},
    ResultCodeInfo{ResultCode::Internal, "internal", 500, Unknown, "report the fault with the request id"},
};

class ResultCategory : public std::error_category
{
public:
    const char *name() const noexcept override
    {
        return "carawaypoint";
    }

    std::string message(int value) const override
    {
        return std::string(resultCodeName(static_cast<ResultCode>(value)));
    }
};

}

std::span<const ResultCodeInfo> resultCodeTable()
{
    return Table;
}

const ResultCodeInfo &resultCodeInfo(ResultCode code)
{
    const auto found = std::find_if(Table.begin(), Table.end(), [code](const ResultCodeInfo &info) { return info.code == code; });
    return found == Table.end() ? Table.back() : *found;
}

std::string_view resultCodeName(ResultCode code)
{
    return resultCodeInfo(code).name;
}

const std::error_category &resultCategory()
{
    static const ResultCategory category;
    return category;
}

std::error_code make_error_code(ResultCode code)
{
    return {static_cast<int>(code), resultCategory()};
}

}
