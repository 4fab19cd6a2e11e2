#pragma once

#include "gateway/gateway_context.h"
#include "gateway/load_report_codec.h"
#include "gateway/relay_plan.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <system_error>
#include <vector>

namespace carawaypoint
{

/// Tells the other gateways how many requests this one has at each server, by datagrams, and relays sums where RelayPlan says so.
/// Only the traffic thread uses it.
///
/// Lost datagrams do no harm: each carries the whole state, and a silent peer's counts lapse.
class LoadExchange
{
public:
    /// @param process incarnation of this process; later starts have larger ones.
    LoadExchange(GatewayContext &context, std::uint64_t process);

    std::error_code open(const Endpoint &endpoint);
    void setPeers(std::span<const PeerGateway> peers);
    /// Whether any gateway has begun a request.
    bool hasSeenTraffic() const
    {
        return hasSeenTraffic_;
    }
    void stop();

private:
    struct Peer {
        std::uint64_t process = 0;
        std::uint64_t sequence = 0;
    };

    asio::awaitable<void> sendAll();
    void apply(GatewayLoadReport report);
    void applySum(GatewayLoadReport report);
    void sendSums();
    GatewayLoadReport zoneSum() const;
    void send(const GatewayLoadReport &report, std::span<const PeerGateway> receivers);

    GatewayContext &context_;
    std::uint64_t process_;
    std::uint64_t sequence_ = 0;
    asio::ip::udp::socket socket_;
    asio::steady_timer timer_;
    RelayPlan plan_;
    struct Received {
        GatewayLoadReport report;
        TimePoint at{};
    };
    std::map<MemberId, Received> zoneReports_; // of gateways of the own zone, at a relay
    std::map<ZoneId, Received> otherSums_; // of other zones, at a relay
    std::map<MemberId, Peer> seen_;
    bool hasSeenTraffic_ = false;
};

}
