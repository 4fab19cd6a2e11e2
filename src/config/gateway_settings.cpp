#include "config/gateway_settings.h"

#include "config/setting_values.h"

namespace carawaypoint
{

namespace
{

constexpr KeySchema ProcessKeys[] = {
    {.key = "id", .kind = ValueKind::Name, .isRequired = true, .description = "Name of this daemon, unique in the fleet."},
    {.key = "zone", .kind = ValueKind::Name, .isRequired = true, .description = "Availability zone that this VM is in."},
    {.key = "max_descriptors",
     .kind = ValueKind::Integer,
     .unit = "descriptors",
     .low = 64,
     .high = 1048576,
     .defaultText = "4096",
     .description = "File descriptors that the process may open. A part is reserved for backend servers and the store."},
    {.key = "memory_mb",
     .kind = ValueKind::Number,
     .unit = "MB",
     .low = 16,
     .high = 1048576,
     .defaultText = "256",
     .description =
         "Memory that the process may use. A quarter of it is for incomplete responses of backend servers, a fifth for requests of callers, and a fifth "
         "for their connections, at 64 KB each."},
    {.key = "link_mbps",
     .kind = ValueKind::Number,
     .unit = "Mbit/s",
     .low = 0,
     .high = 1000000,
     .defaultText = "0",
     .description = "Bandwidth of the VM's network link. Daemons with the fastest links become relays of their zone. 0 when not known."},
};
constexpr KeySchema ListenKeys[] = {
    {.key = "callers", .kind = ValueKind::Address, .isRequired = true, .description = "Address for callers."},
    {.key = "readiness", .kind = ValueKind::Address, .isRequired = true, .description = "Address for the balancer's readiness checks."},
    {.key = "metrics", .kind = ValueKind::Address, .isRequired = true, .description = "Address of GET /metrics."},
    {.key = "peer", .kind = ValueKind::Address, .isRequired = true, .description = "UDP address on which daemons exchange their load."},
    {.key = "changes", .kind = ValueKind::Address, .isRequired = true, .description = "UDP address for notices of changes in the store."},
};
constexpr KeySchema StoreKeys[] = {
    {.key = "address", .kind = ValueKind::Address, .isRequired = true, .description = "The platform's object store."},
};
constexpr KeySchema ServingKeys[] = {
    {.key = "drain_time",
     .kind = ValueKind::Time,
     .low = 0.5,
     .high = 3600,
     .defaultText = "8s",
     .description = "Time until the process ends after SIGTERM, of which all but the last 0.3s is for requests in progress. Must not exceed the time until the "
                    "process is killed."},
    {.key = "stall_time",
     .kind = ValueKind::Time,
     .low = 0.1,
     .high = 3600,
     .defaultText = "6s",
     .description = "Time after which the head (rank 0) of a replica fails when one of its members is lost."},
    {.key = "retry_share",
     .kind = ValueKind::Number,
     .low = 0,
     .high = 10,
     .defaultText = "0.2",
     .description = "Retries allowed for each request to a service."},
    {.key = "retry_slack",
     .kind = ValueKind::Number,
     .low = 0,
     .high = 1000000,
     .defaultText = "100",
     .description = "Retries that all daemons may make in a window beyond retry_share."},
    {.key = "retry_window",
     .kind = ValueKind::Time,
     .low = 1,
     .high = 3600,
     .defaultText = "10s",
     .description = "Length of the window for retry_share and retry_slack."},
    {.key = "quarantine_time",
     .kind = ValueKind::Time,
     .low = 0,
     .high = 86400,
     .defaultText = "10min",
     .description = "Time for which requests that crash backend servers are refused after the last crash. 0s turns the quarantine off. Read again on SIGHUP."},
};
constexpr KeySchema LogKeys[] = {
    {.key = "level",
     .kind = ValueKind::Choice,
     .defaultText = "info",
     .choices = "debug|info|warning|error",
     .description = "Lowest level of log lines that are written."},
};
constexpr SectionSchema Sections[] = {
    {.name = "process", .keys = ProcessKeys, .description = "Identity and limits of the daemon."},
    {.name = "listen", .keys = ListenKeys, .description = "Addresses that the daemon listens on."},
    {.name = "store", .keys = StoreKeys, .description = "The platform's store."},
    {.name = "serving", .keys = ServingKeys, .description = "Limits for serving requests."},
    {.name = "log", .keys = LogKeys, .description = "Logging to standard output."},
};

}

std::span<const SectionSchema> gatewaySchema()
{
    return Sections;
}

GatewaySettingsResult parseGatewaySettings(std::string_view text, std::string_view file, std::span<const std::string> overrides)
{
    GatewaySettingsResult result;
    const SettingValues values(Sections, text, file, overrides, result.errors);
    auto &settings = result.settings;
    settings.id = MemberId(values.at("process", "id").canonicalText);
    settings.zone = ZoneId(values.at("process", "zone").canonicalText);
    settings.maxDescriptors = static_cast<unsigned>(values.at("process", "max_descriptors").number);
    settings.memoryMb = values.at("process", "memory_mb").number;
    settings.linkMbps = static_cast<unsigned>(values.at("process", "link_mbps").number);
    settings.callers = values.address("listen", "callers");
    settings.readiness = values.address("listen", "readiness");
    settings.metrics = values.address("listen", "metrics");
    settings.peer = values.address("listen", "peer");
    settings.changes = values.address("listen", "changes");
    settings.store = values.address("store", "address");
    settings.drainTime = values.at("serving", "drain_time").time;
    settings.stallTime = values.at("serving", "stall_time").time;
    settings.retryShare = values.at("serving", "retry_share").number;
    settings.retrySlack = values.at("serving", "retry_slack").number;
    settings.retryWindow = values.at("serving", "retry_window").time;
    settings.quarantineTime = values.at("serving", "quarantine_time").time;
    settings.logLevel = values.at("log", "level").canonicalText;
    return result;
}

GatewaySettingsResult loadGatewaySettings(const std::string &path, std::span<const std::string> overrides)
{
    const auto text = readSettingsFile(path);
    if (!text) {
        GatewaySettingsResult result;
        result.errors.push_back(unreadableFileError(path));
        return result;
    }
    return parseGatewaySettings(*text, path, overrides);
}

}
