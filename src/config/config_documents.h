#pragma once

#include "config/ini_document.h"

#include <cstddef>
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

/// Reads `base.ini` and `sites/<site>.ini` of a directory.
std::optional<ConfigDocuments> readConfigDirectory(const std::string &directory, std::vector<ConfigFault> &faults);

}
