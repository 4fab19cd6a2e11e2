#include "gateway/returned_callers.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{
/// The shortest earlier try and pause that is recognised.
constexpr Duration ReturnedAfter = milliseconds(150);
}

bool ReturnedCallers::isReturned(std::string_view route, Duration stated, Duration timeout)
{
    auto found = longest_.find(route);
    if (found == longest_.end()) {
        found = longest_.emplace(route, Duration{}).first;
    }
    auto &longest = found->second;
    // No request is kept for longer than the route allows. A caller that states far more must not make all others look as if they
    // came back.
    const auto usable = std::min(stated, timeout);
    longest = std::max(longest, usable);
    return usable + ReturnedAfter < std::min(longest, timeout);
}

}
