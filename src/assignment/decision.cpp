#include "assignment/repair.h"

#include <algorithm>
#include <array>

namespace carawaypoint
{
namespace
{

constexpr std::string_view KindNames[] = {
    "add_vm",     "remove_vm",      "mark_vm_draining", "create_replica", "drain_replica", "resume_replica", "replace_member",     "remove_member",
    "add_member", "update_replica", "dissolve_replica", "bind_spare",     "release_spare", "free_vm",        "confirm_controller", "renew_fence",
};

FencingNumber nextFence(DomainRecord &record)
{
    return {record.epoch, ++record.lastIncarnation};
}

bool isFree(const DomainRecord &record, const VmId &id)
{
    const auto *vm = record.vm(id);
    return vm && vm->phase == VmPhase::Free;
}

void bindVm(DomainRecord &record, const VmId &id, const ReplicaId &replica)
{
    auto *vm = record.vm(id);
    vm->phase = VmPhase::Bound;
    vm->replica = replica;
    vm->releaseFence = {};
}

void releaseVm(DomainRecord &record, const VmId &id)
{
    auto *vm = record.vm(id);
    vm->phase = VmPhase::Releasing;
    vm->releaseFence = nextFence(record);
}

bool addVm(DomainRecord &record, const Decision &decision, const AssignmentSettings &)
{
    if (record.vm(decision.vm)) {
        return false;
    }
    record.vms.push_back({decision.vm, decision.address, decision.pool, VmPhase::Free, {}, {}, false});
    return true;
}

bool removeVm(DomainRecord &record, const Decision &decision, const AssignmentSettings &)
{
    return isFree(record, decision.vm) && std::erase_if(record.vms, [&](const VmEntry &vm) { return vm.id == decision.vm; }) > 0;
}

bool markVmDraining(DomainRecord &record, const Decision &decision, const AssignmentSettings &)
{
    auto *vm = record.vm(decision.vm);
    if (!vm) {
        return false;
    }
    vm->isDraining = true;
    return true;
}

bool createReplica(DomainRecord &record, const Decision &decision, const AssignmentSettings &settings)
{
    const auto *target = settings.model(decision.model);
    const bool areFree = std::all_of(decision.members.begin(), decision.members.end(), [&](const VmId &id) { return isFree(record, id); });
    if (!target || !areFree || decision.members.size() != target->vmsPerReplica) {
        return false;
    }
    ReplicaEntry replica;
    replica.fence = nextFence(record);
    // The id is unique in the fleet and never reused, because the incarnation only increases.
    replica.id = ReplicaId(record.key.objectName() + "." + std::to_string(replica.fence.incarnation));
    replica.model = target->model;
    replica.version = target->version;
    replica.adapters = target->adapters;
    replica.expectedMembers = target->vmsPerReplica;
    replica.members = decision.members;
    for (const auto &member : replica.members) {
        bindVm(record, member, replica.id);
    }
    record.replicas.push_back(std::move(replica));
    return true;
}

bool setDraining(DomainRecord &record, const Decision &decision, bool isDraining)
{
    auto *replica = record.replica(decision.replica);
    if (!replica) {
        return false;
    }
    replica->isDraining = isDraining;
    return true;
}

bool drainReplica(DomainRecord &record, const Decision &decision, const AssignmentSettings &)
{
    return setDraining(record, decision, true);
}

bool resumeReplica(DomainRecord &record, const Decision &decision, const AssignmentSettings &)
{
    return setDraining(record, decision, false);
}

bool isSpareOrFree(const DomainRecord &record, const ReplicaEntry &replica, const VmId &id)
{
    return replica.spare == id || isFree(record, id);
}

void bindReplacement(DomainRecord &record, ReplicaEntry &replica, const VmId &id)
{
    if (replica.spare == id) {
        replica.spare = {};
    }
    bindVm(record, id, replica.id);
}

bool replaceMember(DomainRecord &record, const Decision &decision, const AssignmentSettings &)
{
    auto *replica = record.replica(decision.replica);
    if (!replica || !isSpareOrFree(record, *replica, decision.other)) {
        return false;
    }
    const auto member = std::find(replica->members.begin(), replica->members.end(), decision.vm);
    if (member == replica->members.end()) {
        return false;
    }
    bindReplacement(record, *replica, decision.other);
    *member = decision.other;
    releaseVm(record, decision.vm);
    replica->fence = nextFence(record);
    replica->isDraining = false;
    return true;
}

bool removeMember(DomainRecord &record, const Decision &decision, const AssignmentSettings &)
{
    auto *replica = record.replica(decision.replica);
    if (!replica || std::erase(replica->members, decision.vm) == 0) {
        return false;
    }
    releaseVm(record, decision.vm);
    replica->fence = nextFence(record);
    replica->isDraining = false;
    return true;
}

bool addMember(DomainRecord &record, const Decision &decision, const AssignmentSettings &)
{
    auto *replica = record.replica(decision.replica);
    if (!replica || replica->members.size() >= replica->expectedMembers || !isSpareOrFree(record, *replica, decision.other)) {
        return false;
    }
    bindReplacement(record, *replica, decision.other);
    replica->members.push_back(decision.other);
    replica->fence = nextFence(record);
    return true;
}

bool updateReplica(DomainRecord &record, const Decision &decision, const AssignmentSettings &settings)
{
    auto *replica = record.replica(decision.replica);
    const auto *target = replica ? settings.model(replica->model) : nullptr;
    if (!target) {
        return false;
    }
    replica->version = target->version;
    replica->adapters = target->adapters;
    replica->fence = nextFence(record);
    replica->isDraining = false;
    return true;
}

bool dissolveReplica(DomainRecord &record, const Decision &decision, const AssignmentSettings &)
{
    const auto *replica = record.replica(decision.replica);
    if (!replica) {
        return false;
    }
    auto vms = replica->members;
    if (!replica->spare.isEmpty()) {
        vms.push_back(replica->spare);
    }
    for (const auto &id : vms) {
        releaseVm(record, id);
    }
    std::erase_if(record.replicas, [&](const ReplicaEntry &entry) { return entry.id == decision.replica; });
    return true;
}

bool bindSpare(DomainRecord &record, const Decision &decision, const AssignmentSettings &)
{
    auto *replica = record.replica(decision.replica);
    if (!replica || !replica->spare.isEmpty() || !isFree(record, decision.other)) {
        return false;
    }
    replica->spare = decision.other;
    bindVm(record, decision.other, replica->id);
    return true;
}

bool releaseSpare(DomainRecord &record, const Decision &decision, const AssignmentSettings &)
{
    auto *replica = record.replica(decision.replica);
    if (!replica || replica->spare.isEmpty() || replica->spare != decision.vm) {
        return false;
    }
    replica->spare = {};
    releaseVm(record, decision.vm);
    return true;
}

bool freeVm(DomainRecord &record, const Decision &decision, const AssignmentSettings &)
{
    auto *vm = record.vm(decision.vm);
    if (!vm || vm->phase != VmPhase::Releasing) {
        return false;
    }
    vm->phase = VmPhase::Free;
    vm->replica = {};
    vm->releaseFence = {};
    return true;
}

bool confirmController(DomainRecord &record, const Decision &decision, const AssignmentSettings &)
{
    return std::erase(record.unconfirmed, decision.controller) > 0;
}

bool renewFence(DomainRecord &record, const Decision &decision, const AssignmentSettings &)
{
    if (decision.fence.epoch > record.epoch) {
        return false;
    }
    record.lastIncarnation = std::max(record.lastIncarnation, decision.fence.incarnation);
    if (auto *replica = record.replica(decision.replica)) {
        replica->fence = nextFence(record);
        return true;
    }
    auto *vm = record.vm(decision.vm);
    if (!vm || vm->phase != VmPhase::Releasing) {
        return false;
    }
    vm->releaseFence = nextFence(record);
    return true;
}

using ApplyFunction = bool (*)(DomainRecord &, const Decision &, const AssignmentSettings &);

constexpr std::array<ApplyFunction, std::size(KindNames)> ApplyFunctions{
    addVm,     removeVm,      markVmDraining,  createReplica, drainReplica, resumeReplica, replaceMember,     removeMember,
    addMember, updateReplica, dissolveReplica, bindSpare,     releaseSpare, freeVm,        confirmController, renewFence,
};

}

std::string_view decisionKindName(DecisionKind kind)
{
    return KindNames[static_cast<std::size_t>(kind)];
}

bool applyDecision(DomainRecord &record, const Decision &decision, const AssignmentSettings &settings)
{
    return ApplyFunctions[static_cast<std::size_t>(decision.kind)](record, decision, settings);
}

}
