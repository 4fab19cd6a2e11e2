#pragma once

#include "config/ini_document.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypoint
{

/// Largest size of a configuration as JSON. The platform limits the size of an object, which also contains the generation and
/// the member names.
constexpr std::size_t MaxConfigBytes = 999'900;

/// The texts of a configuration: the shared base, and one overlay per site with the values that differ from it.
struct ConfigDocuments {
    std::string base;
    std::map<std::string, std::string> sites; // overlay by site name
    std::string prefix{}; // of the file names in errors and origins; not serialized

    std::string baseFile() const
    {
        return prefix + "base.ini";
    }
    std::string siteFile(std::string_view site) const
    {
        return prefix + "sites/" + std::string(site) + ".ini";
    }
    bool hasSameTexts(const ConfigDocuments &other) const
    {
        return base == other.base && sites == other.sites;
    }
};

/// Serializes as `{"base":"...","sites":{"<site>":"..."}}`.
std::string toJson(const ConfigDocuments &documents);

/// Parses the output of toJson(). When the result is empty, @p errorText receives what was expected.
std::optional<ConfigDocuments> parseConfigDocuments(std::string_view json, std::string &errorText);

/// A configuration with its generation: the value of the platform's object `config/current`, the body of `GET /admin/config`,
/// and, with the member `expected_generation` instead, of `POST /admin/config`.
struct VersionedConfig {
    std::uint64_t generation = 0; // 0: no configuration was ever applied
    ConfigDocuments documents;
};

/// Serializes as `{"generation":7,"documents":{...}}`. @p generationKey is the name of the first member.
std::string toJson(const VersionedConfig &config, std::string_view generationKey = "generation");

/// Parses the output of toJson() and ignores other members. When the result is empty, @p errorText receives what was expected.
std::optional<VersionedConfig> parseVersionedConfig(std::string_view json, std::string &errorText, std::string_view generationKey = "generation");

/// Reads `base.ini` and `sites/<site>.ini` of a directory.
std::optional<ConfigDocuments> readConfigDirectory(const std::string &directory, std::vector<ConfigError> &errors);

}
