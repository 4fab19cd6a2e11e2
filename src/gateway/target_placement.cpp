#include "gateway/target_placement.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{

using CandidateList = std::vector<const TargetCandidate *>;

bool isLower(const TargetCandidate *left, const TargetCandidate *right)
{
    return left->score < right->score;
}

/// Score up to which @p requests fill the candidates, which are sorted by their score.
double fillLevel(const CandidateList &candidates, double requests)
{
    double slots = 0;
    double used = 0;
    double level = 0;
    for (const auto *candidate : candidates) {
        if (slots > 0 && level <= candidate->score) {
            break;
        }
        slots += candidate->target->slots;
        used += candidate->target->slots * candidate->score;
        level = (requests + used) / slots;
    }
    return level;
}

/// Draws a candidate with the probability of its share of @p requests.
const TargetCandidate &drawByFillLevel(const TargetQuery &query, CandidateList candidates, double requests, std::mt19937_64 &random)
{
    std::sort(candidates.begin(), candidates.end(), isLower);
    const double level = fillLevel(candidates, requests);
    std::vector<double> shares;
    std::vector<double> connectedShares;
    shares.reserve(candidates.size());
    connectedShares.reserve(candidates.size());
    for (const auto *candidate : candidates) {
        const auto &server = candidate->target->server;
        const bool isConnected = std::find(query.connected.begin(), query.connected.end(), server) != query.connected.end();
        shares.push_back(candidate->target->slots * std::max(0.0, level - candidate->score));
        connectedShares.push_back(isConnected ? shares.back() : 0);
    }
    if (std::any_of(connectedShares.begin(), connectedShares.end(), [](double share) { return share > 0; })) {
        shares = std::move(connectedShares);
    }
    std::discrete_distribution<std::size_t> distribution(shares.begin(), shares.end());
    return *candidates[distribution(random)];
}

}

const TargetCandidate &placeRequest(const TargetQuery &query, std::span<const TargetCandidate *const> candidates, std::mt19937_64 &random)
{
    const double requests = query.staleness.startedRequests;
    if (requests > 1) {
        return drawByFillLevel(query, {candidates.begin(), candidates.end()}, requests, random);
    }
    return **std::min_element(candidates.begin(), candidates.end(), isLower);
}

}
