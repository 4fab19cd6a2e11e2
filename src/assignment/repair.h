#pragma once

#include "assignment/assignment_settings.h"
#include "assignment/assignment_strategy.h"
#include "assignment/domain_record.h"
#include "assignment/order_rules.h"
#include "objects/object_store.h"

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypoint
{

/// Kinds of changes to a domain record; the comments name the fields of Decision.
enum class DecisionKind : std::uint8_t {
    AddVm, // the platform lists a VM that the record does not have
    RemoveVm, // a free VM that the platform no longer lists
    MarkVmDraining, // vm is taken out of service
    CreateReplica, // a new replica of model from the free VMs in members
    DrainReplica, // replica gets no new work
    ResumeReplica, // replica gets new work again, because the reason for draining no longer exists
    ReplaceMember, // vm is released and other takes its place
    RemoveMember, // vm is released and nothing takes its place yet
    AddMember, // other becomes a member of a replica with fewer members than expected
    UpdateReplica, // replica gets the target's version and adapters
    DissolveReplica, // replica is removed and its VMs are released
    BindSpare, // other becomes the replica's spare
    ReleaseSpare, // vm, the replica's spare, is released
    FreeVm, // vm was releasing and becomes free
    ConfirmController, // a former controller has no order in flight
    RenewFence, // replica or the releasing vm gets a new fencing number, because an engine has a higher one and refuses its orders
};

std::string_view decisionKindName(DecisionKind kind);

/// A change of a domain record. The kind determines which fields are set.
struct Decision {
    DecisionKind kind = DecisionKind::AddVm;
    VmId vm{};
    VmId other{};
    ReplicaId replica{};
    ModelId model{};
    std::vector<VmId> members{};
    Endpoint address{};
    std::string pool{};
    ControllerRef controller{};
    FencingNumber fence{}; // reported by an engine
    std::string reason{}; // for the decision log
};

/// Inputs of the repair decisions for one domain.
struct RepairInput {
    std::span<const VmRecord> inventory; // the platform's list of VMs of the zone; empty when unknown
    bool isInventoryKnown = false;
    const VmObservations *observations = nullptr;
    const OrderTracker *orders = nullptr;
    const AssignmentSettings *settings = nullptr;
    const AssignmentStrategy *strategy = nullptr;
    std::map<ModelId, std::uint32_t> replicasToCreate; // number by model; this domain's part of the zone's plan, as the next two
    std::set<ReplicaId> replicasToRemove;
    std::set<ReplicaId> replicasToUpdate;
    std::set<VmId> drainedByOperator;
    std::set<ControllerRef> confirmedControllers; // former controllers without orders in flight
    std::map<ReplicaId, TimePoint> drainingSince; // when this process first saw the replica marked as draining
    std::map<ReplicaId, TimePoint> surplusSince; // when this process first planned the removal of the replica
    TimePoint observedSince{}; // start of the uninterrupted observations
    TimePoint now{};
};

/// Applies @p decision to @p record. Returns false and changes nothing when the record does not allow it.
bool applyDecision(DomainRecord &record, const Decision &decision, const AssignmentSettings &settings);

/// Decides the changes of @p record that are due and applies them to it. They take effect when the record is stored.
std::vector<Decision> decideRepairs(DomainRecord &record, const RepairInput &input);

/// Decides the repairs that an isolated holder may make: replacing missing members by spares that the record binds to the
/// same replica. Other daemons may decide repairs of the same domain at the same time; as each spare is bound to one replica
/// only, no VM gets into two replicas.
std::vector<Decision> decideIsolatedRepairs(DomainRecord &record, const RepairInput &input);

}
