#include "gateway/retry_detector.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{
/// Minimum time used by an earlier attempt and the delay after it for the request to count as a retry.
constexpr Duration MinRetryDelay = milliseconds(150);
}

bool RetryDetector::isRetry(std::string_view route, Duration stated, Duration timeout)
{
    auto found = longestStated_.find(route);
    if (found == longestStated_.end()) {
        found = longestStated_.emplace(route, Duration{}).first;
    }
    auto &longest = found->second;
    // A caller that states far more time than the route allows must not make the requests of all others look like retries.
    const auto usable = std::min(stated, timeout);
    longest = std::max(longest, usable);
    return usable + MinRetryDelay < std::min(longest, timeout);
}

}
