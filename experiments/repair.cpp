// Compares the placement strategies with the same seeds: repair after the loss of a fabric domain with the rate limit of the
// weight store, repair of one member by a spare, stranded accelerators, and the cost of the confirmation rule.
#include "core/random.h"
#include "support/zone_simulation.h"

#include <CLI/CLI.hpp>

#include <algorithm>
#include <cstdio>

namespace carawaypoint
{
namespace
{

constexpr int VmsPerReplica = 4;
constexpr int VmsPerDomain = 16;
constexpr double LoadSeconds = 5; // duration of a load when no other is in progress
const std::vector<std::string> Domains{"a", "b", "c", "d"};

double secondsOf(Duration time)
{
    return std::chrono::duration<double>(time).count();
}

std::unique_ptr<ZoneSimulation> makeZone(const std::string &strategy, std::uint32_t replicas, bool checksFencing = false)
{
    AssignmentSettings settings;
    settings.models = {{ModelId("m"), "1", {}, "pool", VmsPerReplica, replicas}};
    settings.strategy = strategy;
    settings.maxConcurrentLoads = VmsPerReplica;
    auto zone = std::make_unique<ZoneSimulation>(settings, checksFencing);
    zone->loadsPerSecond = 1 / LoadSeconds;
    for (const auto &domain : Domains) {
        zone->addDomain(domain, VmsPerDomain);
    }
    for (const auto *name : {"d1", "d2", "d3"}) {
        zone->addDaemon(name);
    }
    zone->runUntil([&] { return zone->completeReplicas() == replicas; }, minutes(20));
    zone->run(seconds(10));
    return zone;
}

std::string randomVm(RandomGenerator &random)
{
    return Domains[random() % Domains.size()] + "-" + std::to_string(100 + random() % VmsPerDomain);
}

/// Returns the replica-seconds of down time after one domain becomes unreachable and two VMs fail, until all replicas are
/// complete.
double downTimeAfterDomainLoss(const std::string &strategy, std::uint64_t seed, std::size_t lostDomain)
{
    constexpr std::uint32_t Replicas = 9; // fit into the other three domains when two VMs are missing
    auto zone = makeZone(strategy, Replicas);
    RandomGenerator random(seed);
    for (int index = 0; index < 2; ++index) {
        zone->kill(randomVm(random));
    }
    zone->setDomainUnreachable(Domains[lostDomain], true);
    double down = 0;
    const auto areAllComplete = [&] {
        const auto complete = std::min<std::size_t>(zone->completeReplicas(), Replicas);
        down += static_cast<double>(Replicas - complete) * 0.25;
        return complete == Replicas;
    };
    zone->runUntil(areAllComplete, minutes(15));
    return down;
}

/// Returns the seconds from the failure of a member until its replica is complete again, when the replica has a spare. The
/// minimum is the detection time and one load.
double repairTimeWithSpare(const std::string &strategy, std::uint64_t seed)
{
    constexpr std::uint32_t Replicas = 9; // two or three in each domain, so that VMs are left for spares
    auto zone = makeZone(strategy, Replicas);
    RandomGenerator random(seed);
    std::vector<VmId> members;
    for (const auto &domain : Domains) {
        for (const auto &replica : zone->stored(domain).replicas) {
            if (!replica.spare.isEmpty()) {
                members.insert(members.end(), replica.members.begin(), replica.members.end());
            }
        }
    }
    zone->kill(members[random() % members.size()].str());
    return secondsOf(zone->runUntil([&] { return zone->completeReplicas() == Replicas; }, minutes(5)));
}

/// Returns the number of live VMs outside complete replicas beyond the arithmetic minimum, in the worst domain, after random
/// failures while the models need all VMs.
int strandedAboveMinimum(const std::string &strategy, std::uint64_t seed)
{
    auto zone = makeZone(strategy, static_cast<std::uint32_t>(Domains.size()) * VmsPerDomain / VmsPerReplica);
    RandomGenerator random(seed);
    for (int index = 0; index < 10; ++index) {
        zone->kill(randomVm(random));
    }
    zone->run(minutes(6));
    int worst = 0;
    for (const auto &domain : Domains) {
        const auto record = zone->stored(domain);
        int live = 0;
        int used = 0;
        for (const auto &[id, engine] : zone->engines) {
            if (engine.domain.str() == domain && engine.isAlive) {
                ++live;
                const auto *vm = record.vm(id);
                const auto *replica = vm ? record.replica(vm->replica) : nullptr;
                const bool isComplete = replica && std::all_of(replica->members.begin(), replica->members.end(), [&](const VmId &member) {
                                            const auto &state = zone->engines.at(member);
                                            return state.isAlive && state.state.isLoaded && state.state.replica == replica->id;
                                        });
                used += isComplete && replica->spare != id ? 1 : 0;
            }
        }
        worst = std::max(worst, live - used - live % VmsPerReplica);
    }
    return worst;
}

/// Cost of waiting until former controllers have confirmed that they gave up a domain.
struct ConfirmationCost {
    double vmSeconds = 0; // VM-seconds in the releasing state while a former controller is unconfirmed
    double secondsUntilComplete = 0; // until the replicas of the new model are complete
};

/// Moves half of the VMs to another model while the daemon that holds domain a is paused for a minute.
ConfirmationCost confirmationCost(bool checksFencing, std::uint64_t seed)
{
    auto zone = makeZone("nearest_whole", 8, checksFencing);
    zone->loadsPerSecond = 4 / LoadSeconds;
    RandomGenerator random(seed);
    for (auto &[name, daemon] : zone->daemons) {
        if (!zone->holders(Domains[random() % Domains.size()]).empty() && name == zone->holders("a").front()) {
            daemon->pause(zone->clock.now());
        }
    }
    auto settings = zone->settings;
    settings.models.front().replicas = 4;
    settings.models.push_back({ModelId("n"), "1", {}, "pool", VmsPerReplica, 12});
    settings.surplusRemovalDelay = seconds(1);
    for (auto &[name, daemon] : zone->daemons) {
        daemon->controller->setSettings(settings);
    }
    ConfirmationCost cost;
    const auto start = zone->clock.now();
    const auto isDone = [&] {
        for (const auto &domain : Domains) {
            const auto record = zone->stored(domain);
            const auto releasing = std::count_if(record.vms.begin(), record.vms.end(), [](const VmEntry &vm) { return vm.phase == VmPhase::Releasing; });
            cost.vmSeconds += record.unconfirmed.empty() ? 0 : static_cast<double>(releasing) * 0.25;
        }
        if (zone->clock.now() - start == minutes(1)) {
            for (auto &[name, daemon] : zone->daemons) {
                if (daemon->isPaused) {
                    daemon->resume();
                }
            }
        }
        return zone->completeReplicas() == 16;
    };
    cost.secondsUntilComplete = secondsOf(zone->runUntil(isDone, minutes(10)));
    return cost;
}

double mean(const std::vector<double> &values)
{
    double sum = 0;
    for (const auto value : values) {
        sum += value;
    }
    return values.empty() ? 0 : sum / static_cast<double>(values.size());
}

void printStrategies(int seeds)
{
    std::printf("%-16s %28s %22s %22s %26s\n", "strategy", "down time (replica-s, mean)", "spare repair (s, mean)", "spare repair (s, worst)",
                "stranded above min (worst)");
    std::vector<double> downTimes;
    for (const auto &strategy : assignmentStrategies()) {
        std::vector<double> down;
        std::vector<double> repair;
        int stranded = 0;
        for (int seed = 1; seed <= seeds; ++seed) {
            for (std::size_t domain = 0; domain < Domains.size(); ++domain) {
                down.push_back(downTimeAfterDomainLoss(std::string(strategy.name), static_cast<std::uint64_t>(seed), domain));
            }
            repair.push_back(repairTimeWithSpare(std::string(strategy.name), static_cast<std::uint64_t>(seed)));
            stranded = std::max(stranded, strandedAboveMinimum(std::string(strategy.name), static_cast<std::uint64_t>(seed)));
        }
        downTimes.push_back(mean(down));
        std::printf("%-16s %28.1f %22.2f %22.2f %26d\n", std::string(strategy.name).c_str(), mean(down), mean(repair),
                    *std::max_element(repair.begin(), repair.end()), stranded);
    }
    const AssignmentSettings settings;
    std::printf("down time of nearest_whole against first_fit: %.2f (target at most 0.70)\n", downTimes.back() / downTimes.front());
    std::printf("detection and one load: %.2f s\n", secondsOf(settings.missingTimeout) + LoadSeconds);
}

void printConfirmation(int seeds)
{
    std::printf("\n%-16s %38s %28s\n", "engines", "waiting for confirmation (VM-s, mean)", "new model whole (s, mean)");
    for (const bool checksFencing : {true, false}) {
        std::vector<double> vmSeconds;
        std::vector<double> untilComplete;
        for (int seed = 1; seed <= seeds; ++seed) {
            const auto cost = confirmationCost(checksFencing, static_cast<std::uint64_t>(seed));
            vmSeconds.push_back(cost.vmSeconds);
            untilComplete.push_back(cost.secondsUntilComplete);
        }
        std::printf("%-16s %38.1f %28.1f\n", checksFencing ? "check fencing" : "ignore fencing", mean(vmSeconds), mean(untilComplete));
    }
}

}
}

int main(int argc, char **argv)
{
    CLI::App app("Repair of replicas on a virtual clock");
    int seeds = 5;
    app.add_option("--seeds", seeds, "Number of seeds")->check(CLI::Range(1, 1000));
    CLI11_PARSE(app, argc, argv);
    carawaypoint::printStrategies(seeds);
    carawaypoint::printConfirmation(seeds);
    return 0;
}
