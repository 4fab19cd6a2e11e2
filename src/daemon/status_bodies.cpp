#include "daemon/status_bodies.h"

#include "routing/eligibility.h"

#include <boost/json.hpp>

#include <algorithm>

namespace carawaypoint
{

namespace json = boost::json;

namespace
{

std::string_view statusName(MemberStatus status)
{
    switch (status) {
    case MemberStatus::Alive:
        return "alive";
    case MemberStatus::Suspect:
        return "suspect";
    case MemberStatus::Left:
        return "left";
    case MemberStatus::Dead:
        break;
    }
    return "dead";
}

json::array zonesJson(const DaemonStatus &status)
{
    std::map<ZoneId, std::uint32_t> daemons;
    for (const auto &member : status.members) {
        daemons[member.zone] += member.status == MemberStatus::Alive ? 1 : 0;
    }
    json::array zones;
    for (const auto &[zone, count] : daemons) {
        zones.push_back(json::object{{"zone", zone.str()}, {"reachable", count > 0}, {"daemons", count}});
    }
    return zones;
}

json::array membersJson(const DaemonStatus &status)
{
    json::array members;
    for (const auto &member : status.members) {
        members.push_back(
            json::object{{"id", member.id.str()}, {"zone", member.zone.str()}, {"state", statusName(member.status)}, {"generation", member.generation}});
    }
    return members;
}

/// State of a replica as the router sees it: `whole` only when all members are seen and loaded, so that it may get requests.
std::string_view replicaState(const ReplicaView &replica, TimePoint now, Duration bound)
{
    if (replica.isDraining) {
        return "draining";
    }
    if (replica.members.size() < replica.expectedMembers) {
        return "incomplete";
    }
    const bool isSeen =
        std::all_of(replica.members.begin(), replica.members.end(), [&](const ReplicaMemberView &member) { return isMemberSeen(member, now, bound); });
    if (!isSeen) {
        return "incomplete";
    }
    const bool isLoaded = std::all_of(replica.members.begin(), replica.members.end(), [](const ReplicaMemberView &member) { return member.isLoaded; });
    return isLoaded ? "whole" : "loading";
}

json::array replicasJson(const DaemonStatus &status)
{
    json::array replicas;
    for (const auto &replica : status.replicas) {
        json::array members;
        for (const auto &member : replica.members) {
            members.emplace_back(member.vm.str());
        }
        replicas.push_back(json::object{{"replica", replica.id.str()},
                                        {"incarnation", replica.incarnation},
                                        {"model", replica.model.str()},
                                        {"zone", replica.zone.str()},
                                        {"domain", replica.domain.str()},
                                        {"state", replicaState(replica, status.now, status.observationBound)},
                                        {"running", replica.load.running},
                                        {"members", std::move(members)}});
    }
    return replicas;
}

json::array vmsJson(const DaemonStatus &status)
{
    std::map<VmId, const VmStatus *> assigned;
    for (const auto &domain : status.assignment.domains) {
        for (const auto &vm : domain.vms) {
            assigned[vm.vm] = &vm;
        }
    }
    json::array vms;
    for (const auto &vm : status.vms) {
        const auto found = assigned.find(vm.id);
        std::string state = vm.isLeaving ? "leaving" : "listed";
        std::string replica;
        if (found != assigned.end()) {
            const VmStatus &entry = *found->second;
            state = entry.isMissing ? "missing" : entry.isDraining ? "draining" : entry.isSpare ? "spare" : entry.phase == VmPhase::Free ? "free" : "bound";
            replica = entry.replica.str();
        }
        vms.push_back(
            json::object{{"vm", vm.id.str()}, {"zone", vm.zone.str()}, {"domain", vm.domain.str()}, {"pool", vm.pool}, {"state", state}, {"replica", replica}});
    }
    return vms;
}

json::array strandedJson(const AssignmentStatus &assignment)
{
    json::array stranded;
    for (const auto &domain : assignment.domains) {
        stranded.push_back(
            json::object{{"zone", domain.key.zone.str()}, {"domain", domain.key.domain.str()}, {"vms", domain.stranded}, {"spares", domain.spares}});
    }
    return stranded;
}

}

std::string statusBody(const DaemonStatus &status)
{
    const json::object body{{"daemon", status.daemon.str()},
                            {"zone", status.zone.str()},
                            {"ready", status.isReady},
                            {"generation", status.generation},
                            {"platform_reachable", status.isPlatformReachable},
                            {"zones", zonesJson(status)},
                            {"members", membersJson(status)},
                            {"replicas", replicasJson(status)},
                            {"vms", vmsJson(status)},
                            {"stranded", strandedJson(status.assignment)}};
    return json::serialize(body);
}

std::string configStatusBody(std::uint64_t newestGeneration, const std::vector<MemberGeneration> &members)
{
    json::array array;
    for (const auto &[member, since] : members) {
        array.push_back(json::object{{"id", member.id.str()},
                                     {"zone", member.zone.str()},
                                     {"state", statusName(member.status)},
                                     {"generation", member.generation},
                                     {"in_force_since", since}});
    }
    return json::serialize(json::object{{"generation", newestGeneration}, {"members", std::move(array)}});
}

}
