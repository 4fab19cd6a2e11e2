#pragma once

#include "config/effective_config.h"
#include "config/ini_document.h"
#include "config/schema.h"

#include <map>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace carawaypoint
{

/// Kind and name of a section, such as `model` and `drafting`. The name is empty for sections without one.
struct SectionId {
    std::string kind;
    std::string name;

    bool operator<(const SectionId &other) const
    {
        return std::tie(kind, name) < std::tie(other.kind, other.name);
    }

    std::string toString() const
    {
        return name.empty() ? kind : kind + " " + name;
    }
};

/// A value that one file sets.
struct LayerValue {
    ParsedValue value;
    ConfigOrigin origin;
    bool isInvalid = false;
};

/// The values of one file, by section and key. Invalid values are included, so that they are not reported as missing too.
struct ConfigLayer {
    std::string file;
    std::map<SectionId, std::map<std::string, LayerValue, std::less<>>> sections;
};

/// Values of one section by key, including defaults.
class SectionValues
{
public:
    explicit SectionValues(std::map<std::string, ParsedValue, std::less<>> values)
        : values_(std::move(values))
    {
    }

    /// Returns the value of @p key, which must be in the schema.
    const ParsedValue &at(std::string_view key) const
    {
        return values_.find(key)->second;
    }

private:
    std::map<std::string, ParsedValue, std::less<>> values_;
};

/// Configuration of one site, merged from base, overlay and defaults.
class MergedConfig
{
public:
    explicit MergedConfig(ConfigLayer values)
        : layer_(std::move(values))
    {
    }

    std::vector<std::string> sectionNames(std::string_view kind) const;
    SectionValues sectionValues(const SectionId &section) const;
    /// Returns the place of @p key, or of the first value of its section when no file sets the key.
    ConfigOrigin findOrigin(const SectionId &section, std::string_view key) const;
    std::vector<EffectiveEntry> entries() const;

private:
    ConfigLayer layer_;
};

/// Parses one file and checks each value against the schema.
ConfigLayer parseLayer(std::string_view text, const std::string &file, std::vector<ConfigError> &errors);

/// Merges @p overlay into @p base. Overlay values equal to the base and missing required keys are errors.
MergedConfig mergeLayers(const ConfigLayer &base, const ConfigLayer &overlay, std::vector<ConfigError> &errors);

}
