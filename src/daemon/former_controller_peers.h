#pragma once

#include "assignment/former_controller_client.h"
#include "membership/peer_calls.h"

namespace carawaypoint
{

/// Asks former controllers over the peer protocol.
class FormerControllerPeers : public FormerControllerClient
{
public:
    explicit FormerControllerPeers(PeerCalls &peers)
        : peers_(peers)
    {
    }

    void confirmNoOrdersInFlight(const ControllerRef &former, const DomainKey &domain, std::uint64_t presentEpoch, ReplyHandler handler) override;

private:
    PeerCalls &peers_;
};

}
