#include "routing/corrected_two_choices_chooser.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace carawaypoint
{

namespace
{
// Highest relative load at which a replica is chosen for its cached prefix, as a factor of the mean.
constexpr double AffinityLoadFactor = 1.25;
constexpr unsigned SampledReplicas = 2;
// Requests of this daemon on a replica that have no first token yet. From this number on, requests limited to the daemon's
// share wait in the daemon's queue, where they can still be sent to another replica or refused in time.
constexpr std::uint32_t MaxAwaitingFirstToken = 1;
}

Choice CorrectedTwoChoicesChooser::choose(std::span<TrackedReplica *const> candidates, const ChoiceRequest &request, RandomGenerator &random)
{
    Choice choice;
    if (candidates.empty()) {
        return choice;
    }
    choice.entry = chooseByPrefix(candidates, request, choice);
    if (!choice.entry) {
        choice.entry = chooseByTwoChoices(candidates, request, random, choice);
    }
    if (!choice.entry) {
        choice.entry = chooseByScan(candidates, request, random, choice);
    }
    return choice;
}

double CorrectedTwoChoicesChooser::load(const TrackedReplica &entry) const
{
    return entry.estimatedLoad();
}

bool CorrectedTwoChoicesChooser::hasFreeSlot(const TrackedReplica &entry, const ChoiceRequest &request) const
{
    const double all = entry.trafficWeight() < 1 ? std::max(1.0, entry.slots() * entry.trafficWeight()) : entry.slots();
    const double usable = all - std::floor(request.headroomFraction * entry.slots() + entry.fleetRoundingOffset());
    if (load(entry) + 1 > usable) {
        return false;
    }
    if (request.isLimitedToDaemonShare && entry.awaitingFirstToken() >= MaxAwaitingFirstToken) {
        return false;
    }
    if (request.isLimitedToDaemonShare && entry.inFlight() + 1 > std::floor(usable * request.freeSlotShare + entry.daemonRoundingOffset())) {
        return false;
    }
    return !request.isLong || request.longSlotShare >= 1 || hasFreeLongSlot(entry, request);
}

bool CorrectedTwoChoicesChooser::hasFreeLongSlot(const TrackedReplica &entry, const ChoiceRequest &request) const
{
    const double usable = std::max(1.0, std::floor(request.longSlotShare * entry.slots() + entry.fleetRoundingOffset()));
    return entry.estimatedLong() + 1 <= usable
        && entry.inFlightLong() + 1 <= entry.longSlotLimit(usable, request.freeSlotShare) + entry.rotatingRoundingOffset();
}

double CorrectedTwoChoicesChooser::relativeLoad(const TrackedReplica &entry) const
{
    return (load(entry) + 1) / entry.slots();
}

TrackedReplica *CorrectedTwoChoicesChooser::chooseByPrefix(std::span<TrackedReplica *const> candidates, const ChoiceRequest &request, Choice &choice) const
{
    const auto &prefixes = request.request.prefixHashes;
    if (prefixes.empty()) {
        return nullptr;
    }
    // The first prefix is often a system prompt that most requests share; the second one distinguishes conversations.
    const std::uint64_t key = prefixes[std::min<std::size_t>(1, prefixes.size() - 1)];
    TrackedReplica *holder = nullptr;
    TrackedReplica *owner = nullptr;
    std::uint64_t ownerScore = 0;
    for (TrackedReplica *entry : candidates) {
        const bool isUsable =
            entry->trafficWeight() >= 1 && hasFreeSlot(*entry, request) && relativeLoad(*entry) <= AffinityLoadFactor * request.meanRelativeLoad;
        if (!isUsable) {
            continue;
        }
        const bool isHolder = std::find(request.prefixHolders.begin(), request.prefixHolders.end(), entry->idHash()) != request.prefixHolders.end();
        if (isHolder && (!holder || load(*entry) < load(*holder))) {
            holder = entry;
        }
        const std::uint64_t score = rendezvousScore(entry->idHash(), key);
        if (!owner || score > ownerScore) {
            owner = entry;
            ownerScore = score;
        }
    }
    TrackedReplica *chosen = holder ? holder : owner;
    if (chosen) {
        choice.reason = holder ? "holds the longest cached prefix" : "owns the prefix by rendezvous hashing";
        choice.considered.push_back(chosen);
    }
    return chosen;
}

TrackedReplica *CorrectedTwoChoicesChooser::chooseByTwoChoices(std::span<TrackedReplica *const> candidates,
                                                               const ChoiceRequest &request,
                                                               RandomGenerator &random,
                                                               Choice &choice) const
{
    std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
    std::uniform_real_distribution<double> chance(0, 1);
    TrackedReplica *best = nullptr;
    for (unsigned sample = 0; sample < SampledReplicas; ++sample) {
        TrackedReplica *entry = candidates[index(random)];
        const bool isAllowed = entry->trafficWeight() >= 1 || chance(random) < entry->trafficWeight();
        choice.considered.push_back(entry);
        if (isAllowed && hasFreeSlot(*entry, request) && (!best || relativeLoad(*entry) < relativeLoad(*best))) {
            best = entry;
        }
    }
    choice.reason = "less loaded of two";
    return best;
}

TrackedReplica *CorrectedTwoChoicesChooser::chooseByScan(std::span<TrackedReplica *const> candidates,
                                                         const ChoiceRequest &request,
                                                         RandomGenerator &random,
                                                         Choice &choice) const
{
    std::vector<TrackedReplica *> withFreeSlot;
    for (const bool isHealthy : {true, false}) {
        for (TrackedReplica *entry : candidates) {
            if ((entry->trafficWeight() >= 1) == isHealthy && hasFreeSlot(*entry, request)) {
                withFreeSlot.push_back(entry);
            }
        }
        if (!withFreeSlot.empty()) {
            break;
        }
    }
    if (withFreeSlot.empty()) {
        return nullptr;
    }
    // All daemons would choose the same least loaded replica until the next load report and overload it together.
    std::uniform_int_distribution<std::size_t> index(0, withFreeSlot.size() - 1);
    TrackedReplica *first = withFreeSlot[index(random)];
    TrackedReplica *second = withFreeSlot[index(random)];
    TrackedReplica *best = relativeLoad(*second) < relativeLoad(*first) ? second : first;
    choice.reason = "less loaded of two with a free slot";
    choice.considered.push_back(best);
    return best;
}

}
