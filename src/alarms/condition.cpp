#include "alarms/condition.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace carawaypoint
{

namespace
{

// In the order of AlarmKind.
constexpr AlarmKindInfo KindInfos[] = {
    {AlarmKind::ZoneIsolated, "zone_isolated", "check the network of the zone; it serves its own replicas meanwhile, non-idempotent calls are refused", false},
    {AlarmKind::ZoneCutOff, "zone_cut_off", "check the network between the zones and whether the other zone has power", false},
    {AlarmKind::PlatformDown, "platform_down", "ask the platform's operators; serving continues, assignments and non-idempotent calls wait", true},
    {AlarmKind::DomainLost, "domain_lost", "check the rack and its switch; replicas are rebuilt in other domains as far as VMs are free", false},
    {AlarmKind::ReplicaDown, "replica_down", "replace the named VMs or give the domain a spare; see carawaypoint explain <replica>", false},
    {AlarmKind::ModelShort, "model_short", "add VMs to the model's pool or lower the replicas in the configuration", false},
    {AlarmKind::ServiceDown, "service_down", "restart the servers of the service", true},
    {AlarmKind::DaemonsLost, "daemons_lost", "replace the entry VMs or lower site.daemons", false},
    {AlarmKind::ConfigNotInForce, "config_not_in_force", "look at the log of the named daemons; see carawaypoint config status", true},
};

/// Failures of separate VMs are repaired before half of the domain is down, so the loss of more than half has one cause.
bool isDomainLost(const DomainFacts &domain)
{
    return domain.vms >= 2 && domain.seenVms * 2 < domain.vms;
}

std::string join(const std::vector<std::string> &items)
{
    std::string text;
    for (const auto &item : items) {
        text += (text.empty() ? "" : ", ") + item;
    }
    return text;
}

class ConditionFinder
{
public:
    explicit ConditionFinder(const FleetFacts &facts)
        : facts_(facts)
    {
    }

    std::map<std::string, Condition> find()
    {
        findPartitionConditions();
        findDomainConditions();
        findReplicaConditions();
        findServiceConditions();
        findDaemonConditions();
        findConfigurationConditions();
        return std::move(conditions_);
    }

private:
    Condition &add(Condition condition)
    {
        auto cause = condition.cause();
        return conditions_[std::move(cause)] = std::move(condition);
    }

    void findPartitionConditions()
    {
        std::vector<std::string> unreachable;
        for (const auto &zone : facts_.otherZones) {
            if (!zone.isReachable) {
                unreachable.push_back(zone.id.str());
            }
        }
        const bool isIsolated = !facts_.isPlatformReachable && !facts_.otherZones.empty() && unreachable.size() == facts_.otherZones.size();
        if (isIsolated) {
            add({AlarmKind::ZoneIsolated, facts_.zone.str(), 0, "neither the platform nor another zone answers", {}, false});
        }
        for (const auto &zone : unreachable) {
            add({AlarmKind::ZoneCutOff, zone, 0, "no daemon of the zone answers", {}, isIsolated});
        }
        if (!facts_.isPlatformReachable) {
            add({AlarmKind::PlatformDown, "platform", 0, "the object API does not answer", {}, isIsolated});
        }
    }

    void findDomainConditions()
    {
        for (const auto &domain : facts_.domains) {
            if (!isDomainLost(domain)) {
                continue;
            }
            lostDomains_.insert(domain.id.str());
            const double seen = static_cast<double>(domain.seenVms) / domain.vms;
            auto detail = std::to_string(domain.vms - domain.seenVms) + " of " + std::to_string(domain.vms) + " VMs do not answer";
            auto &condition = add({AlarmKind::DomainLost, DomainKey{facts_.zone, domain.id}.objectName(), seen, std::move(detail), {}, false});
            for (const auto &replica : facts_.replicas) {
                if (replica.domain == domain.id && !replica.isServing) {
                    condition.effects.push_back("replica " + replica.id.str());
                }
            }
        }
    }

    void findReplicaConditions()
    {
        std::map<std::string, std::uint32_t> recordedReplicas; // by model, in the domain records
        for (const auto &replica : facts_.replicas) {
            ++recordedReplicas[replica.model.str()];
            if (replica.isServing || replica.isPlannedStop) {
                continue;
            }
            std::vector<std::string> missing;
            std::transform(replica.missingVms.begin(), replica.missingVms.end(), std::back_inserter(missing), [](const VmId &vm) { return vm.str(); });
            auto detail = missing.empty() ? "all VMs answer, but the replica is not loaded" : "missing: " + join(missing);
            // A repair needs the platform. While it is unreachable nobody can act on the replica.
            const bool isSuppressed = lostDomains_.contains(replica.domain.str()) || !facts_.isPlatformReachable;
            add({AlarmKind::ReplicaDown, replica.id.str(), replica.repairProgress, std::move(detail), {"model " + replica.model.str()}, isSuppressed});
        }
        for (const auto &model : facts_.models) {
            const auto present = recordedReplicas[model.id.str()];
            if (present >= model.wantedReplicas) {
                continue;
            }
            auto detail = std::to_string(present) + " of " + std::to_string(model.wantedReplicas) + " replicas exist";
            const double progress = static_cast<double>(present) / model.wantedReplicas;
            add({AlarmKind::ModelShort, model.id.str(), progress, std::move(detail), {}, !lostDomains_.empty() || !facts_.isPlatformReachable});
        }
    }

    void findServiceConditions()
    {
        const bool isZoneMissing = std::any_of(facts_.otherZones.begin(), facts_.otherZones.end(), [](const ZoneFacts &zone) { return !zone.isReachable; });
        for (const auto &service : facts_.services) {
            if (service.seenServers == 0) {
                add({AlarmKind::ServiceDown, service.id.str(), 0, "none of " + std::to_string(service.servers) + " servers answers", {}, isZoneMissing});
            }
        }
    }

    void findDaemonConditions()
    {
        if (facts_.liveDaemons >= facts_.configuredDaemons) {
            return;
        }
        auto detail = std::to_string(facts_.liveDaemons) + " of " + std::to_string(facts_.configuredDaemons) + " daemons live";
        const double progress = static_cast<double>(facts_.liveDaemons) / facts_.configuredDaemons;
        add({AlarmKind::DaemonsLost, facts_.zone.str(), progress, std::move(detail), {}, false});
    }

    void findConfigurationConditions()
    {
        std::vector<std::string> behind;
        for (const auto &member : facts_.outdatedMembers) {
            const bool isZoneUnreachable = std::any_of(facts_.otherZones.begin(), facts_.otherZones.end(),
                                                       [&](const ZoneFacts &zone) { return zone.id == member.zone && !zone.isReachable; });
            if (!isZoneUnreachable) {
                behind.push_back(member.id.str());
            }
        }
        if (behind.empty()) {
            return;
        }
        const double progress = 1 - static_cast<double>(behind.size()) / std::max<double>(facts_.liveMembers, static_cast<double>(behind.size()));
        auto detail = "generation " + std::to_string(facts_.configGeneration) + " is not in force at " + join(behind);
        add({AlarmKind::ConfigNotInForce, "configuration", progress, std::move(detail), {}, false});
    }

    const FleetFacts &facts_;
    std::set<std::string> lostDomains_;
    std::map<std::string, Condition> conditions_;
};

}

const AlarmKindInfo &alarmKindInfo(AlarmKind kind)
{
    return KindInfos[static_cast<std::size_t>(kind)];
}

std::string Condition::cause() const
{
    return std::string(alarmKindInfo(kind).name) + " " + subject;
}

std::map<std::string, Condition> findConditions(const FleetFacts &facts)
{
    return ConditionFinder(facts).find();
}

}
