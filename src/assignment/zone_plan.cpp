#include "assignment/zone_plan.h"

#include "assignment/order_rules.h"

#include <algorithm>
#include <tuple>

namespace carawaypoint
{
namespace
{

struct ReplicaRef {
    FabricDomainId domain;
    const ReplicaSummary *replica = nullptr;
};

std::uint32_t missingMembers(const ReplicaSummary &replica)
{
    return replica.expectedMembers - std::min(replica.expectedMembers, replica.liveMembers);
}

ReplicaSummary summarizeReplica(const DomainRecord &record,
                                const ReplicaEntry &replica,
                                const VmObservations &observations,
                                const AssignmentSettings &settings,
                                TimePoint observedSince,
                                TimePoint now)
{
    ReplicaSummary summary{replica.id, replica.model, replica.expectedMembers, 0, {}, {}, false, false, false};
    std::uint32_t loaded = 0;
    for (const auto &member : replica.members) {
        if (isMissing(member, observations, settings, observedSince, now)) {
            continue;
        }
        ++summary.liveMembers;
        const auto seen = observations.find(member);
        if (seen == observations.end()) {
            continue;
        }
        const auto &state = seen->second.state;
        const bool isMatching = matchesRecord(record, *record.vm(member), state);
        if (isMatching && state.isLoaded) {
            ++loaded;
        } else if (isMatching && !seen->second.hasWeights(replica.model)) {
            summary.loadingMembers.insert(member);
        } else if (!isMatching && !seen->second.hasWeights(replica.model)) {
            summary.membersToLoad.insert(member);
        }
    }
    summary.isComplete = loaded == replica.expectedMembers;
    const auto *target = settings.model(replica.model);
    summary.isOutdated = target && (target->version != replica.version || target->adapters != replica.adapters);
    return summary;
}

std::uint32_t freeVmsOf(const DomainSummary &domain, const std::string &pool)
{
    const auto found = domain.freeVms.find(pool);
    return found == domain.freeVms.end() ? 0 : found->second;
}

void planCreations(std::vector<DomainSummary> &domains, const ModelTarget &target, std::uint32_t count, const AssignmentStrategy &strategy, ZonePlan &plan)
{
    for (; count > 0; --count) {
        std::vector<DomainCandidate> choices;
        for (const auto &domain : domains) {
            const auto free = freeVmsOf(domain, target.pool);
            if (free < target.vmsPerReplica) {
                continue;
            }
            const auto replicasOfModel =
                std::count_if(domain.replicas.begin(), domain.replicas.end(), [&](const auto &replica) { return replica.model == target.model; });
            const auto planned = plan.replicasToCreate[domain.domain].find(target.model);
            const auto added = planned == plan.replicasToCreate[domain.domain].end() ? 0 : planned->second;
            choices.push_back({domain.domain, free, static_cast<std::uint32_t>(replicasOfModel) + added});
        }
        if (choices.empty()) {
            return;
        }
        const auto chosen = choices[strategy.chooseDomain(choices, target.vmsPerReplica)].domain;
        ++plan.replicasToCreate[chosen][target.model];
        const auto domain = std::find_if(domains.begin(), domains.end(), [&](const auto &summary) { return summary.domain == chosen; });
        domain->freeVms[target.pool] -= target.vmsPerReplica;
    }
}

void planRemovals(std::vector<ReplicaRef> replicas, std::size_t count, ZonePlan &plan)
{
    std::sort(replicas.begin(), replicas.end(), [](const ReplicaRef &left, const ReplicaRef &right) {
        const auto rank = [](const ReplicaRef &ref) {
            return std::tuple(ref.replica->isCompletable, ref.replica->isComplete, ref.replica->liveMembers);
        };
        return rank(left) != rank(right) ? rank(left) < rank(right) : right.replica->id < left.replica->id;
    });
    for (std::size_t index = 0; index < std::min(count, replicas.size()); ++index) {
        plan.replicasToRemove[replicas[index].domain].insert(replicas[index].replica->id);
    }
}

void planModel(std::vector<DomainSummary> &domains, const ModelTarget &target, const AssignmentStrategy &strategy, ZonePlan &plan)
{
    std::vector<ReplicaRef> all;
    for (const auto &domain : domains) {
        for (const auto &replica : domain.replicas) {
            if (replica.model == target.model) {
                all.push_back({domain.domain, &replica});
            }
        }
    }
    const auto completable = static_cast<std::uint32_t>(std::count_if(all.begin(), all.end(), [](const auto &ref) { return ref.replica->isCompletable; }));
    if (completable >= target.replicas) {
        planRemovals(all, all.size() - target.replicas, plan);
    }
    const auto outdated = std::find_if(all.begin(), all.end(), [](const auto &ref) { return ref.replica->isOutdated; });
    const auto isReady = [&](const ReplicaRef &ref) {
        return ref.replica == outdated->replica || !ref.replica->isCompletable || ref.replica->isComplete;
    };
    if (outdated != all.end() && std::all_of(all.begin(), all.end(), isReady)) {
        plan.replicasToUpdate[outdated->domain].insert(outdated->replica->id);
    }
    if (completable < target.replicas) {
        planCreations(domains, target, target.replicas - completable, strategy, plan);
    }
}

std::set<VmId> planLoads(std::span<const DomainSummary> domains, const AssignmentSettings &settings, const AssignmentStrategy &strategy)
{
    std::vector<std::pair<RepairCandidate, const ReplicaSummary *>> waiting;
    std::size_t loadsInProgress = 0;
    for (const auto &domain : domains) {
        for (const auto &replica : domain.replicas) {
            loadsInProgress += replica.loadingMembers.size();
            // Loads for a replica that cannot be completed would only delay the others.
            if (!replica.membersToLoad.empty() && (replica.isCompletable || !strategy.limitsConcurrentLoads)) {
                const auto loads = static_cast<std::uint32_t>(replica.loadingMembers.size() + replica.membersToLoad.size());
                waiting.push_back({{replica.id, missingMembers(replica), loads}, &replica});
            }
        }
    }
    std::sort(waiting.begin(), waiting.end(), [&](const auto &left, const auto &right) { return strategy.repairsBefore(left.first, right.first); });
    std::set<VmId> admitted;
    for (const auto &[candidate, replica] : waiting) {
        for (const auto &vm : replica->membersToLoad) {
            if (strategy.limitsConcurrentLoads && loadsInProgress >= settings.maxConcurrentLoads) {
                return admitted;
            }
            admitted.insert(vm);
            ++loadsInProgress;
        }
    }
    return admitted;
}

}

bool isMissing(const VmId &vm, const VmObservations &observations, const AssignmentSettings &settings, TimePoint observedSince, TimePoint now)
{
    const auto found = observations.find(vm);
    const auto lastSeenAt = found == observations.end() ? observedSince : std::max(found->second.observedAt, observedSince);
    return now - lastSeenAt >= settings.missingTimeout;
}

DomainSummary summarizeDomain(const DomainRecord &record,
                              std::span<const VmRecord> inventory,
                              const VmObservations &observations,
                              const AssignmentSettings &settings,
                              TimePoint observedSince,
                              TimePoint now)
{
    DomainSummary summary;
    summary.domain = record.key.domain;
    const auto missing = [&](const VmId &vm) {
        return isMissing(vm, observations, settings, observedSince, now);
    };
    for (const auto &vm : record.vms) {
        const auto *replica = record.replica(vm.replica);
        const bool isSpare = vm.phase == VmPhase::Bound && replica->spare == vm.id;
        // A releasing VM becomes free soon, unless its release waits for the confirmation of a former controller.
        const bool isFreeSoon = vm.phase == VmPhase::Releasing && (record.unconfirmed.empty() || settings.checksFencing(vm.pool));
        if ((vm.phase == VmPhase::Free || isSpare || isFreeSoon) && !vm.isDraining && !missing(vm.id)) {
            ++summary.freeVms[vm.pool];
        }
    }
    for (const auto &vm : inventory) {
        if (vm.domain == record.key.domain && !vm.isLeaving && !record.vm(vm.id) && !missing(vm.id)) {
            ++summary.freeVms[vm.pool];
        }
    }
    for (const auto &replica : record.replicas) {
        auto entry = summarizeReplica(record, replica, observations, settings, observedSince, now);
        const auto missingCount = missingMembers(entry);
        const auto *target = settings.model(replica.model);
        auto &free = summary.freeVms[target ? target->pool : std::string()];
        entry.isCompletable = missingCount <= free;
        free -= entry.isCompletable ? missingCount : 0;
        summary.replicas.push_back(std::move(entry));
    }
    return summary;
}

ZonePlan planZone(std::span<const DomainSummary> domains, const AssignmentSettings &settings, const AssignmentStrategy &strategy)
{
    ZonePlan plan;
    std::vector<DomainSummary> plannedDomains(domains.begin(), domains.end());
    std::sort(plannedDomains.begin(), plannedDomains.end(), [](const auto &left, const auto &right) { return left.domain < right.domain; });
    for (const auto &target : settings.models) {
        planModel(plannedDomains, target, strategy, plan);
    }
    for (const auto &domain : plannedDomains) {
        for (const auto &replica : domain.replicas) {
            if (!settings.model(replica.model)) {
                plan.replicasToRemove[domain.domain].insert(replica.id);
            }
        }
    }
    plan.admittedLoads = planLoads(domains, settings, strategy);
    return plan;
}

}
