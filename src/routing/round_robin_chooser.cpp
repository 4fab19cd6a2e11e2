#include "routing/round_robin_chooser.h"

namespace carawaypoint
{

Choice RoundRobinChooser::choose(std::span<TrackedReplica *const> candidates, const ChoiceRequest &, RandomGenerator &)
{
    for (std::size_t tried = 0; tried < candidates.size(); ++tried) {
        TrackedReplica *entry = candidates[nextIndex_++ % candidates.size()];
        if (load(*entry) < entry->slots()) {
            return {entry, "next in turn", {entry}};
        }
    }
    return {};
}

double RoundRobinChooser::load(const TrackedReplica &entry) const
{
    return entry.inFlight();
}

}
