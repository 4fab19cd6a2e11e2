#pragma once

namespace carawaypoint
{

/// Bounds retries to a share of the requests, so that a failing fleet does not get more load from retries.
class RetryBudget
{
public:
    void setShare(double retriesPerRequest);
    void addRequest();
    /// Whether a retry may be made; takes it out of the budget.
    bool takeRetry();

private:
    double share_ = 0.1;
    double available_ = 3; // lets a daemon with little traffic retry at all
};

}
