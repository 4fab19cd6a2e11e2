#include "daemon/rpc_former_controller_client.h"

namespace carawaypoint
{

void RpcFormerControllerClient::confirmNoOrdersInFlight(const ControllerRef &former, const DomainKey &domain, std::uint64_t presentEpoch, ReplyHandler handler)
{
    const PeerTarget target{former.daemon, former.process, former.peerAddress};
    peers_.confirmNoOrdersInFlight(target, domain, presentEpoch, [handler = std::move(handler)](const PeerReply &reply, bool isConfirmed) {
        if (reply.error) {
            handler(reply.error, FormerControllerReply::OrdersInFlight);
        } else if (reply.isOtherProcess) {
            handler({}, FormerControllerReply::ProcessEnded);
        } else {
            handler({}, isConfirmed ? FormerControllerReply::NoOrdersInFlight : FormerControllerReply::OrdersInFlight);
        }
    });
}

}
