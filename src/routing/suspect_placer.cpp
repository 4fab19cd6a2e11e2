#include "routing/suspect_placer.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{

constexpr std::size_t MaxIsolatedDivisor = 3;
// A replica that is set aside becomes idle when its short requests end; a suspect does not wait for long ones.
constexpr Duration IsolationWait = milliseconds(500);

ReplicaEntry *leastLoadedWithoutSuspect(std::span<ReplicaEntry *const> candidates)
{
    ReplicaEntry *best = nullptr;
    for (ReplicaEntry *entry : candidates) {
        const bool isFree = !entry->isIsolated() && entry->suspects() == 0;
        if (isFree && (!best || entry->estimatedLoad() < best->estimatedLoad())) {
            best = entry;
        }
    }
    return best;
}

Choice chosen(ReplicaEntry *entry, std::string_view reason)
{
    return {entry, reason, {entry}};
}

}

Choice SuspectPlacer::place(RequestRecord &record,
                            std::span<ReplicaEntry *const> candidates,
                            const ReplicaBook &book,
                            const Quarantine &quarantine,
                            TimePoint now) const
{
    if (candidates.empty() || quarantine.isRunning(record.request.fingerprint)) {
        return {};
    }
    if (record.reserved && std::find(candidates.begin(), candidates.end(), record.reserved.get()) == candidates.end()) {
        abandon(record);
    }
    const auto isolated =
        static_cast<std::size_t>(std::count_if(candidates.begin(), candidates.end(), [](const ReplicaEntry *entry) { return entry->isIsolated(); }));
    const std::size_t allowed = candidates.size() / MaxIsolatedDivisor;
    ReplicaEntry *free = leastLoadedWithoutSuspect(candidates);
    if (!record.reserved && isolated < allowed && free) {
        record.reserved = book.find(free->id());
        record.reserved->setIsolated(true);
    }
    const bool hasWaited = now - record.submittedAt >= IsolationWait;
    if (record.reserved) {
        ReplicaEntry *entry = record.reserved.get();
        if (entry->estimatedLoad() < 1) {
            return chosen(entry, "crash suspect, alone");
        }
        return hasWaited && entry->estimatedLoad() + 1 <= entry->slots() ? chosen(entry, "crash suspect, replica still busy") : Choice{};
    }
    const bool mayShare = (hasWaited || allowed == 0) && free && free->estimatedLoad() + 1 <= free->slots();
    return mayShare ? chosen(free, "crash suspect, no replica to set aside") : Choice{};
}

void SuspectPlacer::start(RequestRecord &record, Quarantine &quarantine)
{
    record.isSuspect = true;
    record.entry->addSuspect();
    quarantine.setRunning(record.request.fingerprint, true);
}

void SuspectPlacer::stop(RequestRecord &record, Quarantine &quarantine)
{
    record.entry->removeSuspect();
    quarantine.setRunning(record.request.fingerprint, false);
    abandon(record);
}

void SuspectPlacer::abandon(RequestRecord &record)
{
    if (record.reserved) {
        record.reserved->setIsolated(false);
        record.reserved.reset();
    }
}

}
