#pragma once

#include "gateway/gateway_context.h"
#include "gateway/load_report_codec.h"
#include "gateway/load_sums.h"
#include "gateway/relay_liveness.h"
#include "gateway/relay_plan.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <system_error>
#include <vector>

namespace carawaypoint
{

/// Reports this gateway's requests at each server to other gateways by datagrams, and relays sums if RelayPlan makes it a relay. Used
/// on the traffic thread only.
///
/// Lost datagrams are tolerated: each carries the complete state, and the counts of a peer without reports expire.
///
/// A gateway reports to the relays that it knows of and to those that send sums to it. So a new relay gets the reports of its zone before the
/// other gateways have read the list of gateways again, and a relay that has ended is replaced although its record stays.
class LoadExchange
{
public:
    /// Interval between reports. Counts that are older by some tenths of a second let the gateways together overrun full replicas, where each request
    /// beyond the slots waits for another one's end.
    static constexpr Duration ReportInterval = milliseconds(40);
    /// Same while nothing has changed since the last report.
    static constexpr Duration IdleReportInterval = milliseconds(150);
    /// Mean age of counts that arrive through relays, until the first sum states it: half an interval at the gateway, and one at each relay, since
    /// the relays of a zone send in turn.
    static constexpr Duration InitialCountAge = milliseconds(100);

    /// @param process incarnation of this process; later processes have larger ones.
    LoadExchange(GatewayContext &context, std::uint64_t process);

    std::error_code open(const Endpoint &endpoint);
    void setPeers(std::span<const PeerGateway> peers);
    /// Whether any gateway has started a request.
    bool hasSeenTraffic() const
    {
        return hasSeenTraffic_;
    }
    void stop();
    /// Load of the fleet's models at this gateway's replicas and in the latest reports of others.
    FleetLoad fleetLoad() const;

private:
    /// Identifies the latest report of a gateway, so that older ones are ignored.
    struct ReportId {
        std::uint64_t process = 0;
        std::uint64_t sequence = 0;
    };

    asio::awaitable<void> sendReports();
    /// A relay that is not in the plan, by the sums that it sends.
    struct UnlistedRelay {
        Endpoint address;
        ZoneId zone;
        TimePoint heardAt{};
    };

    PeerGateway self() const;
    void applyReport(GatewayLoadReport report, const Endpoint &sender);
    void applySum(GatewayLoadReport report);
    void recordRelay(const GatewayLoadReport &sum, const Endpoint &sender);
    /// Detects relays that have ended or speak again, and adapts the plan.
    void updateRelays(TimePoint now);
    void makePlan(TimePoint now);
    std::vector<Endpoint> unlistedRelays(bool isOwnZone) const;
    GatewayLoadReport ownReport(TimePoint now);
    /// Whether the report differs from the last one, or that one was sent a while ago.
    bool isDue(const GatewayLoadReport &report, TimePoint now) const;
    /// At a relay: sends the sum of its zone to the other zones, and the sum of all zones to its own.
    void sendSums(GatewayLoadReport own);
    void send(const GatewayLoadReport &report, std::span<const PeerGateway> receivers, std::span<const Endpoint> others = {});

    GatewayContext &context_;
    std::uint64_t process_;
    std::uint64_t sequence_ = 0;
    asio::ip::udp::socket socket_;
    asio::steady_timer timer_;
    std::vector<PeerGateway> peers_;
    RelayPlan relayPlan_;
    RelayLiveness liveness_; // of the relays of the own zone
    std::map<MemberId, UnlistedRelay> unlistedRelays_;
    TimePoint updatedAt_{};
    TimePoint reportedAt_{}; // last own report
    std::vector<BackendLoad> reportedLoads_; // in the last own report, sorted by server
    std::uint64_t reportedRequests_ = 0; // started until the last own report
    TimePoint evidenceAt_{}; // last report with evidence of crashes
    struct ReceivedUnmet {
        std::vector<UnmetLoad> loads;
        TimePoint at{};
    };
    LoadSums sums_; // at a relay
    std::map<MemberId, ReportId> latestReports_;
    bool hasSeenTraffic_ = false;
    std::size_t rounds_ = 0; // own reports sent
    std::map<MemberId, ReceivedUnmet> unmetLoads_; // latest unmet loads, by gateway or by the source of a sum
};

}
