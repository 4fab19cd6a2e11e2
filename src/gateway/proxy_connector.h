#pragma once

#include "gateway/relay_plan.h"
#include "gateway/server_connector.h"

#include <map>
#include <random>
#include <span>
#include <vector>

namespace carawaypoint
{

/// Connects to servers through other gateways with HTTP CONNECT, which ConnectProxy answers. Used on the traffic thread only.
///
/// The gateway through which a connection leads only forwards its bytes: all that concerns a request, such as its deadline and its attempts, stays
/// with the gateway that has received it. It connects to the server itself, so that no connection leads through more than one gateway.
class ProxyConnector : public ServerConnector
{
public:
    ProxyConnector(const Clock &clock, std::mt19937_64 &random)
        : clock_(clock)
        , random_(random)
    {
    }

    void setPeers(std::span<const PeerGateway> peers, const ZoneId &ownZone);
    bool hasPeers() const
    {
        return !peers_.empty();
    }
    /// Tries some gateways in turn. Errors are those of the last one: connection_refused when it could not reach the server, and timed_out,
    /// connection_reset and host_unreachable (it is not a proxy for the server now) otherwise.
    asio::awaitable<std::error_code> connect(const ServingTarget &target, Duration timeout, BackendLink &link) override;

private:
    std::vector<PeerGateway> candidates(const ServingTarget &target);

    const Clock &clock_;
    std::mt19937_64 &random_;
    std::vector<PeerGateway> peers_;
    ZoneId ownZone_;
    std::map<MemberId, TimePoint> failedAt_; // gateways through which a connection failed recently
};

}
