#include "config/setting_values.h"

#include <fstream>
#include <sstream>

namespace carawaypoint
{

namespace
{

/// Parses overrides of the form `section.key=value`. The line number of the origin is the number of the option.
std::vector<IniEntry> parseOverrides(std::span<const std::string> overrides, std::vector<ConfigError> &errors)
{
    std::vector<IniEntry> entries;
    unsigned number = 0;
    for (const std::string &text : overrides) {
        const ConfigOrigin origin{"--set", ++number};
        const auto equals = text.find('=');
        const auto dot = text.find('.');
        if (equals == std::string::npos || dot == std::string::npos || dot > equals) {
            errors.push_back({origin, text, "expected section.key=value"});
            continue;
        }
        entries.push_back({text.substr(0, dot), text.substr(dot + 1, equals - dot - 1), text.substr(equals + 1), origin});
    }
    return entries;
}

}

SettingValues::SettingValues(std::span<const SectionSchema> schema,
                             std::string_view text,
                             std::string_view file,
                             std::span<const std::string> overrides,
                             std::vector<ConfigError> &errors)
    : schema_(schema)
{
    add(parseIni(text, file, errors), false, errors);
    add(parseOverrides(overrides, errors), true, errors);
    addDefaults(file, errors);
}

void SettingValues::add(const std::vector<IniEntry> &entries, bool isOverride, std::vector<ConfigError> &errors)
{
    std::map<Key, ConfigOrigin> seen;
    for (const auto &entry : entries) {
        const auto name = entry.section + "." + entry.key;
        const auto *section = findSection(schema_, entry.section);
        const auto *schema = section == nullptr ? nullptr : findKey(section->keys, entry.key);
        if (schema == nullptr) {
            errors.push_back({entry.origin, name, section == nullptr ? "unknown section" : "unknown key"});
            continue;
        }
        const Key key{entry.section, entry.key};
        const auto [first, isNew] = seen.emplace(key, entry.origin);
        if (!isNew && !isOverride) {
            errors.push_back({entry.origin, name, "expected once, stated before at " + first->second.toString()});
            continue;
        }
        auto value = parseValue(*schema, entry.value);
        if (!value) {
            errors.push_back({entry.origin, name, "expected " + describeExpectation(*schema)});
            value.emplace();
        }
        values_[key] = *std::move(value);
    }
}

void SettingValues::addDefaults(std::string_view file, std::vector<ConfigError> &errors)
{
    for (const auto &section : schema_) {
        for (const auto &schema : section.keys) {
            const Key key{section.name, schema.key};
            if (values_.contains(key)) {
                continue;
            }
            if (schema.isRequired) {
                errors.push_back({{std::string(file), 1}, key.first + "." + key.second, "missing, expected " + describeExpectation(schema)});
            }
            values_[key] = parseValue(schema, schema.defaultText).value_or(ParsedValue{});
        }
    }
}

const ParsedValue &SettingValues::at(std::string_view section, std::string_view key) const
{
    return values_.at({std::string(section), std::string(key)});
}

Endpoint SettingValues::address(std::string_view section, std::string_view key) const
{
    const auto &addresses = at(section, key).addresses;
    return addresses.empty() ? Endpoint{} : addresses.front();
}

std::optional<std::string> readSettingsFile(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file.is_open() || file.bad()) {
        return std::nullopt;
    }
    return text.str();
}

ConfigError unreadableFileError(const std::string &path)
{
    return {{path, 0}, {}, "expected a readable file"};
}

}
