#include "assignment/assignment_strategy.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace carawaypoint
{
namespace
{

bool lowerIdFirst(const RepairCandidate &left, const RepairCandidate &right)
{
    return left.replica < right.replica;
}

// The rate of the weight store is limited and only a complete replica serves requests, so the replica that will be complete
// soonest is loaded first: five half-loaded replicas serve no requests.
bool nearestToCompletionFirst(const RepairCandidate &left, const RepairCandidate &right)
{
    return std::tuple(left.missingMembers, left.loads, left.replica) < std::tuple(right.missingMembers, right.loads, right.replica);
}

std::size_t firstVm(std::span<const VmCandidate>)
{
    return 0;
}

std::size_t vmWithWeights(std::span<const VmCandidate> candidates)
{
    const auto found = std::find_if(candidates.begin(), candidates.end(), [](const VmCandidate &candidate) { return candidate.hasWeights; });
    return found == candidates.end() ? 0 : static_cast<std::size_t>(found - candidates.begin());
}

std::size_t firstDomain(std::span<const DomainCandidate>, std::uint32_t)
{
    return 0;
}

// Prefers the domain with the fewest replicas of the model, so that the loss of one domain affects few of them, and then the
// domain in which the fewest VMs remain unused.
std::size_t spreadDomain(std::span<const DomainCandidate> choices, std::uint32_t vmsPerReplica)
{
    const auto cost = [vmsPerReplica](const DomainCandidate &choice) {
        return std::tuple(choice.replicasOfModel, choice.freeVms % vmsPerReplica, choice.freeVms);
    };
    const auto best = std::min_element(choices.begin(), choices.end(), [&cost](const auto &left, const auto &right) { return cost(left) < cost(right); });
    return static_cast<std::size_t>(best - choices.begin());
}

constexpr std::array<AssignmentStrategy, 2> Strategies{{
    {"first_fit", lowerIdFirst, firstVm, firstDomain, false, false},
    {"nearest_whole", nearestToCompletionFirst, vmWithWeights, spreadDomain, true, true},
}};

}

std::span<const AssignmentStrategy> assignmentStrategies()
{
    return Strategies;
}

const AssignmentStrategy *findAssignmentStrategy(std::string_view name)
{
    const auto *const found = std::find_if(Strategies.begin(), Strategies.end(), [name](const AssignmentStrategy &strategy) { return strategy.name == name; });
    return found == Strategies.end() ? nullptr : found;
}

}
