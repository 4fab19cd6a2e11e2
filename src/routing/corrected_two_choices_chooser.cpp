#include "routing/corrected_two_choices_chooser.h"

#include "routing/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace carawaypoint
{

namespace
{
// A replica that caches the prefix is used up to this much above the mean load.
constexpr double AffinityLoadFactor = 1.25;
constexpr unsigned Samples = 2;
// Own requests without a first token on a replica, above which work above its share waits in the daemon: there it can still
// be placed elsewhere or refused in time.
constexpr std::uint32_t MaxStarting = 1;
}

Choice CorrectedTwoChoicesChooser::choose(std::span<ReplicaEntry *const> candidates, const ChoiceRequest &request, RandomGenerator &random)
{
    Choice choice;
    if (candidates.empty()) {
        return choice;
    }
    choice.entry = byPrefix(candidates, request, choice);
    if (!choice.entry) {
        choice.entry = byTwoChoices(candidates, request, random, choice);
    }
    if (!choice.entry) {
        choice.entry = byScan(candidates, request, random, choice);
    }
    return choice;
}

double CorrectedTwoChoicesChooser::load(const ReplicaEntry &entry) const
{
    return entry.estimatedLoad();
}

bool CorrectedTwoChoicesChooser::hasRoom(const ReplicaEntry &entry, const ChoiceRequest &request) const
{
    const double all = entry.weight() < 1 ? std::max(1.0, entry.slots() * entry.weight()) : entry.slots();
    const double usable = all - std::floor(request.keepFree * entry.slots() + entry.fixedFraction());
    if (load(entry) + 1 > usable) {
        return false;
    }
    if (request.isElastic && entry.starting() >= MaxStarting) {
        return false;
    }
    if (request.isElastic && entry.inFlight() + 1 > std::floor(usable * request.claimShare + entry.daemonFraction())) {
        return false;
    }
    return !request.isLong || request.longShare >= 1 || hasRoomForLong(entry, request);
}

bool CorrectedTwoChoicesChooser::hasRoomForLong(const ReplicaEntry &entry, const ChoiceRequest &request) const
{
    const double usable = std::max(1.0, std::floor(request.longShare * entry.slots() + entry.fixedFraction()));
    return entry.estimatedLong() + 1 <= usable && entry.inFlightLong() + 1 <= entry.longClaimLimit(usable, request.claimShare) + entry.turnFraction();
}

double CorrectedTwoChoicesChooser::relativeLoad(const ReplicaEntry &entry) const
{
    return (load(entry) + 1) / entry.slots();
}

ReplicaEntry *CorrectedTwoChoicesChooser::byPrefix(std::span<ReplicaEntry *const> candidates, const ChoiceRequest &request, Choice &choice) const
{
    const auto &prefixes = request.request.prefixHashes;
    if (prefixes.empty()) {
        return nullptr;
    }
    // The first prefix is often a system prompt that most requests share; the second one tells conversations apart.
    const std::uint64_t key = prefixes[std::min<std::size_t>(1, prefixes.size() - 1)];
    ReplicaEntry *holder = nullptr;
    ReplicaEntry *owner = nullptr;
    std::uint64_t ownerScore = 0;
    for (ReplicaEntry *entry : candidates) {
        const bool isUsable = entry->weight() >= 1 && hasRoom(*entry, request) && relativeLoad(*entry) <= AffinityLoadFactor * request.meanRelativeLoad;
        if (!isUsable) {
            continue;
        }
        const bool isHolder = std::find(request.holders.begin(), request.holders.end(), entry->idHash()) != request.holders.end();
        if (isHolder && (!holder || load(*entry) < load(*holder))) {
            holder = entry;
        }
        const std::uint64_t score = rendezvousScore(entry->idHash(), key);
        if (!owner || score > ownerScore) {
            owner = entry;
            ownerScore = score;
        }
    }
    ReplicaEntry *chosen = holder ? holder : owner;
    if (chosen) {
        choice.reason = holder ? "holds the longest cached prefix" : "owns the prefix by rendezvous hashing";
        choice.considered.push_back(chosen);
    }
    return chosen;
}

ReplicaEntry *
CorrectedTwoChoicesChooser::byTwoChoices(std::span<ReplicaEntry *const> candidates, const ChoiceRequest &request, RandomGenerator &random, Choice &choice) const
{
    std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
    std::uniform_real_distribution<double> chance(0, 1);
    ReplicaEntry *best = nullptr;
    for (unsigned sample = 0; sample < Samples; ++sample) {
        ReplicaEntry *entry = candidates[index(random)];
        const bool isAllowed = entry->weight() >= 1 || chance(random) < entry->weight();
        choice.considered.push_back(entry);
        if (isAllowed && hasRoom(*entry, request) && (!best || relativeLoad(*entry) < relativeLoad(*best))) {
            best = entry;
        }
    }
    choice.reason = "less loaded of two";
    return best;
}

ReplicaEntry *
CorrectedTwoChoicesChooser::byScan(std::span<ReplicaEntry *const> candidates, const ChoiceRequest &request, RandomGenerator &random, Choice &choice) const
{
    std::vector<ReplicaEntry *> withRoom;
    for (const bool isHealthy : {true, false}) {
        for (ReplicaEntry *entry : candidates) {
            if ((entry->weight() >= 1) == isHealthy && hasRoom(*entry, request)) {
                withRoom.push_back(entry);
            }
        }
        if (!withRoom.empty()) {
            break;
        }
    }
    if (withRoom.empty()) {
        return nullptr;
    }
    // The least loaded of all would be the same for all daemons until the next report, and they would overload it together.
    std::uniform_int_distribution<std::size_t> index(0, withRoom.size() - 1);
    ReplicaEntry *first = withRoom[index(random)];
    ReplicaEntry *second = withRoom[index(random)];
    ReplicaEntry *best = relativeLoad(*second) < relativeLoad(*first) ? second : first;
    choice.reason = "less loaded of two with room";
    choice.considered.push_back(best);
    return best;
}

}
