#pragma once

#include "core/clock.h"

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

}
