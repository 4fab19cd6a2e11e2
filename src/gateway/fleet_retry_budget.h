#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <deque>
#include <map>
#include <utility>

namespace carawaypoint
{

struct RetryLimits {
    double share = 0.2; // retries per request
    double slack = 100; // additional retries per window, over all daemons
    Duration window{seconds(10)};
};

/// Limits the retries that all daemons of a fleet send to a service. Each daemon uses its share of the fleet's budget, so that no
/// communication between daemons is needed.
class FleetRetryBudget
{
public:
    explicit FleetRetryBudget(RetryLimits limits = {});

    /// @param count number of daemons that share the slack, including this one.
    void setDaemonCount(unsigned count);
    void addRequest(const ServiceId &service, TimePoint now);
    /// Returns whether one more retry may be sent, and counts it if so.
    bool tryTake(const ServiceId &service, TimePoint now);

private:
    struct Usage {
        std::deque<TimePoint> requests;
        std::deque<TimePoint> retries;
    };
    Usage &usage(const ServiceId &service, TimePoint now);

    RetryLimits limits_;
    unsigned daemonCount_ = 1;
    std::map<ServiceId, Usage> usages_;
};

}
