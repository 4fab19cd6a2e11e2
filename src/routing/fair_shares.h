#pragma once

#include <span>
#include <vector>

namespace carawaypoint
{

/// Demand of one customer for a shared capacity.
struct WeightedDemand {
    double weight = 1;
    double demand = 0;
};

/// Divides @p capacity by weighted max-min fairness: no share exceeds its demand, and capacity that one customer does not
/// need goes to the others in proportion to their weights. The shares sum to the smaller of capacity and total demand.
std::vector<double> weightedShares(double capacity, std::span<const WeightedDemand> demands);

}
