#include "routing/least_requests_chooser.h"

#include <algorithm>

namespace carawaypoint
{

Choice LeastRequestsChooser::choose(std::span<TrackedReplica *const> candidates, const ChoiceRequest &, RandomGenerator &)
{
    const auto least =
        std::min_element(candidates.begin(), candidates.end(), [this](const TrackedReplica *a, const TrackedReplica *b) { return load(*a) < load(*b); });
    if (least == candidates.end() || load(**least) >= (*least)->slots()) {
        return {};
    }
    return {*least, "fewest requests reported", {*least}};
}

double LeastRequestsChooser::load(const TrackedReplica &entry) const
{
    const double reported = entry.view() ? entry.view()->load.running + entry.view()->load.queued : 0;
    return std::max<double>(entry.inFlight(), reported);
}

}
