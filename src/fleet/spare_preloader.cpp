#include "fleet/spare_preloader.h"

#include <string>

namespace carawaypoint
{

namespace
{

constexpr std::string_view Prefix = "spare-";

}

ReplicaId SparePreloader::replicaId(std::uint64_t epoch)
{
    return ReplicaId(std::string(Prefix) + std::to_string(epoch));
}

bool SparePreloader::isOwnReplica(const ReplicaId &replica)
{
    return replica.str().starts_with(Prefix);
}

ModelId SparePreloader::takeDue(const FreeServer &spare, const BackendServer &server, TimePoint now)
{
    auto &known = spares_.try_emplace(spare.id, Spare{.since = now, .seenAt = now, .orderedAt = {}}).first->second;
    known.seenAt = now;
    const bool hasLoaded = !spare.lastModel.isEmpty() || server.membership;
    const bool isOrdered = known.orderedAt && now - *known.orderedAt < RetryInterval;
    if (hasLoaded || isOrdered || spare.stagedModels.empty() || now - known.since < MinFreeTime) {
        return {};
    }
    known.orderedAt = now;
    return spare.stagedModels.front();
}

void SparePreloader::expire(TimePoint now)
{
    std::erase_if(spares_, [now](const auto &entry) { return entry.second.seenAt != now; });
}

}
