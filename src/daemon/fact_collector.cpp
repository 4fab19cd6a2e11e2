#include "daemon/fact_collector.h"

#include "routing/eligibility.h"

#include <algorithm>
#include <map>

namespace carawaypoint
{

namespace
{

std::map<VmId, const VmStatus *> assignedVms(const AssignmentStatus &assignment)
{
    std::map<VmId, const VmStatus *> vms;
    for (const auto &domain : assignment.domains) {
        for (const auto &vm : domain.vms) {
            vms[vm.vm] = &vm;
        }
    }
    return vms;
}

void addDomains(const FactInputs &inputs, FleetFacts &facts)
{
    const auto assigned = assignedVms(*inputs.assignment);
    std::map<FabricDomainId, DomainFacts> domains;
    for (const auto &vm : inputs.vms) {
        if (vm.zone != inputs.zone || vm.domain.isEmpty() || vm.isLeaving) {
            continue;
        }
        DomainFacts &domain = domains[vm.domain];
        domain.id = vm.domain;
        ++domain.vms;
        const auto found = assigned.find(vm.id);
        domain.seenVms += found != assigned.end() && !found->second->isMissing ? 1 : 0;
    }
    for (auto &[id, domain] : domains) {
        facts.domains.push_back(std::move(domain));
    }
}

void addReplicas(const FactInputs &inputs, FleetFacts &facts, TimePoint now)
{
    for (const auto &replica : inputs.replicas) {
        if (replica.zone != inputs.zone) {
            continue;
        }
        ReplicaFacts entry;
        entry.id = replica.id;
        entry.model = replica.model;
        entry.domain = replica.domain;
        std::uint32_t loaded = 0;
        for (const auto &member : replica.members) {
            if (!isMemberSeen(member, now, inputs.observationBound)) {
                entry.missingVms.push_back(member.vm);
            } else if (member.isLoaded) {
                ++loaded;
            }
        }
        const auto expected = std::max<std::uint32_t>(1, replica.expectedMembers);
        entry.repairProgress = static_cast<double>(loaded) / expected;
        entry.isServing = loaded >= expected;
        entry.isPlannedStop = replica.isDraining;
        facts.replicas.push_back(std::move(entry));
    }
}

void addServices(const FactInputs &inputs, FleetFacts &facts)
{
    for (const auto &service : inputs.config->services) {
        ServiceFacts entry;
        entry.id = service.id;
        for (const auto &vm : inputs.vms) {
            if (vm.pool == service.pool) {
                ++entry.servers;
                entry.seenServers += vm.isLeaving ? 0 : 1;
            }
        }
        facts.services.push_back(std::move(entry));
    }
}

void addMembers(const FactInputs &inputs, FleetFacts &facts)
{
    std::map<ZoneId, std::uint32_t> liveByZone;
    for (const auto &member : inputs.members) {
        auto &live = liveByZone[member.zone];
        if (member.status != MemberStatus::Alive) {
            continue;
        }
        ++live;
        ++facts.liveMembers;
        if (member.generation < inputs.newestGeneration) {
            facts.outdatedMembers.push_back({member.id, member.zone});
        }
    }
    facts.liveDaemons = liveByZone[inputs.zone];
    for (const auto &[zone, live] : liveByZone) {
        if (zone != inputs.zone) {
            facts.otherZones.push_back({zone, live > 0});
        }
    }
}

}

FleetFacts collectFacts(const FactInputs &inputs, TimePoint now)
{
    FleetFacts facts;
    facts.at = now;
    facts.zone = inputs.zone;
    facts.isViewFresh = inputs.isViewFresh;
    facts.isPlatformReachable = inputs.isPlatformReachable;
    facts.configGeneration = inputs.newestGeneration;
    addMembers(inputs, facts);
    addDomains(inputs, facts);
    addReplicas(inputs, facts, now);
    if (inputs.config != nullptr) {
        facts.configuredDaemons = inputs.config->siteSettings.daemons;
        for (const auto &model : inputs.config->models) {
            facts.models.push_back({model.id, model.replicas});
        }
        addServices(inputs, facts);
    }
    return facts;
}

}
