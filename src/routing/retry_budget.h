#pragma once

namespace carawaypoint
{

/// Limits retries to a share of the requests, so that retries do not overload replicas that are already failing. A reserve,
/// full at the start, covers the retries of one lost replica; each request refills it by that share.
class RetryBudget
{
public:
    /// Retries in the full reserve; the loss of a replica with a full batch causes about this many.
    static constexpr double MaxReservedRetries = 50;

    void setRetriesPerRequest(double retriesPerRequest);
    /// Adds the share of one request to the reserve.
    void addRequest();
    /// Takes one retry from the reserve; false when less than one is left.
    bool takeRetry();

private:
    double retriesPerRequest_ = 0.1;
    double availableRetries_ = MaxReservedRetries;
};

}
