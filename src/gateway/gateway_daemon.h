#pragma once

#include "config/gateway_settings.h"
#include "gateway/fleet_platform.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <memory>
#include <string>

namespace carawaypoint
{

/// Creates the platform adapter. @p executor belongs to the control thread.
using FleetPlatformFactory = std::function<std::unique_ptr<FleetPlatform>(const boost::asio::any_io_executor &executor, const Endpoint &store)>;

/// A gateway process with one control thread and one traffic thread.
class GatewayDaemon
{
public:
    /// @param settingsPath is read again on SIGHUP.
    GatewayDaemon(GatewaySettings settings, std::string settingsPath, const FleetPlatformFactory &makePlatform);
    ~GatewayDaemon();

    /// Runs until SIGTERM or SIGINT and a graceful stop. Returns the exit code.
    int run();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}
