#include "config/process_settings.h"

#include "config/setting_values.h"

namespace carawaypoint
{

namespace
{

constexpr KeySchema ProcessKeys[] = {
    {.key = "id", .kind = ValueKind::Name, .isRequired = true, .description = "Name of this daemon, unique in the fleet."},
    {.key = "zone", .kind = ValueKind::Name, .isRequired = true, .description = "Availability zone that this VM is in."},
    {.key = "site", .kind = ValueKind::Name, .isRequired = true, .description = "Site whose overlay applies to this daemon."},
    {.key = "traffic_threads",
     .kind = ValueKind::Integer,
     .unit = "threads",
     .low = 1,
     .high = 64,
     .defaultText = "2",
     .description = "Threads that serve callers."},
};
constexpr KeySchema ListenKeys[] = {
    {.key = "http", .kind = ValueKind::Address, .isRequired = true, .description = "Address for callers."},
    {.key = "admin", .kind = ValueKind::Address, .isRequired = true, .description = "Address for operators' tools and metrics."},
    {.key = "peer", .kind = ValueKind::Address, .isRequired = true, .description = "Address for the other daemons."},
};
constexpr KeySchema PlatformKeys[] = {
    {.key = "address", .kind = ValueKind::Address, .isRequired = true, .description = "The platform's object API."},
};
constexpr KeySchema PeersKeys[] = {
    {.key = "seeds", .kind = ValueKind::AddressList, .description = "Peer addresses of other daemons, which the daemon asks for the member list at start."},
};
constexpr KeySchema LogKeys[] = {
    {.key = "level",
     .kind = ValueKind::Choice,
     .defaultText = "info",
     .choices = "debug|info|warning|error",
     .description = "Lowest level of log lines that are written."},
    {.key = "file", .kind = ValueKind::Text, .description = "File that log lines are appended to; empty for standard error."},
};
constexpr SectionSchema ProcessSections[] = {
    {.name = "process", .keys = ProcessKeys, .description = "Identity of the daemon."},
    {.name = "listen", .keys = ListenKeys, .description = "Addresses that the daemon listens on."},
    {.name = "platform", .keys = PlatformKeys, .description = "Access to the platform."},
    {.name = "peers", .keys = PeersKeys, .description = "Other daemons."},
    {.name = "log", .keys = LogKeys, .description = "Logging."},
};

}

std::span<const SectionSchema> processSchema()
{
    return ProcessSections;
}

ProcessSettingsResult parseProcessSettings(std::string_view text, std::string_view file, std::span<const std::string> overrides)
{
    ProcessSettingsResult result;
    const SettingValues values(ProcessSections, text, file, overrides, result.errors);
    auto &settings = result.settings;
    settings.id = MemberId(values.at("process", "id").canonicalText);
    settings.zone = ZoneId(values.at("process", "zone").canonicalText);
    settings.site = values.at("process", "site").canonicalText;
    settings.trafficThreads = static_cast<unsigned>(values.at("process", "traffic_threads").number);
    settings.http = values.address("listen", "http");
    settings.admin = values.address("listen", "admin");
    settings.peer = values.address("listen", "peer");
    settings.platform = values.address("platform", "address");
    settings.seeds = values.at("peers", "seeds").addresses;
    settings.logLevel = values.at("log", "level").canonicalText;
    settings.logFile = values.at("log", "file").canonicalText;
    return result;
}

ProcessSettingsResult loadProcessSettings(const std::string &path, std::span<const std::string> overrides)
{
    if (path.empty()) {
        return parseProcessSettings({}, "settings", overrides);
    }
    const auto text = readSettingsFile(path);
    if (!text) {
        ProcessSettingsResult result;
        result.errors.push_back(unreadableFileError(path));
        return result;
    }
    return parseProcessSettings(*text, path, overrides);
}

}
