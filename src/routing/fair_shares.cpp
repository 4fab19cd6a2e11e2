#include "routing/fair_shares.h"

#include <algorithm>
#include <numeric>

namespace carawaypoint
{

std::vector<double> weightedShares(double capacity, std::span<const WeightedDemand> demands)
{
    std::vector<std::size_t> order(demands.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b) { return demands[a].demand * demands[b].weight < demands[b].demand * demands[a].weight; });
    double remainingWeight =
        std::accumulate(demands.begin(), demands.end(), 0.0, [](double sum, const WeightedDemand &current) { return sum + current.weight; });
    double remaining = std::max(0.0, capacity);
    std::vector<double> shares(demands.size(), 0);
    for (const std::size_t index : order) {
        const WeightedDemand &current = demands[index];
        if (current.weight <= 0 || remainingWeight <= 0) {
            continue;
        }
        shares[index] = std::min(current.demand, remaining * std::min(1.0, current.weight / remainingWeight));
        remaining -= shares[index];
        remainingWeight -= current.weight;
    }
    return shares;
}

}
