#pragma once

#include "config/ini_document.h"
#include "config/schema.h"
#include "core/clock.h"
#include "core/ids.h"

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypoint
{

/// Settings of one gateway process, from its INI file and the command line; config reference describes each key.
struct GatewaySettings {
    MemberId id;
    ZoneId zone;
    Endpoint callers;
    Endpoint readiness; // for the balancer's readiness checks
    Endpoint metrics;
    Endpoint peer; // UDP, for the exchange of load
    Endpoint changes; // UDP, for notices of changes in the store
    Endpoint store;
    Duration drainTime{}; // for requests in progress after SIGTERM
    Duration stallTime{}; // after which the head of a replica without one of its members fails
    double retryShare = 0; // retries for each request, within retryWindow
    double retrySlack = 0; // retries beyond that share, of all daemons within retryWindow
    Duration retryWindow{};
    Duration quarantineTime{minutes(10)}; // for which requests are refused after they crashed servers; zero turns the quarantine off
    double memoryMb = 256; // megabytes of memory that the process may use
    unsigned linkMbps = 0; // bandwidth of the VM's network link
    unsigned maxDescriptors = 0; // file descriptors that the process may open
    std::string logLevel; // for parseLogLevel()
};

struct GatewaySettingsResult {
    GatewaySettings settings; // valid only when errors is empty
    std::vector<ConfigError> errors;
};

/// Reads settings from the text of an INI file. Each of @p overrides is `section.key=value` and replaces the value of the file.
GatewaySettingsResult parseGatewaySettings(std::string_view text, std::string_view file, std::span<const std::string> overrides = {});

/// As parseGatewaySettings() with the file at @p path.
GatewaySettingsResult loadGatewaySettings(const std::string &path, std::span<const std::string> overrides = {});

/// The sections of a gateway's INI file.
std::span<const SectionSchema> gatewaySchema();

}
