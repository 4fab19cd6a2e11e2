#pragma once

#include "core/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace carawaypoint
{

/// Recognises callers that were refused before and came back: they state less time than others on their route, since they have
/// spent the rest on the earlier try.
class ReturnedCallers
{
public:
    /// @param stated time that the caller allows; @param timeout longest time that the route keeps a request.
    bool isReturned(std::string_view route, Duration stated, Duration timeout);

private:
    std::map<std::string, Duration, std::less<>> longest_; // time that callers of a route have stated
};

}
