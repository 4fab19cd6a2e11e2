#pragma once

#include "core/clock.h"
#include "core/time_units.h"

#include <cstdint>
#include <random>
#include <string>

namespace carawaypoint
{

/// Retry-After times sent to refused callers. Callers with little time left retry earlier.

/// When no replica serves the model: about the time to form one from servers that have the weights.
inline constexpr Duration RetryAfterNoReplica = milliseconds(900);
/// When all replicas are at their load limit: a peak lasts for seconds, and callers that retry within it are refused for good.
inline constexpr Duration RetryAfterFull = milliseconds(2400);
/// When the gateway ends soon: a new connection reaches another one.
inline constexpr Duration RetryAfterDrain = milliseconds(100);
/// When the server of the request was lost: other servers can serve it.
inline constexpr Duration RetryAfterServerLoss = milliseconds(400);

/// The value of a Retry-After field, in seconds: @p time and up to half of it as jitter, so that callers do not retry at the same time.
inline std::string retryAfterText(Duration time, std::mt19937_64 &random)
{
    std::uniform_real_distribution<double> jitter(1.0, 1.5);
    const auto tenths = static_cast<std::int64_t>(inSeconds(time) * jitter(random) * 10);
    return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
}

}
