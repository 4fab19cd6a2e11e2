#pragma once

#include "routing/prefix_index.h"
#include "routing/quarantine.h"
#include "routing/replica_book.h"
#include "routing/replica_chooser.h"
#include "routing/request_record.h"
#include "routing/suspect_placer.h"

#include <memory>
#include <string>
#include <vector>

namespace carawaypoint
{

/// Finds the replica for a request: own zone first, crash suspects apart, the rest by the selected strategy.
class ReplicaSelector
{
public:
    explicit ReplicaSelector(std::uint64_t seed);

    /// Selects the strategy by name; an unknown name changes nothing.
    void setStrategy(const std::string &name);
    /// What the state of the daemon's queues and shares means for a choice.
    struct Limits {
        double keepFree = 0; // part of a replica's slots that must stay free
        double claimShare = 1; // this daemon's part of free slots
        bool isElastic = false;
        bool capsLongWork = true;
    };
    Choice select(RequestRecord &record, const ReplicaBook &book, const Quarantine &quarantine, const Limits &limits, TimePoint now);
    double load(const ReplicaEntry &entry) const
    {
        return chooser_->load(entry);
    }
    PrefixIndex &prefixes()
    {
        return prefixes_;
    }

private:
    Choice
    selectFrom(const std::vector<ReplicaEntry *> &zone, const RequestRecord &record, const ReplicaBook &book, const ChoiceRequest &request, TimePoint now);
    std::span<ReplicaEntry *const> admissible(const std::vector<ReplicaEntry *> &zone, const RequestRecord &record, const ReplicaBook &book, TimePoint now);

    RandomGenerator random_;
    std::string name_;
    std::unique_ptr<ReplicaChooser> chooser_;
    PrefixIndex prefixes_;
    SuspectPlacer suspects_;
    std::vector<ReplicaEntry *> scratch_;
    std::vector<ReplicaEntry *> everyZone_;
};

}
