#include "routing/replica_selector.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{
constexpr const char *DefaultChooser = "corrected_two_choices";
}

ReplicaSelector::ReplicaSelector(std::uint64_t seed)
    : random_(seed)
    , name_(DefaultChooser)
    , chooser_(makeReplicaChooser(DefaultChooser))
{
}

void ReplicaSelector::setStrategy(const std::string &name)
{
    if (name == name_) {
        return;
    }
    if (auto chooser = makeReplicaChooser(name)) {
        chooser_ = std::move(chooser);
        name_ = name;
    }
}

Choice ReplicaSelector::select(RequestRecord &record, const ReplicaTable &replicaTable, const Quarantine &quarantine, const Limits &limits, TimePoint now)
{
    const ReplicaPool &pool = replicaTable.pool(record.request.model);
    if (quarantine.isSuspect(record.request.fingerprint)) {
        candidatesOfAllZones_ = pool.ownZone;
        candidatesOfAllZones_.insert(candidatesOfAllZones_.end(), pool.otherZones.begin(), pool.otherZones.end());
        std::erase_if(candidatesOfAllZones_, [&](const TrackedReplica *entry) {
            return std::find(record.excludedReplicas.begin(), record.excludedReplicas.end(), entry->id()) != record.excludedReplicas.end()
                || !replicaTable.isEligible(*entry, now);
        });
        return suspectPlacer_.place(record, candidatesOfAllZones_, replicaTable, quarantine, now);
    }
    ChoiceRequest request{.request = record.request,
                          .isLong = record.isLong,
                          .headroomFraction = limits.headroomFraction,
                          .freeSlotShare = limits.freeSlotShare,
                          .isLimitedToDaemonShare = limits.isLimitedToDaemonShare,
                          .longSlotShare = limits.limitsLongWork ? pool.longSlotShare : 1,
                          .meanRelativeLoad = pool.ownZoneRelativeLoad,
                          .prefixHolders = prefixIndex_.holdersOfLongestPrefix(record.request.prefixHashes)};
    Choice choice = selectFrom(pool.ownZone, record, replicaTable, request, now);
    if (!choice.entry) {
        request.meanRelativeLoad = pool.otherZonesRelativeLoad;
        choice = selectFrom(pool.otherZones, record, replicaTable, request, now);
    }
    return choice;
}

Choice ReplicaSelector::selectFrom(const std::vector<TrackedReplica *> &zone,
                                   const RequestRecord &record,
                                   const ReplicaTable &replicaTable,
                                   const ChoiceRequest &request,
                                   TimePoint now)
{
    const auto candidates = eligibleCandidates(zone, record, replicaTable, now);
    return candidates.empty() ? Choice{} : chooser_->choose(candidates, request, random_);
}

std::span<TrackedReplica *const>
ReplicaSelector::eligibleCandidates(const std::vector<TrackedReplica *> &zone, const RequestRecord &record, const ReplicaTable &replicaTable, TimePoint now)
{
    candidatesOfZone_.clear();
    for (TrackedReplica *entry : zone) {
        const bool isExcluded = std::find(record.excludedReplicas.begin(), record.excludedReplicas.end(), entry->id()) != record.excludedReplicas.end();
        if (!isExcluded && !entry->isIsolated() && replicaTable.isEligible(*entry, now)) {
            candidatesOfZone_.push_back(entry);
        }
    }
    return candidatesOfZone_;
}

}
