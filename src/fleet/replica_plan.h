#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace carawaypoint
{

enum class PlanPhase : std::uint8_t {
    Joining, // members load and join
    Opening, // the head was told to serve
    Serving,
    Draining, // the head ends what runs, since a member leaves
    Ending, // a member is lost; the head has to be out of the replica before others may take its members
    Retired, // the head cannot serve under this epoch any more; members are free
};

std::string_view planPhaseName(PlanPhase phase);

struct PlannedMember {
    VmId id;
    Endpoint address;
    std::uint64_t startedAt = 0;
    bool isCold = false; // loads from the weight store
    bool isSeen = false; // reported this replica and epoch at least once
    TimePoint orderedAt{};
};

/// One replica as the controller drives it.
struct ReplicaPlan {
    ReplicaId id{};
    std::uint64_t epoch = 0;
    ServiceId service{};
    FabricDomainId domain{};
    ModelId model{};
    std::vector<PlannedMember> members{}; // by rank; a member that was never seen has an empty id
    PlanPhase phase = PlanPhase::Joining;
    bool isAdopted = false; // made from what servers report, so orders of a former holder of the lease may be on their way
    TimePoint phaseSince{};
    TimePoint orderedAt{}; // last order of the phase to the head
    TimePoint listedAt{}; // while ending: when a member was last listed
    TimePoint graceUntil{}; // members that are not listed may come back until then
    std::optional<TimePoint> memberLeftAt{}; // a member confirmed that it left, so the head breaks within the stall time

    PlannedMember &head()
    {
        return members.front();
    }
};

}
