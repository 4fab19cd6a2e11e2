#include "daemon/rpc_peer_claims.h"

namespace carawaypoint
{

namespace
{

RelinquishResult toResult(const PeerReply &reply, RelinquishOutcome outcome)
{
    if (reply.isOtherProcess) {
        return RelinquishResult::OwnerEnded;
    }
    if (reply.error) {
        return RelinquishResult::Unreachable;
    }
    // NotHeld means that the owner has finished the claim; its record on the platform holds the outcome.
    return outcome == RelinquishOutcome::Relinquished ? RelinquishResult::Relinquished : RelinquishResult::Refused;
}

}

void RpcPeerClaims::relinquish(const ClaimReference &claim, Handler handler)
{
    const auto member = findMember_(claim.owner.member);
    if (!member) {
        handler(RelinquishResult::Unreachable);
        return;
    }
    const PeerTarget target{claim.owner.member, claim.owner.process, member->address};
    peers_.relinquishClaim(target, claim.service.str(), claim.key, claim.token,
                           [handler = std::move(handler)](const PeerReply &reply, RelinquishOutcome outcome) { handler(toResult(reply, outcome)); });
}

}
