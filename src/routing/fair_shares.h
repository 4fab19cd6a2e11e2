#pragma once

#include <span>
#include <vector>

namespace carawaypoint
{

/// One customer's claim on a capacity.
struct ShareClaim {
    double weight = 1;
    double demand = 0;
};

/// Divides @p capacity by weighted max-min fairness: no claim gets more than its demand, and what one leaves goes to
/// the others in proportion to their weights. The shares sum to the smaller of capacity and total demand.
std::vector<double> weightedShares(double capacity, std::span<const ShareClaim> claims);

}
