#pragma once

#include "idempotency/peer_claims.h"
#include "membership/peer_calls.h"

#include <optional>

namespace carawaypoint
{

/// PeerClaims that sends its requests to the owners of claims over the peer protocol. Used on the control thread.
class RpcPeerClaims : public PeerClaims
{
public:
    /// @param findMember returns the record of a member; empty for an unknown member.
    RpcPeerClaims(PeerCalls &peers, std::function<std::optional<MemberRecord>(const MemberId &)> findMember)
        : peers_(peers)
        , findMember_(std::move(findMember))
    {
    }

    void relinquish(const ClaimReference &claim, Handler handler) override;

private:
    PeerCalls &peers_;
    std::function<std::optional<MemberRecord>(const MemberId &)> findMember_;
};

}
