#pragma once

#include "core/clock.h"
#include "core/result_code.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace carawaypoint
{

/// Time since the Unix epoch. Keys carry the caller's clock, so they are compared with wall time.
using WallTime = std::chrono::milliseconds;

/// Limits on the age of idempotency keys.
struct ClaimKeyLimits {
    Duration retention = hours(24); // of claims; an older key is refused
    Duration futureTolerance = minutes(10); // by which a caller's clock may be ahead
};

struct ClaimKeyCheck {
    ResultCode code = ResultCode::Ok;
    RunState state = RunState::NotRun; // what is known about the call when code is not Ok
    std::string key; // canonical, in lower case
    WallTime createdAt{}; // from the key
};

/// Checks that @p key is a UUID version 7 (RFC 9562) of an acceptable age. The claim of an older key may have been deleted, so
/// the run state of its call is unknown.
ClaimKeyCheck checkClaimKey(std::string_view key, WallTime now, const ClaimKeyLimits &limits);

}
