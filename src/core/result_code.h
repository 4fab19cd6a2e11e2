#pragma once

#include "core/run_state.h"

#include <cstdint>
#include <span>
#include <string_view>
#include <system_error>

namespace carawaypoint
{

/// Numbered results used on the wire, in logs and in exit messages. The numbers are stable; docs/result_codes.md lists them.
/// 1xx: success, 2xx: the caller's input, 3xx: admission, 4xx: routing and backend servers, 5xx: non-idempotent calls,
/// 6xx: configuration, 7xx: platform and peers, 8xx: assignment and orders.
enum class ResultCode : std::uint16_t {
    Ok = 100,
    OkReplayed = 101,

    MalformedRequest = 200,
    RequestTooLarge = 201,
    RequestTooSlow = 202,
    UnknownModel = 203,
    UnknownCustomer = 204,
    UnknownService = 205,
    UnknownPath = 206,
    UnknownAdapter = 207,
    CallerClosed = 208,
    HeaderTooLarge = 209,
    StreamCut = 210,

    QueueFull = 300,
    DeadlineWouldPass = 301,
    DeadlinePassed = 302,
    CustomerOverShare = 303,
    Draining = 304,
    NotReady = 305,
    RequestMemoryFull = 306,

    NoReplicaAvailable = 400,
    ReplicaLost = 401,
    AnswerTruncated = 402,
    BackendTimeout = 403,
    BackendRefused = 404,
    BackendBadAnswer = 405,
    RequestQuarantined = 406,
    RetryBudgetExhausted = 407,
    NoServerAvailable = 408,
    PromptQuarantined = 409,

    KeyRequired = 500,
    KeyInvalid = 501,
    KeyExpired = 502,
    KeyInUse = 503,
    OutcomeUnknown = 504,
    ClaimUnavailable = 505,
    KeyReusedForOtherCall = 506,

    ConfigInvalid = 600,
    ConfigConflict = 601,
    ConfigTooLarge = 602,
    ConfigNotInForce = 603,
    ConfigMissing = 604,

    PlatformUnavailable = 700,
    PlatformTimeout = 701,
    VersionConflict = 702,
    ObjectNotFound = 703,
    ObjectMalformed = 704,
    ObjectTooLarge = 705,
    PeerUnavailable = 706,
    PeerMalformed = 707,

    OrderStale = 800,
    OrderRefused = 801,
    LeaseLost = 802,

    Internal = 900,
};

/// Properties of a result code.
struct ResultCodeInfo {
    ResultCode code;
    std::string_view name;
    unsigned httpStatus;
    RunState runState; // default, when nothing more specific is known about the request
    std::string_view advice; // what the caller should do
};

/// All result codes, in ascending order.
std::span<const ResultCodeInfo> resultCodeTable();

/// The properties of @p code; those of ResultCode::Internal for an unknown number.
const ResultCodeInfo &resultCodeInfo(ResultCode code);

/// The snake_case name of @p code as used on the wire.
std::string_view resultCodeName(ResultCode code);

const std::error_category &resultCategory();

std::error_code make_error_code(ResultCode code);

}

template<>
struct std::is_error_code_enum<carawaypoint::ResultCode> : std::true_type {
};
