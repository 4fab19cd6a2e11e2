#include "routing/retry_budget.h"

#include <algorithm>

namespace carawaypoint
{

void RetryBudget::setShare(double retriesPerRequest)
{
    share_ = std::max(0.0, retriesPerRequest);
}

void RetryBudget::addRequest()
{
    available_ = std::min(Reserve, available_ + share_);
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
