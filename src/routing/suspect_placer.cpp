#include "routing/suspect_placer.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{

constexpr std::size_t MaxIsolatedDivisor = 3; // at most one third of the replicas
// An isolated replica becomes idle when its short requests end; a suspect does not wait for its long requests.
constexpr Duration MaxIsolationWait = milliseconds(500);

TrackedReplica *leastLoadedWithoutSuspect(std::span<TrackedReplica *const> candidates)
{
    TrackedReplica *best = nullptr;
    for (TrackedReplica *entry : candidates) {
        const bool isFree = !entry->isIsolated() && entry->runningSuspects() == 0;
        if (isFree && (!best || entry->estimatedLoad() < best->estimatedLoad())) {
            best = entry;
        }
    }
    return best;
}

Choice makeChoice(TrackedReplica *entry, std::string_view reason)
{
    return {entry, reason, {entry}};
}

}

Choice SuspectPlacer::place(RequestRecord &record,
                            std::span<TrackedReplica *const> candidates,
                            const ReplicaTable &replicaTable,
                            const Quarantine &quarantine,
                            TimePoint now) const
{
    if (candidates.empty() || quarantine.isRunning(record.request.fingerprint)) {
        return {};
    }
    if (record.reservedReplica && std::find(candidates.begin(), candidates.end(), record.reservedReplica.get()) == candidates.end()) {
        releaseReservedReplica(record);
    }
    const auto isolated =
        static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), [](const TrackedReplica *entry) { return entry->isIsolated(); }));
    const std::size_t maxIsolated = candidates.size() / MaxIsolatedDivisor;
    TrackedReplica *freeReplica = leastLoadedWithoutSuspect(candidates);
    if (!record.reservedReplica && isolated < maxIsolated && freeReplica) {
        record.reservedReplica = replicaTable.find(freeReplica->id());
        record.reservedReplica->setIsolated(true);
    }
    const bool hasWaited = now - record.submittedAt >= MaxIsolationWait;
    if (record.reservedReplica) {
        TrackedReplica *entry = record.reservedReplica.get();
        if (entry->estimatedLoad() < 1) {
            return makeChoice(entry, "crash suspect, alone");
        }
        return hasWaited && entry->estimatedLoad() + 1 <= entry->slots() ? makeChoice(entry, "crash suspect, replica still busy") : Choice{};
    }
    const bool mayShare = (hasWaited || maxIsolated == 0) && freeReplica && freeReplica->estimatedLoad() + 1 <= freeReplica->slots();
    return mayShare ? makeChoice(freeReplica, "crash suspect, no replica to isolate") : Choice{};
}

void SuspectPlacer::startSuspect(RequestRecord &record, Quarantine &quarantine)
{
    record.isSuspect = true;
    record.entry->addSuspect();
    quarantine.setRunning(record.request.fingerprint, true);
}

void SuspectPlacer::endSuspect(RequestRecord &record, Quarantine &quarantine)
{
    record.entry->removeSuspect();
    quarantine.setRunning(record.request.fingerprint, false);
    releaseReservedReplica(record);
}

void SuspectPlacer::releaseReservedReplica(RequestRecord &record)
{
    if (record.reservedReplica) {
        record.reservedReplica->setIsolated(false);
        record.reservedReplica.reset();
    }
}

}
