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

/// The platform holds values of at most this size; the object also holds the generation and its field names.
constexpr std::size_t MaxConfigBytes = 999'900;

/// The texts of a configuration: the shared base and one overlay per site that states only what differs.
struct ConfigDocuments {
    std::string base;
    std::map<std::string, std::string> sites; // by site
    std::string prefix{}; // of the file names in faults and origins; does not travel

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

/// `{"base":"...","sites":{"<site>":"..."}}`.
std::string toJson(const ConfigDocuments &documents);

/// Parses the form of toJson(). @p fault receives what was expected when the result is empty.
std::optional<ConfigDocuments> parseConfigDocuments(std::string_view json, std::string &fault);

/// A configuration with its generation: the value of the platform's object `config/current`, the body of `GET /admin/config`,
/// and, with the member `expected_generation` instead, of `POST /admin/config`.
struct VersionedConfig {
    std::uint64_t generation = 0; // 0: none was ever applied
    ConfigDocuments documents;
};

/// `{"generation":7,"documents":{...}}`; @p generationKey names the first member.
std::string toJson(const VersionedConfig &config, std::string_view generationKey = "generation");

/// Parses the form of toJson(); other members are ignored. @p fault receives what was expected when the result is empty.
std::optional<VersionedConfig> parseVersionedConfig(std::string_view json, std::string &fault, std::string_view generationKey = "generation");

/// Reads `base.ini` and `sites/<site>.ini` of a directory.
std::optional<ConfigDocuments> readConfigDirectory(const std::string &directory, std::vector<ConfigFault> &faults);

}
