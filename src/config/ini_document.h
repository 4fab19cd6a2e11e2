#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace carawaypoint
{

/// Place of a value in a file.
struct ConfigOrigin {
    std::string file;
    unsigned line = 0;

    std::string toString() const
    {
        return file + ":" + std::to_string(line);
    }
    bool operator==(const ConfigOrigin &) const = default;
};

/// A fault of a settings or configuration file.
struct ConfigFault {
    ConfigOrigin origin;
    std::string key; // `section.key`, empty when the line has none
    std::string expected; // what was expected, as a sentence

    /// `file:line: section.key: what was expected`.
    std::string toString() const;
};

/// One `key = value` line.
struct IniEntry {
    std::string section;
    std::string key;
    std::string value;
    ConfigOrigin origin;
};

/// Splits INI text with inih. Lines that are no section, entry or comment are added to @p faults.
/// A section without entries leaves no trace.
std::vector<IniEntry> parseIni(std::string_view text, std::string_view file, std::vector<ConfigFault> &faults);

}
