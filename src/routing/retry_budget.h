#pragma once

namespace carawaypoint
{

/// Bounds retries to a share of the requests, so that a failing fleet does not get more load from retries. A reserve, full at
/// the start, covers the retries of one lost replica; it fills up again with that share.
class RetryBudget
{
public:
    /// Retries in the full reserve: a replica with a full batch that is lost causes about this many.
    static constexpr double Reserve = 50;

    void setShare(double retriesPerRequest);
    void addRequest();
    /// Whether a retry may be made; takes it out of the budget.
    bool takeRetry();

private:
    double share_ = 0.1;
    double available_ = Reserve;
};

}
