#include "config/process_settings.h"

#include <fstream>
#include <map>
#include <sstream>
#include <utility>

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
    {.key = "seeds", .kind = ValueKind::AddressList, .description = "Peer addresses of other daemons, asked for the list of members at the start."},
};
constexpr KeySchema LogKeys[] = {
    {.key = "level", .kind = ValueKind::Choice, .defaultText = "info", .choices = "debug|info|warning|error", .description = "Lowest level that is written."},
    {.key = "file", .kind = ValueKind::Text, .description = "File that lines are appended to; empty for standard error."},
};
constexpr SectionSchema ProcessSections[] = {
    {.name = "process", .keys = ProcessKeys, .description = "Identity of the daemon."},
    {.name = "listen", .keys = ListenKeys, .description = "Addresses that the daemon listens on."},
    {.name = "platform", .keys = PlatformKeys, .description = "The platform."},
    {.name = "peers", .keys = PeersKeys, .description = "Other daemons."},
    {.name = "log", .keys = LogKeys, .description = "Log lines."},
};

using SettingKey = std::pair<std::string, std::string>;

/// Splits `section.key=value` into entries; the origin's line is the number of the option.
std::vector<IniEntry> parseOverrides(std::span<const std::string> overrides, std::vector<ConfigFault> &faults)
{
    std::vector<IniEntry> entries;
    unsigned number = 0;
    for (const std::string &text : overrides) {
        const ConfigOrigin origin{"--set", ++number};
        const auto equals = text.find('=');
        const auto dot = text.find('.');
        if (equals == std::string::npos || dot == std::string::npos || dot > equals) {
            faults.push_back({origin, text, "expected section.key=value"});
            continue;
        }
        entries.push_back({text.substr(0, dot), text.substr(dot + 1, equals - dot - 1), text.substr(equals + 1), origin});
    }
    return entries;
}

/// Values by section and key, with faults for what the schema does not allow.
class SettingValues
{
public:
    SettingValues(std::string_view file, std::vector<ConfigFault> &faults)
        : file_(file)
        , faults_(faults)
    {
    }

    void add(const std::vector<IniEntry> &entries, bool isOverride)
    {
        std::map<SettingKey, ConfigOrigin> seen;
        for (const auto &entry : entries) {
            const auto name = entry.section + "." + entry.key;
            const auto *section = findSection(ProcessSections, entry.section);
            const auto *schema = section == nullptr ? nullptr : findKey(section->keys, entry.key);
            if (schema == nullptr) {
                faults_.push_back({entry.origin, name, section == nullptr ? "unknown section" : "unknown key"});
                continue;
            }
            const SettingKey key{entry.section, entry.key};
            const auto [first, isNew] = seen.emplace(key, entry.origin);
            if (!isNew && !isOverride) {
                faults_.push_back({entry.origin, name, "expected once, stated before at " + first->second.toString()});
                continue;
            }
            auto value = parseValue(*schema, entry.value);
            if (!value) {
                faults_.push_back({entry.origin, name, "expected " + describeExpectation(*schema)});
                value.emplace();
            }
            values_[key] = *std::move(value);
        }
    }

    void addDefaults()
    {
        for (const auto &section : ProcessSections) {
            for (const auto &schema : section.keys) {
                const SettingKey key{section.name, schema.key};
                if (values_.contains(key)) {
                    continue;
                }
                if (schema.isRequired) {
                    faults_.push_back({{file_, 1}, key.first + "." + key.second, "missing, expected " + describeExpectation(schema)});
                }
                values_[key] = parseValue(schema, schema.defaultText).value_or(ParsedValue{});
            }
        }
    }

    const ParsedValue &at(const char *section, const char *key) const
    {
        return values_.at({section, key});
    }

    Endpoint address(const char *section, const char *key) const
    {
        const auto &addresses = at(section, key).addresses;
        return addresses.empty() ? Endpoint{} : addresses.front();
    }

private:
    std::string file_;
    std::vector<ConfigFault> &faults_;
    std::map<SettingKey, ParsedValue> values_;
};

}

std::span<const SectionSchema> processSchema()
{
    return ProcessSections;
}

ProcessSettingsResult parseProcessSettings(std::string_view text, std::string_view file, std::span<const std::string> overrides)
{
    ProcessSettingsResult result;
    SettingValues values(file, result.faults);
    values.add(parseIni(text, file, result.faults), false);
    values.add(parseOverrides(overrides, result.faults), true);
    values.addDefaults();
    auto &settings = result.settings;
    settings.id = MemberId(values.at("process", "id").canonical);
    settings.zone = ZoneId(values.at("process", "zone").canonical);
    settings.site = values.at("process", "site").canonical;
    settings.trafficThreads = static_cast<unsigned>(values.at("process", "traffic_threads").number);
    settings.http = values.address("listen", "http");
    settings.admin = values.address("listen", "admin");
    settings.peer = values.address("listen", "peer");
    settings.platform = values.address("platform", "address");
    settings.seeds = values.at("peers", "seeds").addresses;
    settings.logLevel = values.at("log", "level").canonical;
    settings.logFile = values.at("log", "file").canonical;
    return result;
}

ProcessSettingsResult loadProcessSettings(const std::string &path, std::span<const std::string> overrides)
{
    if (path.empty()) {
        return parseProcessSettings({}, "settings", overrides);
    }
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file.is_open() || file.bad()) {
        ProcessSettingsResult result;
        result.faults.push_back({{path, 0}, {}, "expected a readable file"});
        return result;
    }
    return parseProcessSettings(text.str(), path, overrides);
}

}
