#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace carawaypoint
{

/// File and line that a value comes from.
struct ConfigOrigin {
    std::string file;
    unsigned line = 0;

    std::string toString() const
    {
        return file + ":" + std::to_string(line);
    }
    bool operator==(const ConfigOrigin &) const = default;
};

/// An error in a settings or configuration file.
struct ConfigError {
    ConfigOrigin origin;
    std::string key; // `section.key`, empty when the line has none
    std::string expected; // what the file should contain instead, as a sentence

    /// Formats the error as `file:line: section.key: what was expected`.
    std::string toString() const;
};

/// One `key = value` line.
struct IniEntry {
    std::string section;
    std::string key;
    std::string value;
    ConfigOrigin origin;
};

/// Parses INI text with inih. Lines that are no section, entry or comment are added to @p errors.
/// A section without entries does not appear in the result.
std::vector<IniEntry> parseIni(std::string_view text, std::string_view file, std::vector<ConfigError> &errors);

}
