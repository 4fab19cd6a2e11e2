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

Choice ReplicaSelector::select(RequestRecord &record, const ReplicaBook &book, const Quarantine &quarantine, const Limits &limits, TimePoint now)
{
    const ReplicaPool &pool = book.pool(record.request.model);
    if (quarantine.isSuspect(record.request.fingerprint)) {
        everyZone_ = pool.ownZone;
        everyZone_.insert(everyZone_.end(), pool.otherZones.begin(), pool.otherZones.end());
        std::erase_if(everyZone_, [&](const ReplicaEntry *entry) {
            return std::find(record.excluded.begin(), record.excluded.end(), entry->id()) != record.excluded.end() || !book.isEligible(*entry, now);
        });
        return suspects_.place(record, everyZone_, book, quarantine, now);
    }
    ChoiceRequest request{.request = record.request,
                          .isLong = record.isLong,
                          .keepFree = limits.keepFree,
                          .claimShare = limits.claimShare,
                          .isElastic = limits.isElastic,
                          .longShare = limits.capsLongWork ? pool.longShare : 1,
                          .meanRelativeLoad = pool.ownZoneLoad,
                          .holders = prefixes_.holdersOfLongest(record.request.prefixHashes)};
    Choice choice = selectFrom(pool.ownZone, record, book, request, now);
    if (!choice.entry) {
        request.meanRelativeLoad = pool.otherZonesLoad;
        choice = selectFrom(pool.otherZones, record, book, request, now);
    }
    return choice;
}

Choice ReplicaSelector::selectFrom(const std::vector<ReplicaEntry *> &zone,
                                   const RequestRecord &record,
                                   const ReplicaBook &book,
                                   const ChoiceRequest &request,
                                   TimePoint now)
{
    const auto candidates = admissible(zone, record, book, now);
    return candidates.empty() ? Choice{} : chooser_->choose(candidates, request, random_);
}

std::span<ReplicaEntry *const>
ReplicaSelector::admissible(const std::vector<ReplicaEntry *> &zone, const RequestRecord &record, const ReplicaBook &book, TimePoint now)
{
    scratch_.clear();
    for (ReplicaEntry *entry : zone) {
        const bool isExcluded = std::find(record.excluded.begin(), record.excluded.end(), entry->id()) != record.excluded.end();
        if (!isExcluded && !entry->isIsolated() && book.isEligible(*entry, now)) {
            scratch_.push_back(entry);
        }
    }
    return scratch_;
}

}
