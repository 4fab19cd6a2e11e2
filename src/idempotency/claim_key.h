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
struct ClaimKeyRules {
    Duration retention = hours(24); // claims are kept so long
    Duration futureTolerance = minutes(10); // of callers' clocks
};

struct ClaimKeyCheck {
    ResultCode code = ResultCode::Ok;
    RunState state = RunState::NotRun; // what may be said about the call when code is not Ok
    std::string key; // canonical, in lower case
    WallTime createdAt{}; // from the key
};

/// Checks that @p key is a UUID version 7 (RFC 9562) of an acceptable age. An older key may have had a claim that was
/// deleted since, so its run state is unknown.
ClaimKeyCheck checkClaimKey(std::string_view key, WallTime now, const ClaimKeyRules &rules);

}
