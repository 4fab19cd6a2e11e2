#include "routing/eligibility.h"

namespace carawaypoint
{

std::string_view ineligibilityReason(const ReplicaView &replica, TimePoint now, Duration observationBound)
{
    if (replica.isDraining) {
        return "draining";
    }
    if (replica.expectedMembers == 0 || replica.members.size() != replica.expectedMembers) {
        return "incomplete";
    }
    if (replica.slots == 0 || !replica.leader.isValid()) {
        return "no leader or no slots";
    }
    for (const ReplicaMemberView &member : replica.members) {
        if (member.isLeaving) {
            return "member leaving";
        }
        if (!member.isLoaded) {
            return "member not loaded";
        }
        if (!isMemberSeen(member, now, observationBound)) {
            return "member not seen";
        }
    }
    return {};
}

bool isReplicaEligible(const ReplicaView &replica, TimePoint now, Duration observationBound)
{
    return ineligibilityReason(replica, now, observationBound).empty();
}

}
