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

/// Between reports. A replica's requests change by a few in this time.
constexpr Duration Interval = milliseconds(150);
/// After which a report is left out of sums, as its gateway may be gone.
constexpr Duration ReportTimeout = seconds(1);

/// Mean age of counts that come through relays: half an interval at the gateway and at each relay, less where two relays send.
constexpr Duration RelayedCountAge = milliseconds(250);

/// Loads without what @p own contributes to them.
std::vector<BackendLoad> subtract(std::vector<BackendLoad> loads, std::span<const BackendLoad> own)
{
    std::unordered_map<VmId, const BackendLoad *> byServer;
    for (const auto &load : own) {
        byServer.emplace(load.server, &load);
    }
    for (auto &load : loads) {
        if (const auto found = byServer.find(load.server); found != byServer.end()) {
            load.requests -= std::min(load.requests, found->second->requests);
            load.unreadTokens -= std::min(load.unreadTokens, found->second->unreadTokens);
        }
    }
    return loads;
}

void addLoads(std::unordered_map<VmId, BackendLoad> &sums, std::span<const BackendLoad> loads)
{
    for (const auto &load : loads) {
        auto &sum = sums[load.server];
        sum.server = load.server;
        sum.add(load);
    }
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
        auto receive = [this](std::span<const std::byte> bytes) {
            if (auto report = decodeReport(bytes)) {
                apply(*std::move(report));
            }
        };
        asio::co_spawn(context_.io, receiveDatagrams(socket_, MaxReportBytes, std::move(receive)), asio::detached);
        asio::co_spawn(context_.io, sendAll(), asio::detached);
    }
    return error;
}

void LoadExchange::setPeers(std::span<const PeerGateway> peers)
{
    plan_ = RelayPlan(context_.settings.id, context_.settings.zone, peers);
    context_.countAge = plan_.isDirect() ? Duration() : RelayedCountAge;
}

void LoadExchange::stop()
{
    boost::system::error_code ignored;
    socket_.close(ignored);
    timer_.cancel();
}

void LoadExchange::apply(GatewayLoadReport report)
{
    auto &peer = seen_[report.gateway];
    const bool isNewer = report.process > peer.process || (report.process == peer.process && report.sequence > peer.sequence);
    if (!isNewer || report.gateway == context_.settings.id) {
        return;
    }
    peer = {report.process, report.sequence};
    hasSeenTraffic_ = hasSeenTraffic_ || report.requestsBegun > 0;
    if (!report.zone.isEmpty()) {
        applySum(std::move(report));
        return;
    }
    if (plan_.isRelay()) {
        zoneReports_[report.gateway] = {report, context_.now()};
        context_.demand.noteReport(report.gateway.str(), report.requestsBegun, context_.now());
    }
    context_.book.setPeerLoads(report.gateway, std::move(report.loads), context_.now());
}

void LoadExchange::applySum(GatewayLoadReport report)
{
    const bool isOwnZone = report.zone == context_.settings.zone;
    // A relay has the reports of its zone themselves.
    if (plan_.isDirect() || (isOwnZone && plan_.isRelay())) {
        return;
    }
    if (plan_.isRelay()) {
        otherSums_[report.zone] = {report, context_.now()};
    }
    const MemberId source("zone." + report.zone.str());
    context_.demand.noteReport(source.str(), report.requestsBegun, context_.now());
    auto loads = isOwnZone ? subtract(std::move(report.loads), context_.book.ownLoads()) : std::move(report.loads);
    context_.book.setPeerLoads(source, std::move(loads), context_.now());
}

GatewayLoadReport LoadExchange::zoneSum() const
{
    std::unordered_map<VmId, BackendLoad> sums;
    GatewayLoadReport sum;
    sum.zone = context_.settings.zone;
    sum.requestsBegun = context_.requestsBegun;
    addLoads(sums, context_.book.ownLoads());
    for (const auto &[gateway, received] : zoneReports_) {
        if (context_.now() - received.at < ReportTimeout) {
            addLoads(sums, received.report.loads);
            sum.requestsBegun += received.report.requestsBegun;
        }
    }
    for (auto &[server, load] : sums) {
        sum.loads.push_back(std::move(load));
    }
    return sum;
}

void LoadExchange::sendSums()
{
    const auto sum = zoneSum();
    send(sum, plan_.zonePeers());
    send(sum, plan_.otherRelays());
    for (const auto &[zone, received] : otherSums_) {
        if (context_.now() - received.at < ReportTimeout) {
            send(received.report, plan_.zonePeers());
        }
    }
}

void LoadExchange::send(const GatewayLoadReport &report, std::span<const PeerGateway> receivers)
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
}

asio::awaitable<void> LoadExchange::sendAll()
{
    while (socket_.is_open()) {
        timer_.expires_after(Interval);
        const auto [stopped] = co_await timer_.async_wait(UseResult);
        if (stopped) {
            break;
        }
        hasSeenTraffic_ = hasSeenTraffic_ || context_.requestsBegun > 0;
        GatewayLoadReport own;
        own.loads = context_.book.ownLoads();
        own.requestsBegun = context_.requestsBegun;
        send(own, plan_.reportReceivers());
        if (plan_.isRelay()) {
            sendSums();
        }
    }
}

}
