#include "assignment/repair.h"

#include "assignment/zone_plan.h"

#include <algorithm>
#include <optional>

namespace carawaypoint
{
namespace
{

/// Decides the repairs of one domain step by step on the record, so that each step sees the result of those before.
class RepairPlanner
{
public:
    RepairPlanner(DomainRecord &record, const RepairView &view)
        : record_(record)
        , view_(view)
        , settings_(*view.settings)
    {
    }

    std::vector<Decision> decide()
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
                add({.kind = DecisionKind::ReplaceMember,
                     .vm = *missing,
                     .other = replica->spare,
                     .replica = id,
                     .reason = "isolated: member missing, bound spare used"});
            }
        }
        return std::move(decisions_);
    }

private:
    bool add(Decision decision)
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
        return carawaypoint::isMissing(vm, *view_.observations, settings_, view_.observedSince, view_.now);
    }

    const VmRecord *listed(const VmId &vm) const
    {
        const auto found = std::find_if(view_.inventory.begin(), view_.inventory.end(), [&](const VmRecord &entry) { return entry.id == vm; });
        return found == view_.inventory.end() ? nullptr : &*found;
    }

    bool isGone(const VmId &vm) const
    {
        return view_.isInventoryKnown && !listed(vm) && isMissing(vm);
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
        const auto live = std::count_if(replica.members.begin(), replica.members.end(), [this](const VmId &vm) { return !isMissing(vm); });
        return replica.expectedMembers - static_cast<std::uint32_t>(live);
    }

    void confirmControllers()
    {
        for (const auto &controller : view_.confirmed) {
            add({.kind = DecisionKind::ConfirmController, .controller = controller, .reason = "no order of it is in flight"});
        }
    }

    void syncInventory()
    {
        for (const auto &vm : view_.inventory) {
            if (vm.zone == record_.key.zone && vm.domain == record_.key.domain && !record_.vm(vm.id)) {
                add({.kind = DecisionKind::AddVm, .vm = vm.id, .address = vm.address, .pool = vm.pool, .reason = "listed by the platform"});
            }
        }
        const auto vms = record_.vms;
        for (const auto &vm : vms) {
            const auto *entry = listed(vm.id);
            if (!vm.isDraining && ((entry && entry->isLeaving) || view_.drainedByOperator.contains(vm.id))) {
                add({.kind = DecisionKind::MarkVmDraining,
                     .vm = vm.id,
                     .reason = entry && entry->isLeaving ? "leaving by the platform's list" : "drained by an operator"});
            }
            if (vm.phase == VmPhase::Free && isGone(vm.id)) {
                add({.kind = DecisionKind::RemoveVm, .vm = vm.id, .reason = "no longer listed by the platform"});
            }
        }
    }

    void freeReleased()
    {
        const auto vms = record_.vms;
        for (const auto &vm : vms) {
            if (mayFree(record_, vm, *view_.orders, settings_, isGone(vm.id))) {
                add({.kind = DecisionKind::FreeVm, .vm = vm.id, .replica = vm.replica, .reason = "released, and no order to it is in flight"});
            }
        }
    }

    void renewFences()
    {
        const auto vms = record_.vms;
        for (const auto &vm : vms) {
            const auto seen = view_.observations->find(vm.id);
            if (seen == view_.observations->end() || vm.phase == VmPhase::Free || isMissing(vm.id)) {
                continue;
            }
            const auto fence = seen->second.state.fence;
            const auto *replica = record_.replica(vm.replica);
            if (vm.phase == VmPhase::Releasing && fence > record_.vm(vm.id)->releaseFence) {
                add({.kind = DecisionKind::RenewFence, .vm = vm.id, .fence = fence, .reason = "the engine has a higher fencing number"});
            } else if (vm.phase == VmPhase::Bound && replica->spare != vm.id && fence > replica->fence) {
                add({.kind = DecisionKind::RenewFence,
                     .vm = vm.id,
                     .replica = replica->id,
                     .fence = fence,
                     .reason = "the engine has a higher fencing number"});
            }
        }
    }

    bool isSurplus(const ReplicaId &id) const
    {
        const auto since = view_.surplusSince.find(id);
        return view_.remove.contains(id) && since != view_.surplusSince.end() && view_.now - since->second >= settings_.surplusHold;
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
            } else if (view_.update.contains(id)) {
                reason = "version or adapters changed";
            }
            if (!reason.empty() && !replica->isDraining) {
                add({.kind = DecisionKind::DrainReplica, .replica = id, .reason = reason});
            } else if (reason.empty() && replica->isDraining) {
                add({.kind = DecisionKind::ResumeReplica, .replica = id, .reason = "no reason to drain is left"});
            }
        }
    }

    /// Whether no request runs on the replica and no router will send one.
    bool isDrained(const ReplicaEntry &replica) const
    {
        const auto since = view_.drainingSince.find(replica.id);
        if (!replica.isDraining || since == view_.drainingSince.end() || view_.now - since->second < settings_.drainSettle) {
            return false;
        }
        if (replica.members.empty() || firstMissingMember(replica)) {
            return true; // the loss of a member has ended its streams
        }
        const auto seen = view_.observations->find(replica.members.front());
        if (seen == view_.observations->end() || seen->second.seenAt - since->second < settings_.drainSettle) {
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
                add({.kind = DecisionKind::DissolveReplica, .replica = id, .reason = "more replicas than wanted, streams ended"});
                continue;
            }
            const auto members = record_.replica(id)->members;
            for (const auto &member : members) {
                if (record_.vm(member)->isDraining) {
                    replaceOrRemove(id, member, "member leaves, streams ended");
                }
            }
            if (view_.update.contains(id)) {
                add({.kind = DecisionKind::UpdateReplica, .replica = id, .reason = "version or adapters changed, streams ended"});
            }
        }
    }

    void replaceOrRemove(const ReplicaId &id, const VmId &member, const std::string &reason)
    {
        const auto other = replacementFor(*record_.replica(id));
        if (other) {
            add({.kind = DecisionKind::ReplaceMember, .vm = member, .other = *other, .replica = id, .reason = reason});
        } else {
            add({.kind = DecisionKind::RemoveMember, .vm = member, .replica = id, .reason = reason + ", no VM replaces it"});
        }
    }

    std::vector<VmCandidate> freeVms(const std::string &pool, const ModelId &model) const
    {
        std::vector<VmCandidate> candidates;
        for (const auto &vm : record_.vms) {
            if (vm.phase == VmPhase::Free && vm.pool == pool && !vm.isDraining && !isMissing(vm.id)) {
                const auto seen = view_.observations->find(vm.id);
                candidates.push_back({vm.id, seen != view_.observations->end() && seen->second.hasWeights(model)});
            }
        }
        return candidates;
    }

    std::string poolOf(const ReplicaEntry &replica) const
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
        const auto free = freeVms(poolOf(replica), replica.model);
        const auto chosen = free.empty() ? std::nullopt : std::optional(free[view_.strategy->chooseVm(free)]);
        // A free VM that has the weights spares a load; otherwise the replica's own spare comes first.
        if (isSpareUsable(replica) && !(chosen && chosen->hasWeights)) {
            return replica.spare;
        }
        return chosen ? std::optional(chosen->vm) : std::nullopt;
    }

    std::vector<RepairCandidate> repairOrder() const
    {
        std::vector<RepairCandidate> order;
        for (const auto &replica : record_.replicas) {
            const auto missing = missingMembers(replica);
            if (missing > 0 && !view_.remove.contains(replica.id)) {
                order.push_back({replica.id, missing, missing});
            }
        }
        std::sort(order.begin(), order.end(), view_.strategy->repairsBefore);
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
                add({.kind = DecisionKind::ReplaceMember, .vm = *missing, .other = *other, .replica = id, .reason = "member missing"});
                continue;
            }
            if (!isGone(*missing)) {
                return; // it may come back, and nothing can take its place
            }
            add({.kind = DecisionKind::RemoveMember, .vm = *missing, .replica = id, .reason = "member gone, no VM replaces it"});
        }
        while (record_.replica(id)->members.size() < record_.replica(id)->expectedMembers) {
            const auto other = replacementFor(*record_.replica(id));
            if (!other || !add({.kind = DecisionKind::AddMember, .other = *other, .replica = id, .reason = "place open"})) {
                return;
            }
        }
    }

    void createReplicas()
    {
        for (const auto &[model, count] : view_.create) {
            const auto *target = settings_.model(model);
            for (std::uint32_t index = 0; target && index < count; ++index) {
                auto free = freeVms(target->pool, model);
                std::vector<VmId> members;
                while (members.size() < target->vmsPerReplica && !free.empty()) {
                    const auto chosen = view_.strategy->chooseVm(free);
                    members.push_back(free[chosen].vm);
                    free.erase(free.begin() + static_cast<std::ptrdiff_t>(chosen));
                }
                if (members.size() < target->vmsPerReplica) {
                    releaseSpares(*target, target->vmsPerReplica - static_cast<std::uint32_t>(members.size()));
                    return;
                }
                add({.kind = DecisionKind::CreateReplica, .model = model, .members = std::move(members), .reason = "fewer replicas than wanted"});
            }
        }
    }

    /// Spares are left-over VMs: when they are enough for one more replica that is wanted, they are none any more.
    void releaseSpares(const ModelTarget &target, std::uint32_t lacking)
    {
        auto releasing = releasingVms(target.pool);
        for (const auto &id : replicaIds()) {
            const auto *replica = record_.replica(id);
            if (releasing < lacking && poolOf(*replica) == target.pool && isSpareUsable(*replica)) {
                add({.kind = DecisionKind::ReleaseSpare,
                     .vm = replica->spare,
                     .replica = id,
                     .reason = "needed for one more replica of " + target.model.str()});
                ++releasing;
            }
        }
    }

    /// Whether free VMs of the pool are kept for a replica that is to be created.
    bool isCreationDue(const std::string &pool) const
    {
        return std::any_of(view_.create.begin(), view_.create.end(), [&](const auto &entry) {
            const auto *target = settings_.model(entry.first);
            return target && target->pool == pool && entry.second > 0;
        });
    }

    /// VMs of @p pool that are on their way to be free: more need not be released for the same gap.
    std::uint32_t releasingVms(const std::string &pool) const
    {
        return static_cast<std::uint32_t>(std::count_if(record_.vms.begin(), record_.vms.end(), [&](const VmEntry &vm) {
            return vm.phase == VmPhase::Releasing && vm.pool == pool && !vm.isDraining && !isMissing(vm.id);
        }));
    }

    void dissolveForOthers()
    {
        const auto order = repairOrder();
        if (order.empty()) {
            return;
        }
        const auto *nearest = record_.replica(order.front().replica);
        const auto pool = poolOf(*nearest);
        const auto lacking = order.front().missingMembers;
        if (releasingVms(pool) >= lacking || releaseOtherSpare(*nearest, pool) || !view_.strategy->dissolves) {
            return;
        }
        // The furthest from completion gives its VMs when they complete the nearest.
        for (auto candidate = order.rbegin(); candidate != order.rend() && candidate->replica != nearest->id; ++candidate) {
            const auto *replica = record_.replica(candidate->replica);
            const auto live = replica->expectedMembers - candidate->missingMembers;
            if (poolOf(*replica) == pool && live >= lacking) {
                const auto reason = "its " + std::to_string(live) + " VMs complete " + nearest->id.str() + ", which lacks " + std::to_string(lacking);
                add({.kind = DecisionKind::DissolveReplica, .replica = candidate->replica, .reason = reason});
                return;
            }
        }
    }

    /// Gives the spare of another replica to the one that lacks a member. It becomes free by the rules of release.
    bool releaseOtherSpare(const ReplicaEntry &lacking, const std::string &pool)
    {
        for (const auto &replica : record_.replicas) {
            if (replica.id != lacking.id && poolOf(replica) == pool && isSpareUsable(replica)) {
                return add({.kind = DecisionKind::ReleaseSpare, .vm = replica.spare, .replica = replica.id, .reason = "needed by " + lacking.id.str()});
            }
        }
        return false;
    }

    void bindSpares()
    {
        for (const auto &id : replicaIds()) {
            const auto *replica = record_.replica(id);
            if (!replica->spare.isEmpty() && record_.vm(replica->spare)->isDraining) {
                add({.kind = DecisionKind::ReleaseSpare, .vm = replica->spare, .replica = id, .reason = "the spare leaves"});
            } else if (!replica->spare.isEmpty() && isMissing(replica->spare)) {
                add({.kind = DecisionKind::ReleaseSpare, .vm = replica->spare, .replica = id, .reason = "the spare is missing"});
            }
            const auto *present = record_.replica(id);
            const auto free = freeVms(poolOf(*present), present->model);
            if (present->spare.isEmpty() && !free.empty() && !isCreationDue(poolOf(*present)) && present->members.size() == present->expectedMembers
                && !isSurplus(id)) {
                const auto chosen = free[view_.strategy->chooseVm(free)].vm;
                add({.kind = DecisionKind::BindSpare, .other = chosen, .replica = id, .reason = "left over"});
            }
        }
    }

    DomainRecord &record_;
    const RepairView &view_;
    const AssignmentSettings &settings_;
    std::vector<Decision> decisions_;
};

}

std::vector<Decision> decideRepairs(DomainRecord &record, const RepairView &view)
{
    return RepairPlanner(record, view).decide();
}

std::vector<Decision> decideIsolatedRepairs(DomainRecord &record, const RepairView &view)
{
    return RepairPlanner(record, view).decideIsolated();
}

}
