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

/// Kind and name of a section: `model` and `drafting`; the name is empty for sections without one.
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

/// A value as one file states it.
struct LayerValue {
    ParsedValue value;
    ConfigOrigin origin;
    bool isFaulty = false;
};

/// The values of one file. A faulty value is present, so that it is not reported as missing too.
struct ConfigLayer {
    std::string file;
    std::map<SectionId, std::map<std::string, LayerValue, std::less<>>> sections;
};

/// Values of one section by key, with defaults.
class SectionValues
{
public:
    explicit SectionValues(std::map<std::string, ParsedValue, std::less<>> values)
        : values_(std::move(values))
    {
    }

    /// The value of a key of the schema.
    const ParsedValue &at(std::string_view key) const
    {
        return values_.find(key)->second;
    }

private:
    std::map<std::string, ParsedValue, std::less<>> values_;
};

/// Base, overlay and defaults of one site.
class MergedConfig
{
public:
    explicit MergedConfig(ConfigLayer values)
        : layer_(std::move(values))
    {
    }

    std::vector<std::string> namesOf(std::string_view kind) const;
    SectionValues valuesOf(const SectionId &section) const;
    /// Place of a key, or of its section when the key is not stated.
    ConfigOrigin originOf(const SectionId &section, std::string_view key) const;
    std::vector<EffectiveEntry> entries() const;

private:
    ConfigLayer layer_;
};

/// Reads one file and checks each value by the schema.
ConfigLayer readLayer(std::string_view text, const std::string &file, std::vector<ConfigFault> &faults);

/// Puts @p overlay over @p base. Overlay lines equal to the base and missing keys are faults.
MergedConfig mergeLayers(const ConfigLayer &base, const ConfigLayer &overlay, std::vector<ConfigFault> &faults);

}
