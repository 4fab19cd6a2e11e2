#pragma once

#include "core/clock.h"

namespace carawaypoint
{

/// After which refused callers are asked to come back. Callers with little time left come back earlier.

/// When no replica of the model serves: about the time to form one of servers that hold the weights.
inline constexpr Duration RetryWhenNoneServes = milliseconds(900);
/// When all places are taken: a peak lasts for seconds, and who comes back into it is refused for good.
inline constexpr Duration RetryWhenFull = milliseconds(2400);
/// When the request met a server that is gone: others serve it.
inline constexpr Duration RetryAfterFault = milliseconds(400);

}
