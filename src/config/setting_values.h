#pragma once

#include "config/ini_document.h"
#include "config/schema.h"
#include "core/ids.h"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carawaypoint
{

/// Values of a process's settings by section and key, checked against a schema.
class SettingValues
{
public:
    /// Parses INI text and overrides of the form `section.key=value`, fills in defaults, and adds what the schema does not
    /// accept to @p errors. Errors in overrides have the origin `--set:<number>`.
    SettingValues(std::span<const SectionSchema> schema,
                  std::string_view text,
                  std::string_view file,
                  std::span<const std::string> overrides,
                  std::vector<ConfigError> &errors);

    const ParsedValue &at(std::string_view section, std::string_view key) const;
    /// Returns the first address of a key; an invalid one when the key has none.
    Endpoint address(std::string_view section, std::string_view key) const;

private:
    using Key = std::pair<std::string, std::string>;

    void add(const std::vector<IniEntry> &entries, bool isOverride, std::vector<ConfigError> &errors);
    void addDefaults(std::string_view file, std::vector<ConfigError> &errors);

    std::span<const SectionSchema> schema_;
    std::map<Key, ParsedValue> values_;
};

/// Returns the text of the settings file at @p path; empty when it cannot be read.
std::optional<std::string> readSettingsFile(const std::string &path);
ConfigError unreadableFileError(const std::string &path);

}
