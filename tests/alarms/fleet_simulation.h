#pragma once

#include "alarms/fleet_facts.h"
#include "core/random.h"

#include <string>
#include <vector>

namespace carawaypoint
{

/// A part that fails at one moment and returns at another.
struct Disturbance {
    enum class Part {
        Vm,
        Platform,
        OtherZone,
        Daemon,
        Service,
        Config, // one member is behind
        Record, // a replica disappears from the domain record
    };
    Part part = Part::Vm;
    std::size_t index = 0; // of the VM, zone or replica
    Duration start{};
    Duration end{};
    Duration load = minutes(5); // of a VM's weights after it returned
};

/// A zone of 64 VMs in 8 fabric domains with 16 replicas of 4 VMs and no spares, so that each lost VM takes a replica down
/// until the VM returns and has loaded. All of the fleet's disturbances fall on this one zone.
class FleetSimulation
{
public:
    static constexpr std::size_t Vms = 64;
    static constexpr std::size_t VmsPerDomain = 8;
    static constexpr std::size_t VmsPerReplica = 4;

    FleetSimulation();

    void add(const Disturbance &disturbance);
    /// Ordinary short disturbances of @p days, at the rates of docs/design.md 1.7 scaled from 1,300 VMs and 330 daemons to
    /// 65 and 7.
    void addOrdinaryDays(int days, RandomGenerator &random);

    /// The facts at @p at after the start; calls must be in order of time.
    const FleetFacts &factsAt(Duration at);

    static constexpr TimePoint Start{hours(1000)};

private:
    void addMany(Disturbance::Part part, double count, std::size_t parts, Duration longest, int days, RandomGenerator &random);

    std::vector<Disturbance> disturbances_; // by start
    bool isSorted_ = false;
    std::size_t next_ = 0;
    std::vector<Disturbance> active_;
    FleetFacts facts_;
};

}
