#include "gateway/fleet_retry_budget.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{

/// Share of the budget that is used, since requests that were counted in the window may have been sent just before it.
constexpr double UsableShare = 0.8;

void removeBefore(std::deque<TimePoint> &times, TimePoint before)
{
    while (!times.empty() && times.front() < before) {
        times.pop_front();
    }
}

}

FleetRetryBudget::FleetRetryBudget(RetryLimits limits)
    : limits_(limits)
{
}

void FleetRetryBudget::setDaemonCount(unsigned count)
{
    daemonCount_ = std::max(1U, count);
}

FleetRetryBudget::Usage &FleetRetryBudget::usage(const ServiceId &service, TimePoint now)
{
    auto &usage = usages_[service];
    removeBefore(usage.requests, now - limits_.window);
    removeBefore(usage.retries, now - limits_.window);
    return usage;
}

void FleetRetryBudget::addRequest(const ServiceId &service, TimePoint now)
{
    usage(service, now).requests.push_back(now);
}

bool FleetRetryBudget::tryTake(const ServiceId &service, TimePoint now)
{
    auto &used = usage(service, now);
    const double allowed = UsableShare * (limits_.share * static_cast<double>(used.requests.size()) + limits_.slack / daemonCount_);
    if (static_cast<double>(used.retries.size()) + 1 > allowed) {
        return false;
    }
    used.retries.push_back(now);
    return true;
}

}
