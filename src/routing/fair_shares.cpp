#include "routing/fair_shares.h"

#include <algorithm>
#include <numeric>

namespace carawaypoint
{

std::vector<double> weightedShares(double capacity, std::span<const ShareClaim> claims)
{
    std::vector<std::size_t> order(claims.size());
    std::iota(order.begin(), order.end(), 0);
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b) { return claims[a].demand * claims[b].weight < claims[b].demand * claims[a].weight; });
    double remainingWeight = std::accumulate(claims.begin(), claims.end(), 0.0, [](double sum, const ShareClaim &claim) { return sum + claim.weight; });
    double remaining = std::max(0.0, capacity);
    std::vector<double> shares(claims.size(), 0);
    for (const std::size_t index : order) {
        const ShareClaim &claim = claims[index];
        if (claim.weight <= 0 || remainingWeight <= 0) {
            continue;
        }
        shares[index] = std::min(claim.demand, remaining * std::min(1.0, claim.weight / remainingWeight));
        remaining -= shares[index];
        remainingWeight -= claim.weight;
    }
    return shares;
}

}
