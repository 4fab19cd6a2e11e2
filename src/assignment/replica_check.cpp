#include "assignment/replica_check.h"

#include "assignment/order_rules.h"

#include <algorithm>

namespace carawaypoint
{
namespace
{

constexpr std::string_view CheckNames[] = {"matches", "other_replica", "other_fence", "other_role", "other_version"};

}

std::string_view placementCheckName(PlacementCheck check)
{
    return CheckNames[static_cast<std::size_t>(check)];
}

PlacementCheck checkPlacement(const DomainRecord &record, const VmId &member, const EngineState &state)
{
    const auto *vm = record.vm(member);
    if (!vm || vm->phase != VmPhase::Bound || state.replica != vm->replica) {
        return PlacementCheck::OtherReplica;
    }
    const auto wanted = orderFor(record, *vm).order;
    if (state.fence != wanted.fence) {
        return PlacementCheck::OtherFence;
    }
    if (state.role != wanted.role) {
        return PlacementCheck::OtherRole;
    }
    return state.model == wanted.model && state.version == wanted.version ? PlacementCheck::Matches : PlacementCheck::OtherVersion;
}

ReplicaView replicaView(const DomainRecord &record, const ReplicaEntry &replica, const VmObservations &observations)
{
    ReplicaView view;
    view.id = replica.id;
    view.incarnation = replica.fence.incarnation;
    view.model = replica.model;
    view.version = replica.version;
    view.zone = record.key.zone;
    view.domain = record.key.domain;
    view.adapters = replica.adapters;
    view.expectedMembers = replica.expectedMembers;
    view.isDraining = replica.isDraining;
    bool doAllMatch = true;
    for (const auto &id : replica.members) {
        const auto *vm = record.vm(id);
        auto &member = view.members.emplace_back();
        member.vm = id;
        member.address = vm->address;
        member.isLeaving = vm->isDraining;
        const auto seen = observations.find(id);
        if (seen == observations.end()) {
            continue;
        }
        const auto &state = seen->second.state;
        doAllMatch = doAllMatch && checkPlacement(record, id, state) == PlacementCheck::Matches;
        member.lastSeen = seen->second.observedAt;
        member.isLoaded = state.isLoaded;
        member.isLeaving = member.isLeaving || state.isDraining;
        if (id == replica.members.front()) {
            view.slots = state.slots;
            view.load = state.load;
        }
    }
    if (!view.members.empty()) {
        view.leader = view.members.front().address;
    }
    for (auto &member : view.members) {
        member.isLoaded = member.isLoaded && doAllMatch;
    }
    return view;
}

}
