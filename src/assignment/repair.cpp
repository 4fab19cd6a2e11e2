#include "assignment/repair.h"

#include "assignment/zone_plan.h"

#include <algorithm>
#include <optional>

namespace carawaypoint
{
namespace
{

/// Decides the repairs of one domain in steps. Each step changes the record, so that the next one sees its result.
class RepairPlanner
{
public:
    RepairPlanner(DomainRecord &record, const RepairInput &input)
        : record_(record)
        , input_(input)
        , settings_(*input.settings)
    {
    }

    std::vector<Decision> decideAll()
    {
        confirmControllers();
        syncInventory();
        freeReleased();
        renewFences();
        drainReplicas();
        finishDraining();
        repairReplicas();
        createReplicas();
        dissolveForOthers();
        bindSpares();
        return std::move(decisions_);
    }

    std::vector<Decision> decideIsolated()
    {
        for (const auto &id : replicaIds()) {
            const auto *replica = record_.replica(id);
            const auto missing = firstMissingMember(*replica);
            if (missing && !replica->spare.isEmpty() && !isMissing(replica->spare)) {
                addDecision({.kind = DecisionKind::ReplaceMember,
                             .vm = *missing,
                             .other = replica->spare,
                             .replica = id,
                             .reason = "isolated: member missing, bound spare used"});
            }
        }
        return std::move(decisions_);
    }

private:
    /// Applies @p decision to the record and adds it to the result; false when the record does not allow it.
    bool addDecision(Decision decision)
    {
        if (!applyDecision(record_, decision, settings_)) {
            return false;
        }
        if (decision.kind == DecisionKind::CreateReplica) {
            decision.replica = record_.replicas.back().id;
        }
        decisions_.push_back(std::move(decision));
        return true;
    }

    bool isMissing(const VmId &vm) const
    {
        return carawaypoint::isMissing(vm, *input_.observations, settings_, input_.observedSince, input_.now);
    }

    const VmRecord *findInInventory(const VmId &vm) const
    {
        const auto found = std::find_if(input_.inventory.begin(), input_.inventory.end(), [&](const VmRecord &entry) { return entry.id == vm; });
        return found == input_.inventory.end() ? nullptr : &*found;
    }

    /// Whether the platform no longer lists the VM and it is missing.
    bool isRemovedByPlatform(const VmId &vm) const
    {
        return input_.isInventoryKnown && !findInInventory(vm) && isMissing(vm);
    }

    std::vector<ReplicaId> replicaIds() const
    {
        std::vector<ReplicaId> ids;
        for (const auto &replica : record_.replicas) {
            ids.push_back(replica.id);
        }
        return ids;
    }

    std::optional<VmId> firstMissingMember(const ReplicaEntry &replica) const
    {
        const auto found = std::find_if(replica.members.begin(), replica.members.end(), [this](const VmId &vm) { return isMissing(vm); });
        return found == replica.members.end() ? std::nullopt : std::optional(*found);
    }

    std::uint32_t missingMembers(const ReplicaEntry &replica) const
    {
        const auto liveMembers = std::count_if(replica.members.begin(), replica.members.end(), [this](const VmId &vm) { return !isMissing(vm); });
        return replica.expectedMembers - static_cast<std::uint32_t>(liveMembers);
    }

    void confirmControllers()
    {
        for (const auto &controller : input_.confirmedControllers) {
            addDecision({.kind = DecisionKind::ConfirmController, .controller = controller, .reason = "the former controller has no order in flight"});
        }
    }

    void syncInventory()
    {
        for (const auto &vm : input_.inventory) {
            if (vm.zone == record_.key.zone && vm.domain == record_.key.domain && !record_.vm(vm.id)) {
                addDecision({.kind = DecisionKind::AddVm, .vm = vm.id, .address = vm.address, .pool = vm.pool, .reason = "listed by the platform"});
            }
        }
        const auto vms = record_.vms;
        for (const auto &vm : vms) {
            const auto *listedVm = findInInventory(vm.id);
            if (!vm.isDraining && ((listedVm && listedVm->isLeaving) || input_.drainedByOperator.contains(vm.id))) {
                addDecision({.kind = DecisionKind::MarkVmDraining,
                             .vm = vm.id,
                             .reason = listedVm && listedVm->isLeaving ? "leaving according to the platform's list" : "drained by an operator"});
            }
            if (vm.phase == VmPhase::Free && isRemovedByPlatform(vm.id)) {
                addDecision({.kind = DecisionKind::RemoveVm, .vm = vm.id, .reason = "no longer listed by the platform"});
            }
        }
    }

    void freeReleased()
    {
        const auto vms = record_.vms;
        for (const auto &vm : vms) {
            if (mayFree(record_, vm, *input_.orders, settings_, isRemovedByPlatform(vm.id))) {
                addDecision({.kind = DecisionKind::FreeVm, .vm = vm.id, .replica = vm.replica, .reason = "released, and no order to it is in flight"});
            }
        }
    }

    void renewFences()
    {
        const auto vms = record_.vms;
        for (const auto &vm : vms) {
            const auto seen = input_.observations->find(vm.id);
            if (seen == input_.observations->end() || vm.phase == VmPhase::Free || isMissing(vm.id)) {
                continue;
            }
            const auto fence = seen->second.state.fence;
            const auto *replica = record_.replica(vm.replica);
            if (vm.phase == VmPhase::Releasing && fence > record_.vm(vm.id)->releaseFence) {
                addDecision({.kind = DecisionKind::RenewFence, .vm = vm.id, .fence = fence, .reason = "the engine has a higher fencing number"});
            } else if (vm.phase == VmPhase::Bound && replica->spare != vm.id && fence > replica->fence) {
                addDecision({.kind = DecisionKind::RenewFence,
                             .vm = vm.id,
                             .replica = replica->id,
                             .fence = fence,
                             .reason = "the engine has a higher fencing number"});
            }
        }
    }

    bool isSurplus(const ReplicaId &id) const
    {
        const auto since = input_.surplusSince.find(id);
        return input_.replicasToRemove.contains(id) && since != input_.surplusSince.end() && input_.now - since->second >= settings_.surplusRemovalDelay;
    }

    bool hasDrainingMember(const ReplicaEntry &replica) const
    {
        return std::any_of(replica.members.begin(), replica.members.end(), [this](const VmId &vm) { return record_.vm(vm)->isDraining; });
    }

    void drainReplicas()
    {
        for (const auto &id : replicaIds()) {
            const auto *replica = record_.replica(id);
            std::string reason;
            if (hasDrainingMember(*replica)) {
                reason = "a member leaves";
            } else if (isSurplus(id)) {
                reason = "more replicas than wanted";
            } else if (input_.replicasToUpdate.contains(id)) {
                reason = "version or adapters changed";
            }
            if (!reason.empty() && !replica->isDraining) {
                addDecision({.kind = DecisionKind::DrainReplica, .replica = id, .reason = reason});
            } else if (reason.empty() && replica->isDraining) {
                addDecision({.kind = DecisionKind::ResumeReplica, .replica = id, .reason = "no reason for draining remains"});
            }
        }
    }

    /// Whether no request is running on the replica and no router will send another one.
    bool isDrained(const ReplicaEntry &replica) const
    {
        const auto since = input_.drainingSince.find(replica.id);
        if (!replica.isDraining || since == input_.drainingSince.end() || input_.now - since->second < settings_.drainPropagationDelay) {
            return false;
        }
        if (replica.members.empty() || firstMissingMember(replica)) {
            return true; // the streams of the replica ended with the loss of a member
        }
        const auto seen = input_.observations->find(replica.members.front());
        if (seen == input_.observations->end() || seen->second.observedAt - since->second < settings_.drainPropagationDelay) {
            return false;
        }
        const auto &load = seen->second.state.load;
        return load.running == 0 && load.queued == 0;
    }

    void finishDraining()
    {
        for (const auto &id : replicaIds()) {
            if (!isDrained(*record_.replica(id))) {
                continue;
            }
            if (isSurplus(id)) {
                addDecision({.kind = DecisionKind::DissolveReplica, .replica = id, .reason = "more replicas than wanted, its streams have ended"});
                continue;
            }
            const auto members = record_.replica(id)->members;
            for (const auto &member : members) {
                if (record_.vm(member)->isDraining) {
                    replaceOrRemove(id, member, "member is leaving, streams of the replica have ended");
                }
            }
            if (input_.replicasToUpdate.contains(id)) {
                addDecision({.kind = DecisionKind::UpdateReplica, .replica = id, .reason = "version or adapters changed, streams of the replica have ended"});
            }
        }
    }

    /// Replaces the member, or removes it when no VM can replace it.
    void replaceOrRemove(const ReplicaId &id, const VmId &member, const std::string &reason)
    {
        const auto other = replacementFor(*record_.replica(id));
        if (other) {
            addDecision({.kind = DecisionKind::ReplaceMember, .vm = member, .other = *other, .replica = id, .reason = reason});
        } else {
            addDecision({.kind = DecisionKind::RemoveMember, .vm = member, .replica = id, .reason = reason + ", no VM replaces it"});
        }
    }

    std::vector<VmCandidate> freeVms(const std::string &pool, const ModelId &model) const
    {
        std::vector<VmCandidate> candidates;
        for (const auto &vm : record_.vms) {
            if (vm.phase == VmPhase::Free && vm.pool == pool && !vm.isDraining && !isMissing(vm.id)) {
                const auto seen = input_.observations->find(vm.id);
                candidates.push_back({vm.id, seen != input_.observations->end() && seen->second.hasWeights(model)});
            }
        }
        return candidates;
    }

    std::string poolFor(const ReplicaEntry &replica) const
    {
        const auto *target = settings_.model(replica.model);
        return target ? target->pool : std::string();
    }

    bool isSpareUsable(const ReplicaEntry &replica) const
    {
        return !replica.spare.isEmpty() && !isMissing(replica.spare) && !record_.vm(replica.spare)->isDraining;
    }

    std::optional<VmId> replacementFor(const ReplicaEntry &replica) const
    {
        const auto free = freeVms(poolFor(replica), replica.model);
        const auto chosen = free.empty() ? std::nullopt : std::optional(free[input_.strategy->chooseVm(free)]);
        // A free VM that has the weights saves a load; without such a VM the replica's own spare is preferred.
        if (isSpareUsable(replica) && !(chosen && chosen->hasWeights)) {
            return replica.spare;
        }
        return chosen ? std::optional(chosen->vm) : std::nullopt;
    }

    /// Replicas with missing members in the strategy's order, without those to remove.
    std::vector<RepairCandidate> repairOrder() const
    {
        std::vector<RepairCandidate> order;
        for (const auto &replica : record_.replicas) {
            const auto missing = missingMembers(replica);
            if (missing > 0 && !input_.replicasToRemove.contains(replica.id)) {
                order.push_back({replica.id, missing, missing});
            }
        }
        std::sort(order.begin(), order.end(), input_.strategy->repairsBefore);
        return order;
    }

    void repairReplicas()
    {
        for (const auto &candidate : repairOrder()) {
            repairReplica(candidate.replica);
        }
    }

    void repairReplica(const ReplicaId &id)
    {
        while (const auto missing = firstMissingMember(*record_.replica(id))) {
            const auto other = replacementFor(*record_.replica(id));
            if (other) {
                addDecision({.kind = DecisionKind::ReplaceMember, .vm = *missing, .other = *other, .replica = id, .reason = "member missing"});
                continue;
            }
            if (!isRemovedByPlatform(*missing)) {
                return; // no VM can replace the member, and it may become available again
            }
            addDecision(
                {.kind = DecisionKind::RemoveMember, .vm = *missing, .replica = id, .reason = "member missing and no longer listed, no VM replaces it"});
        }
        while (record_.replica(id)->members.size() < record_.replica(id)->expectedMembers) {
            const auto other = replacementFor(*record_.replica(id));
            if (!other
                || !addDecision({.kind = DecisionKind::AddMember, .other = *other, .replica = id, .reason = "the replica has fewer members than expected"})) {
                return;
            }
        }
    }

    void createReplicas()
    {
        for (const auto &[model, count] : input_.replicasToCreate) {
            const auto *target = settings_.model(model);
            for (std::uint32_t index = 0; target && index < count; ++index) {
                auto free = freeVms(target->pool, model);
                std::vector<VmId> members;
                while (members.size() < target->vmsPerReplica && !free.empty()) {
                    const auto chosen = input_.strategy->chooseVm(free);
                    members.push_back(free[chosen].vm);
                    free.erase(free.begin() + static_cast<std::ptrdiff_t>(chosen));
                }
                if (members.size() < target->vmsPerReplica) {
                    releaseSpares(*target, target->vmsPerReplica - static_cast<std::uint32_t>(members.size()));
                    return;
                }
                addDecision({.kind = DecisionKind::CreateReplica, .model = model, .members = std::move(members), .reason = "fewer replicas than wanted"});
            }
        }
    }

    /// Releases up to @p vmsNeeded spares for a wanted replica that the free VMs do not suffice for. Spares are VMs that no
    /// replica needs as members.
    void releaseSpares(const ModelTarget &target, std::uint32_t vmsNeeded)
    {
        auto releasing = releasingVms(target.pool);
        for (const auto &id : replicaIds()) {
            const auto *replica = record_.replica(id);
            if (releasing < vmsNeeded && poolFor(*replica) == target.pool && isSpareUsable(*replica)) {
                addDecision({.kind = DecisionKind::ReleaseSpare,
                             .vm = replica->spare,
                             .replica = id,
                             .reason = "needed for one more replica of " + target.model.str()});
                ++releasing;
            }
        }
    }

    /// Whether free VMs of the pool are reserved for a replica that is to be created.
    bool isCreationDue(const std::string &pool) const
    {
        return std::any_of(input_.replicasToCreate.begin(), input_.replicasToCreate.end(), [&](const auto &entry) {
            const auto *target = settings_.model(entry.first);
            return target && target->pool == pool && entry.second > 0;
        });
    }

    /// VMs of @p pool that are being released and will be free; more need not be released for the same missing members.
    std::uint32_t releasingVms(const std::string &pool) const
    {
        return static_cast<std::uint32_t>(std::count_if(record_.vms.begin(), record_.vms.end(), [&](const VmEntry &vm) {
            return vm.phase == VmPhase::Releasing && vm.pool == pool && !vm.isDraining && !isMissing(vm.id);
        }));
    }

    /// Makes VMs free for the first replica in the repair order: releases the spare of another replica, or dissolves an
    /// incomplete one.
    void dissolveForOthers()
    {
        const auto order = repairOrder();
        if (order.empty()) {
            return;
        }
        const auto *nearest = record_.replica(order.front().replica);
        const auto pool = poolFor(*nearest);
        const auto missing = order.front().missingMembers;
        if (releasingVms(pool) >= missing || releaseOtherSpare(*nearest, pool) || !input_.strategy->mayDissolveReplicas) {
            return;
        }
        // Of the replicas whose live VMs suffice, the one that is furthest from completion is dissolved.
        for (auto candidate = order.rbegin(); candidate != order.rend() && candidate->replica != nearest->id; ++candidate) {
            const auto *replica = record_.replica(candidate->replica);
            const auto liveMembers = replica->expectedMembers - candidate->missingMembers;
            if (poolFor(*replica) == pool && liveMembers >= missing) {
                const auto reason = "its " + std::to_string(liveMembers) + " VMs complete " + nearest->id.str() + ", which lacks " + std::to_string(missing);
                addDecision({.kind = DecisionKind::DissolveReplica, .replica = candidate->replica, .reason = reason});
                return;
            }
        }
    }

    /// Releases the spare of another replica for @p incomplete. The spare becomes free after its release, as by mayFree().
    bool releaseOtherSpare(const ReplicaEntry &incomplete, const std::string &pool)
    {
        for (const auto &replica : record_.replicas) {
            if (replica.id != incomplete.id && poolFor(replica) == pool && isSpareUsable(replica)) {
                return addDecision(
                    {.kind = DecisionKind::ReleaseSpare, .vm = replica.spare, .replica = replica.id, .reason = "needed by " + incomplete.id.str()});
            }
        }
        return false;
    }

    void bindSpares()
    {
        for (const auto &id : replicaIds()) {
            const auto *replica = record_.replica(id);
            if (!replica->spare.isEmpty() && record_.vm(replica->spare)->isDraining) {
                addDecision({.kind = DecisionKind::ReleaseSpare, .vm = replica->spare, .replica = id, .reason = "the spare is leaving"});
            } else if (!replica->spare.isEmpty() && isMissing(replica->spare)) {
                addDecision({.kind = DecisionKind::ReleaseSpare, .vm = replica->spare, .replica = id, .reason = "the spare is missing"});
            }
            const auto *updated = record_.replica(id);
            const auto free = freeVms(poolFor(*updated), updated->model);
            if (updated->spare.isEmpty() && !free.empty() && !isCreationDue(poolFor(*updated)) && updated->members.size() == updated->expectedMembers
                && !isSurplus(id)) {
                const auto chosen = free[input_.strategy->chooseVm(free)].vm;
                addDecision({.kind = DecisionKind::BindSpare, .other = chosen, .replica = id, .reason = "left over"});
            }
        }
    }

    DomainRecord &record_;
    const RepairInput &input_;
    const AssignmentSettings &settings_;
    std::vector<Decision> decisions_;
};

}

std::vector<Decision> decideRepairs(DomainRecord &record, const RepairInput &input)
{
    return RepairPlanner(record, input).decideAll();
}

std::vector<Decision> decideIsolatedRepairs(DomainRecord &record, const RepairInput &input)
{
    return RepairPlanner(record, input).decideIsolated();
}

}
