#pragma once

#include "gateway/proxy_connector.h"
#include "gateway/server_link_monitor.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <random>

namespace carawaypoint
{

/// This gateway's ways to the backend servers: directly, or through other gateways while its own links to all of them are lost. Used on the traffic
/// thread only.
class ServerLinks : public ServerConnector
{
public:
    using ChangeHandler = std::function<void(bool isCutOff)>;

    ServerLinks(const Clock &clock, std::mt19937_64 &random, ServerLinkMonitorSettings settings = {})
        : clock_(clock)
        , random_(random)
        , proxies_(clock, random)
        , monitor_(settings)
    {
    }

    /// Uses @p connector for connections that do not lead through other gateways.
    void setDirectConnector(std::unique_ptr<ServerConnector> connector)
    {
        direct_ = std::move(connector);
    }
    /// @p handler is called when isCutOff() has changed.
    void setChangeHandler(ChangeHandler handler)
    {
        onChange_ = std::move(handler);
    }
    void setPeers(std::span<const PeerGateway> peers, const ZoneId &ownZone)
    {
        proxies_.setPeers(peers, ownZone);
    }
    bool isCutOff() const
    {
        return monitor_.isCutOff();
    }
    /// Whether this gateway is finding out whether it is cut off: what it sees of servers meanwhile is no evidence against them.
    bool isChecking() const
    {
        return monitor_.isChecking();
    }
    ServerLinkMonitor &monitor()
    {
        return monitor_;
    }
    /// Starts a check of the links on @p io if one is due. @p snapshot may be null.
    void tick(asio::io_context &io, const FleetSnapshotPtr &snapshot);
    asio::awaitable<std::error_code> connect(const ServingTarget &target, Duration timeout, BackendLink &link) override;
    /// Whether @p target accepts a connection, asked of other gateways too if it accepts none from here. The connection is in @p link if it is direct.
    asio::awaitable<std::error_code> probe(const ServingTarget &target, Duration timeout, BackendLink &link);

private:
    asio::awaitable<void> check(std::vector<ServingTarget> targets);
    /// Returns whether one of @p targets accepts a connection by way of @p connector.
    asio::awaitable<bool> canReachAny(ServerConnector &connector, const std::vector<ServingTarget> &targets);

    const Clock &clock_;
    std::mt19937_64 &random_;
    std::unique_ptr<ServerConnector> direct_ = std::make_unique<DirectConnector>();
    ProxyConnector proxies_;
    ServerLinkMonitor monitor_;
    ChangeHandler onChange_;
};

}
