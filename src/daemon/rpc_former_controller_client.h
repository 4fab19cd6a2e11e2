#pragma once

#include "assignment/former_controller_client.h"
#include "membership/peer_calls.h"

namespace carawaypoint
{

/// FormerControllerClient that sends its requests over the peer protocol.
class RpcFormerControllerClient : public FormerControllerClient
{
public:
    explicit RpcFormerControllerClient(PeerCalls &peers)
        : peers_(peers)
    {
    }

    void confirmNoOrdersInFlight(const ControllerRef &former, const DomainKey &domain, std::uint64_t presentEpoch, ReplyHandler handler) override;

private:
    PeerCalls &peers_;
};

}
