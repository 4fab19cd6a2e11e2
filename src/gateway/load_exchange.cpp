#include "gateway/load_exchange.h"

#include "gateway/datagrams.h"
#include "observe/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <unordered_map>

namespace carawaypoint
{

namespace
{

/// A gateway that sends its reports this late has not received any for as long.
constexpr Duration LateReport = milliseconds(300);
/// Interval between reports with evidence of crashes, which changes seldom.
constexpr Duration EvidenceInterval = milliseconds(150);

/// Subtracts the requests and tokens in @p own from @p loads.
std::vector<BackendLoad> subtractLoads(std::vector<BackendLoad> loads, std::span<const BackendLoad> own)
{
    std::unordered_map<VmId, const BackendLoad *> byServer;
    for (const auto &load : own) {
        byServer.emplace(load.server, &load);
    }
    for (auto &load : loads) {
        if (const auto found = byServer.find(load.server); found != byServer.end()) {
            load.requests -= std::min(load.requests, found->second->requests);
            load.pendingPrefillTokens -= std::min(load.pendingPrefillTokens, found->second->pendingPrefillTokens);
        }
    }
    return loads;
}

}

LoadExchange::LoadExchange(GatewayContext &context, std::uint64_t process)
    : context_(context)
    , process_(process)
    , socket_(context.io)
    , timer_(context.io)
{
}

std::error_code LoadExchange::open(const Endpoint &endpoint)
{
    const auto error = openDatagramSocket(socket_, endpoint);
    if (!error) {
        auto receive = [this](std::span<const std::byte> bytes, const Endpoint &sender) {
            if (auto report = decodeReport(bytes)) {
                applyReport(*std::move(report), sender);
            }
        };
        asio::co_spawn(context_.io, receiveDatagrams(socket_, MaxReportBytes, std::move(receive)), asio::detached);
        asio::co_spawn(context_.io, sendReports(), asio::detached);
    }
    return error;
}

PeerGateway LoadExchange::self() const
{
    const auto &settings = context_.settings;
    return {settings.id, settings.zone, settings.peer, settings.changes, settings.linkMbps};
}

void LoadExchange::setPeers(std::span<const PeerGateway> peers)
{
    peers_.assign(peers.begin(), peers.end());
    makePlan(context_.now());
}

void LoadExchange::makePlan(TimePoint now)
{
    const bool wasRelay = relayPlan_.isRelay();
    const auto isListed = [this](const MemberId &id) {
        const auto &receivers = relayPlan_.reportReceivers();
        return std::any_of(receivers.begin(), receivers.end(), [&id](const PeerGateway &peer) { return peer.id == id; });
    };
    relayPlan_ = RelayPlan(self(), peers_, {.silent = liveness_.silentRelays(), .substitutes = 0});
    // Unlisted relays take the places of relays that have ended, so that the gateways without newer knowledge need not do so.
    const auto substitutes = static_cast<std::size_t>(std::count_if(unlistedRelays_.begin(), unlistedRelays_.end(), [&](const auto &entry) {
        return entry.second.zone == context_.settings.zone && !isListed(entry.first);
    }));
    if (substitutes > 0) {
        relayPlan_ = RelayPlan(self(), peers_, {.silent = liveness_.silentRelays(), .substitutes = substitutes});
    }
    std::vector<MemberId> relays;
    for (const auto &relay : relayPlan_.reportReceivers()) {
        relays.push_back(relay.id);
    }
    if (relayPlan_.isDirect()) {
        context_.countAge.setCurrent();
        relays.clear();
    } else if (context_.countAge.at(now) == Duration{}) {
        context_.countAge.set(InitialCountAge, now);
    }
    liveness_.expect(relays, now);
    if (relayPlan_.isRelay() != wasRelay) {
        // Relays get single reports and the others sums of them, which would count the same requests twice until the former expire.
        context_.loadTracker.dropPeerLoads();
        logDecision("load exchange", context_.settings.id.str(), relayPlan_.isRelay() ? "relay" : "no relay", "relays of the zone have changed",
                    {{"silent", static_cast<std::uint64_t>(liveness_.silentRelays().size())}});
    }
}

void LoadExchange::stop()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
}

void LoadExchange::applyReport(GatewayLoadReport report, const Endpoint &sender)
{
    auto &latest = latestReports_[report.gateway];
    const bool isNewer = report.process > latest.process || (report.process == latest.process && report.sequence > latest.sequence);
    if (!isNewer || report.gateway == context_.settings.id) {
        return;
    }
    latest = {report.process, report.sequence};
    hasSeenTraffic_ = hasSeenTraffic_ || report.requestsStarted > 0;
    context_.quarantine.merge(report.gateway, report.crashEvidence, context_.now());
    liveness_.recordMessage(report.gateway, context_.now());
    if (!report.zone.isEmpty()) {
        recordRelay(report, sender);
        applySum(std::move(report));
        return;
    }
    if (relayPlan_.isRelay()) {
        sums_.setReport(report, context_.now());
        context_.demand.recordReport(report.gateway.str(), report.requestsStarted, context_.now());
    }
    unmetLoads_[report.gateway] = {report.unmet, context_.now()};
    context_.loadTracker.setPeerLoads(report.gateway, std::move(report.loads), context_.now());
}

void LoadExchange::recordRelay(const GatewayLoadReport &sum, const Endpoint &sender)
{
    const auto isSender = [&sum](const PeerGateway &peer) {
        return peer.id == sum.gateway;
    };
    const auto &own = relayPlan_.reportReceivers();
    const auto &others = relayPlan_.otherZoneRelays();
    if (std::any_of(own.begin(), own.end(), isSender) || std::any_of(others.begin(), others.end(), isSender)) {
        unlistedRelays_.erase(sum.gateway);
        return;
    }
    const bool isNew = unlistedRelays_.insert_or_assign(sum.gateway, UnlistedRelay{sender, sum.zone, context_.now()}).second;
    if (isNew) {
        makePlan(context_.now());
    }
}

void LoadExchange::updateRelays(TimePoint now)
{
    const bool isLate = updatedAt_ != TimePoint{} && now - updatedAt_ > LateReport;
    updatedAt_ = now;
    if (isLate) {
        liveness_.restart(now);
    }
    const auto gone = std::erase_if(unlistedRelays_, [&](const auto &entry) { return now - entry.second.heardAt >= RelayLiveness::SilenceTimeout; });
    if (liveness_.update(now) || gone > 0) {
        makePlan(now);
    }
}

std::vector<Endpoint> LoadExchange::unlistedRelays(bool isOwnZone) const
{
    std::vector<Endpoint> addresses;
    for (const auto &[id, relay] : unlistedRelays_) {
        if ((relay.zone == context_.settings.zone) == isOwnZone) {
            addresses.push_back(relay.address);
        }
    }
    return addresses;
}

void LoadExchange::applySum(GatewayLoadReport report)
{
    // The sum of the fleet includes this gateway's own zone, and so its own requests.
    const bool isOwnZone = report.zone == context_.settings.zone || report.isFleetSum;
    // A relay receives the individual reports of its zone.
    if (relayPlan_.isDirect() || (isOwnZone && relayPlan_.isRelay())) {
        return;
    }
    if (relayPlan_.isRelay()) {
        sums_.setZoneSum(report, context_.now());
    } else if (report.isFleetSum) {
        context_.countAge.set(report.countAge, context_.now());
    }
    const MemberId source(report.isFleetSum ? "fleet" : "zone." + report.zone.str());
    unmetLoads_[source] = {report.unmet, context_.now()};
    context_.demand.recordReport(source.str(), report.requestsStarted, context_.now());
    auto loads = isOwnZone ? subtractLoads(std::move(report.loads), context_.loadTracker.ownLoads()) : std::move(report.loads);
    context_.loadTracker.setPeerLoads(source, std::move(loads), context_.now());
}

FleetLoad LoadExchange::fleetLoad() const
{
    FleetLoad result;
    if (!context_.snapshot || !context_.snapshot->config()) {
        return result;
    }
    auto unmet = context_.demand.unmetLoads(context_.now());
    for (const auto &[source, received] : unmetLoads_) {
        if (context_.now() - received.at < LoadSums::ReportTimeout) {
            addUnmet(unmet, received.loads);
        }
    }
    for (const auto &[id, service] : context_.snapshot->config()->services) {
        if (!service.engine) {
            continue;
        }
        for (const auto &model : service.engine->models) {
            ModelLoad load{id, model.id, 0, 0};
            for (const auto &target : context_.snapshot->targets(id, model.id)) {
                const auto requests = context_.loadTracker.requestsAt(target.server);
                result.requestsByHead[target.server] = requests;
                load.requests += requests;
            }
            for (const auto &each : unmet) {
                load.unmetRequests += each.pool == ServerPool(id, model.id) ? each.requests : 0;
            }
            result.models.push_back(std::move(load));
        }
    }
    return result;
}

GatewayLoadReport LoadExchange::ownReport(TimePoint now)
{
    GatewayLoadReport own;
    own.loads = context_.loadTracker.ownLoads();
    std::sort(own.loads.begin(), own.loads.end(), [](const BackendLoad &left, const BackendLoad &right) { return left.server < right.server; });
    own.requestsStarted = context_.requestsStarted;
    own.unmet = context_.demand.unmetLoads(now);
    if (now - evidenceAt_ >= EvidenceInterval) {
        evidenceAt_ = now;
        own.crashEvidence = context_.quarantine.evidenceForReport(now);
    }
    return own;
}

bool LoadExchange::isDue(const GatewayLoadReport &report, TimePoint now) const
{
    const bool isSame = report.requestsStarted == reportedRequests_ && report.crashEvidence.empty() && report.loads == reportedLoads_;
    return !isSame || now - reportedAt_ >= IdleReportInterval;
}

void LoadExchange::sendSums(GatewayLoadReport own)
{
    own.zone = context_.settings.zone;
    const auto zoneSum = sums_.zoneSum(own, context_.now());
    const auto fleetSum = sums_.fleetSum(zoneSum, context_.now());
    context_.countAge.set(fleetSum.countAge, context_.now());
    send(zoneSum, relayPlan_.otherZoneRelays(), unlistedRelays(false));
    send(fleetSum, relayPlan_.zonePeers());
}

void LoadExchange::send(const GatewayLoadReport &report, std::span<const PeerGateway> receivers, std::span<const Endpoint> others)
{
    auto message = report;
    message.gateway = context_.settings.id;
    message.process = process_;
    message.sequence = ++sequence_;
    const auto bytes = encodeReport(message);
    if (bytes.size() > MaxReportBytes) {
        logLine(LogLevel::Warning, "load report is too large to send", {{"bytes", static_cast<std::uint64_t>(bytes.size())}});
        return;
    }
    for (const auto &receiver : receivers) {
        sendDatagram(socket_, bytes, receiver.address);
    }
    for (const auto &receiver : others) {
        sendDatagram(socket_, bytes, receiver);
    }
}

asio::awaitable<void> LoadExchange::sendReports()
{
    while (socket_.is_open()) {
        timer_.expires_after(ReportInterval);
        const auto [stopped] = co_await timer_.async_wait(UseResult);
        if (stopped) {
            break;
        }
        hasSeenTraffic_ = hasSeenTraffic_ || context_.requestsStarted > 0;
        const auto now = context_.now();
        updateRelays(now);
        auto own = ownReport(now);
        if (isDue(own, now)) {
            reportedAt_ = now;
            reportedLoads_ = own.loads;
            reportedRequests_ = own.requestsStarted;
            send(own, relayPlan_.reportReceivers(), unlistedRelays(true));
        }
        // The relays of a zone send in turn, so that their number does not multiply what the other gateways receive.
        if (relayPlan_.isRelay() && ++rounds_ % RelayPlan::RelaysPerZone == relayPlan_.relayRank()) {
            sendSums(std::move(own));
        }
    }
}

}
