#pragma once

#include "alarms/fleet_facts.h"
#include "core/random.h"

#include <string>
#include <vector>

namespace carawaypoint
{

/// Injected fault: a part of the fleet is down between two moments.
struct Disturbance {
    enum class Part {
        Vm,
        Platform,
        OtherZone,
        Daemon,
        Service,
        Config, // one daemon has an old configuration
        Record, // a replica is missing from the domain record
    };
    Part part = Part::Vm;
    std::size_t index = 0; // of the VM, zone or replica
    Duration start{};
    Duration end{};
    Duration loadTime = minutes(5); // of a VM's weights, after end
};

/// A zone of 64 VMs in 8 fabric domains with 16 replicas of 4 VMs and no spares, so that a lost VM stops its
/// replica until the VM is back and has loaded its weights. All disturbances affect this one zone.
class FleetSimulation
{
public:
    static constexpr std::size_t Vms = 64;
    static constexpr std::size_t VmsPerDomain = 8;
    static constexpr std::size_t VmsPerReplica = 4;

    FleetSimulation();

    void add(const Disturbance &disturbance);
    /// Adds @p days of short disturbances that repair themselves, at the rates of docs/design.md 1.7 scaled from 1,300 VMs and 330 daemons to
    /// 65 and 7.
    void addOrdinaryDays(int days, RandomGenerator &random);

    /// Returns the facts at the time @p at since Start. Calls must be in ascending order of time.
    const FleetFacts &factsAt(Duration at);

    static constexpr TimePoint Start{hours(1000)};

private:
    void addRandomDisturbances(Disturbance::Part part, double countPerDay, std::size_t partCount, Duration maxDuration, int days, RandomGenerator &random);

    std::vector<Disturbance> disturbances_; // sorted by start when isSorted_
    bool isSorted_ = false;
    std::size_t next_ = 0;
    std::vector<Disturbance> active_;
    FleetFacts facts_;
};

}
