#include "tests/alarms/fleet_simulation.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{

Duration uniform(Duration low, Duration high, RandomGenerator &random)
{
    return Duration(std::uniform_int_distribution<std::int64_t>(low.count(), high.count())(random));
}

}

FleetSimulation::FleetSimulation()
{
    facts_.zone = ZoneId("a");
    facts_.otherZones = {{ZoneId("b"), true}, {ZoneId("c"), true}};
    facts_.models = {{ModelId("m"), static_cast<std::uint32_t>(Vms / VmsPerReplica)}};
    facts_.services = {{ServiceId("booking"), 3, 3}};
    facts_.configuredDaemons = 7;
    facts_.liveMembers = 7;
    for (std::size_t i = 0; i < Vms / VmsPerDomain; ++i) {
        facts_.domains.push_back({FabricDomainId("d" + std::to_string(i)), VmsPerDomain, VmsPerDomain});
    }
}

void FleetSimulation::add(const Disturbance &disturbance)
{
    disturbances_.push_back(disturbance);
}

void FleetSimulation::addRandomDisturbances(Disturbance::Part part,
                                            double countPerDay,
                                            std::size_t partCount,
                                            Duration maxDuration,
                                            int days,
                                            RandomGenerator &random)
{
    for (int i = 0; i < static_cast<int>(countPerDay * days); ++i) {
        const auto start = uniform({}, hours(24 * days), random);
        const auto index = std::uniform_int_distribution<std::size_t>(0, partCount - 1)(random);
        // Every twentieth load is slow because the weight store is busy; its progress still advances.
        const auto loadTime = random() % 20 == 0 ? uniform(minutes(45), minutes(90), random) : uniform(minutes(2), minutes(8), random);
        add({part, index, start, start + uniform(seconds(10), maxDuration, random), loadTime});
    }
}

void FleetSimulation::addOrdinaryDays(int days, RandomGenerator &random)
{
    using Part = Disturbance::Part;
    constexpr double VmScale = 65.0 / 1300;
    constexpr double DaemonScale = 7.0 / 330;
    addRandomDisturbances(Part::Vm, 31 * VmScale, Vms, minutes(12), days, random);
    addRandomDisturbances(Part::Vm, 200 * VmScale, Vms, minutes(6), days, random);
    addRandomDisturbances(Part::Daemon, 200 * DaemonScale, 1, minutes(6), days, random);
    addRandomDisturbances(Part::Platform, 1, 1, minutes(12), days, random);
    addRandomDisturbances(Part::OtherZone, 0.2, 2, minutes(8), days, random);
    addRandomDisturbances(Part::Service, 0.2, 1, minutes(3), days, random);
    addRandomDisturbances(Part::Config, 940 * DaemonScale, 1, seconds(90), days, random);
    // Once a week a switch restarts: all VMs of one domain are unreachable for 4 min and finish loading one after the other.
    for (int week = 0; week < days / 7; ++week) {
        const auto start = hours(24 * 7 * week) + uniform({}, hours(24 * 6), random);
        const auto domain = random() % (Vms / VmsPerDomain);
        for (std::size_t vm = 0; vm < VmsPerDomain; ++vm) {
            add({Part::Vm, domain * VmsPerDomain + vm, start, start + minutes(4), minutes(3) * static_cast<int>(vm + 1)});
        }
    }
}

const FleetFacts &FleetSimulation::factsAt(Duration at)
{
    if (!isSorted_) {
        std::stable_sort(disturbances_.begin(), disturbances_.end(), [](const Disturbance &a, const Disturbance &b) { return a.start < b.start; });
        isSorted_ = true;
    }
    while (next_ < disturbances_.size() && disturbances_[next_].start <= at) {
        active_.push_back(disturbances_[next_++]);
    }
    std::erase_if(active_, [&](const Disturbance &d) { return d.end + (d.part == Disturbance::Part::Vm ? d.loadTime : Duration{}) <= at; });

    std::vector<double> loaded(Vms, 1.0);
    std::vector<bool> seen(Vms, true);
    std::vector<bool> isRecorded(Vms / VmsPerReplica, true);
    facts_.at = Start + at;
    facts_.isPlatformReachable = true;
    facts_.otherZones[0].isReachable = facts_.otherZones[1].isReachable = true;
    facts_.liveDaemons = facts_.configuredDaemons;
    facts_.services[0].seenServers = 3;
    facts_.outdatedMembers.clear();
    for (const auto &d : active_) {
        switch (d.part) {
        case Disturbance::Part::Vm:
            seen[d.index] = seen[d.index] && at >= d.end;
            loaded[d.index] = std::min(loaded[d.index], at < d.end ? 0.0 : static_cast<double>((at - d.end).count()) / static_cast<double>(d.loadTime.count()));
            break;
        case Disturbance::Part::Platform:
            facts_.isPlatformReachable = false;
            break;
        case Disturbance::Part::OtherZone:
            facts_.otherZones[d.index].isReachable = false;
            break;
        case Disturbance::Part::Daemon:
            facts_.liveDaemons = 6;
            break;
        case Disturbance::Part::Service:
            facts_.services[0].seenServers = 0;
            break;
        case Disturbance::Part::Config:
            facts_.outdatedMembers = {{MemberId("entry-3"), ZoneId("a")}};
            break;
        case Disturbance::Part::Record:
            isRecorded[d.index] = false;
            break;
        }
    }
    for (std::size_t domain = 0; domain < facts_.domains.size(); ++domain) {
        const auto first = seen.begin() + static_cast<std::ptrdiff_t>(domain * VmsPerDomain);
        facts_.domains[domain].seenVms = static_cast<std::uint32_t>(std::count(first, first + VmsPerDomain, true));
    }
    facts_.replicas.clear();
    for (std::size_t replica = 0; replica < isRecorded.size(); ++replica) {
        if (!isRecorded[replica]) {
            continue;
        }
        ReplicaFacts view{
            ReplicaId("r" + std::to_string(replica)), ModelId("m"), facts_.domains[replica * VmsPerReplica / VmsPerDomain].id, true, false, {}, 0};
        for (std::size_t vm = replica * VmsPerReplica; vm < (replica + 1) * VmsPerReplica; ++vm) {
            view.isServing = view.isServing && loaded[vm] >= 1;
            view.repairProgress += loaded[vm] / VmsPerReplica;
            if (!seen[vm]) {
                view.missingVms.emplace_back("vm-" + std::to_string(vm));
            }
        }
        facts_.replicas.push_back(std::move(view));
    }
    return facts_;
}

}
