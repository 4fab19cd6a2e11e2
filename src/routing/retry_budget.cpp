#include "routing/retry_budget.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{
constexpr double MaxAvailable = 50; // a replica with a full batch that is lost causes about this many retries
}

void RetryBudget::setShare(double retriesPerRequest)
{
    share_ = std::max(0.0, retriesPerRequest);
}

void RetryBudget::addRequest()
{
    available_ = std::min(MaxAvailable, available_ + share_);
}

bool RetryBudget::takeRetry()
{
    if (available_ < 1) {
        return false;
    }
    available_ -= 1;
    return true;
}

}
