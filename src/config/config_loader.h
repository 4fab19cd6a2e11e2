#pragma once

#include "config/config_documents.h"
#include "config/effective_config.h"

#include <map>
#include <string>
#include <vector>

namespace carawaypoint
{

/// Number of VMs in a fabric domain, from the platform's VM list.
struct DomainSize {
    ZoneId zone;
    std::string pool;
    std::uint32_t vms = 0;
};

/// A configuration for all sites, or the errors in it.
struct LoadedConfig {
    std::map<std::string, EffectiveConfig> sites; // by name; empty when there are errors
    std::vector<ConfigError> errors; // all errors, by file and line
    bool isTooLarge = false; // the documents exceed MaxConfigBytes
};

/// Checks @p documents and builds the configuration of every site, or of none when there is any error.
/// Replica sizes are checked against @p domains in the zones that it contains.
LoadedConfig loadConfig(const ConfigDocuments &documents, const std::vector<DomainSize> &domains = {});

}
