#pragma once

#include "core/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace carawaypoint
{

/// Detects requests of callers that retry after a refusal: they state a shorter deadline than other requests of their route, since the
/// earlier attempt has used part of their time.
class RetryDetector
{
public:
    /// @param stated time that the caller allows for the request; @param timeout timeout of the route.
    bool isRetry(std::string_view route, Duration stated, Duration timeout);

private:
    std::map<std::string, Duration, std::less<>> longestStated_; // longest time that callers have stated, by route
};

}
