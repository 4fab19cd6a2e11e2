#include "fleet/capacity_balancer.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace carawaypoint
{

namespace
{

/// A move within one domain, with what it costs.
struct Candidate {
    CapacityMove move;
    double drainedRequests = 0;
    std::map<ModelId, double> givenServers;
};

/// Drains the replicas with the fewest requests until the servers suffice; empty when all together are too few.
std::optional<Candidate> collectServers(const DomainCapacity &domain, unsigned size)
{
    Candidate candidate;
    unsigned servers = domain.freeServers;
    unsigned holders = domain.freeWeightHolders;
    auto replicas = domain.replicas;
    std::stable_sort(replicas.begin(), replicas.end(),
                     [](const MovableReplica &left, const MovableReplica &right) { return left.requests / left.size < right.requests / right.size; });
    for (const auto &replica : replicas) {
        if (servers >= size) {
            break;
        }
        servers += replica.size;
        holders += replica.weightHolders;
        candidate.drainedRequests += replica.requests;
        candidate.givenServers[replica.model] += replica.size;
        candidate.move.drained.push_back(replica.id);
    }
    if (servers < size || candidate.move.drained.empty()) {
        return std::nullopt;
    }
    candidate.move.loadsFromStore = size - std::min(size, holders);
    return candidate;
}

bool isWorthwhile(const Candidate &candidate, const ModelDemand &need, unsigned size, std::span<const ModelDemand> demands)
{
    const double before = need.coverage();
    double lowestAfter = need.coverageAfter(size);
    double lowestDonor = std::numeric_limits<double>::infinity();
    for (const auto &demand : demands) {
        const auto given = candidate.givenServers.find(demand.model);
        if (given == candidate.givenServers.end()) {
            continue;
        }
        // A model must keep at least one replica.
        if (demand.servers <= given->second) {
            return false;
        }
        lowestDonor = std::min(lowestDonor, demand.peakCoverageAfter(-given->second));
    }
    lowestAfter = std::min(lowestAfter, lowestDonor);
    if (candidate.move.loadsFromStore > 0 && (before >= CapacityBalancer::CoverageForLoads || lowestDonor < CapacityBalancer::SufficientCoverage)) {
        return false;
    }
    return lowestAfter > before * CapacityBalancer::MinGain;
}

}

const ModelDemand *CapacityBalancer::findNeed(std::span<const ModelDemand> demands)
{
    const auto lowest =
        std::min_element(demands.begin(), demands.end(), [](const ModelDemand &left, const ModelDemand &right) { return left.coverage() < right.coverage(); });
    return lowest == demands.end() || lowest->coverage() >= SufficientCoverage ? nullptr : &*lowest;
}

std::optional<CapacityMove>
CapacityBalancer::planMove(const ModelDemand &need, unsigned size, std::span<const ModelDemand> demands, std::span<const DomainCapacity> domains)
{
    std::optional<CapacityMove> best;
    std::tuple<unsigned, double> bestCost;
    for (std::size_t index = 0; index < domains.size(); ++index) {
        auto candidate = collectServers(domains[index], size);
        if (!candidate || !isWorthwhile(*candidate, need, size, demands)) {
            continue;
        }
        const std::tuple cost{candidate->move.loadsFromStore, candidate->drainedRequests};
        if (!best || cost < bestCost) {
            best = std::move(candidate->move);
            best->domain = index;
            bestCost = cost;
        }
    }
    return best;
}

}
