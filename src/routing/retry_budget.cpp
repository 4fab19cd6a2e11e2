#include "routing/retry_budget.h"

#include <algorithm>

namespace carawaypoint
{

void RetryBudget::setRetriesPerRequest(double retriesPerRequest)
{
    retriesPerRequest_ = std::max(0.0, retriesPerRequest);
}

void RetryBudget::addRequest()
{
    availableRetries_ = std::min(MaxReservedRetries, availableRetries_ + retriesPerRequest_);
}

bool RetryBudget::takeRetry()
{
    if (availableRetries_ < 1) {
        return false;
    }
    availableRetries_ -= 1;
    return true;
}

}
