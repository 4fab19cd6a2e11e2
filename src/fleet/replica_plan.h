#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace carawaypoint
{

enum class PlanPhase : std::uint8_t {
    Joining, // members load the weights and join
    Opening, // the head was ordered to open
    Serving,
    Draining, // the head finishes its requests, since a member is leaving
    Ending, // a member is lost; its members may be reused only after the head cannot serve any more
    Retired, // the head cannot serve under this epoch any more; the members are free
};

std::string_view planPhaseName(PlanPhase phase);

struct PlannedMember {
    VmId id;
    Endpoint address;
    std::uint64_t startedAt = 0;
    bool loadsFromStore = false; // the member loads the weights from the weight store
    bool isSeen = false; // it reported this replica and epoch at least once
    TimePoint lastOrderAt{}; // last order to this member
};

/// The controller's plan for one replica.
struct ReplicaPlan {
    ReplicaId id{};
    std::uint64_t epoch = 0;
    ServiceId service{};
    FabricDomainId domain{};
    ModelId model{};
    std::vector<PlannedMember> members{}; // by rank; the id of a member that is not known yet is empty
    PlanPhase phase = PlanPhase::Joining;
    bool isMoving = false; // draining because its servers are needed for another model
    bool isAdopted = false; // rebuilt from reports of servers, so orders of a former holder of the lease may still arrive
    TimePoint phaseSince{};
    TimePoint lastOrderAt{}; // last order of the phase to the head
    TimePoint lastRegisteredAt{}; // while ending: when a member was last registered
    TimePoint reregistrationDeadline{}; // members that are not registered may register again until then
    std::optional<TimePoint> memberLeftAt{}; // when a member confirmed that it left; the head breaks within stallTime after that

    PlannedMember &head()
    {
        return members.front();
    }
};

}
