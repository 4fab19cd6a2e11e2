#pragma once

#include "config/config_documents.h"
#include "config/effective_config.h"

#include <map>
#include <string>
#include <vector>

namespace carawaypoint
{

/// Number of VMs of a fabric domain, from the platform's VM list.
struct DomainSize {
    ZoneId zone;
    std::string pool;
    std::uint32_t vms = 0;
};

/// A configuration for all sites, or the faults that prevent it.
struct LoadedConfig {
    std::map<std::string, EffectiveConfig> sites; // empty when there is a fault
    std::vector<ConfigFault> faults; // all, by file and line
    bool isTooLarge = false; // one of the faults is the total size
};

/// Checks @p documents and builds the configuration of every site. Nothing is built when there is one fault.
/// Replica sizes are checked against @p domains for the zones that it mentions.
LoadedConfig loadConfig(const ConfigDocuments &documents, const std::vector<DomainSize> &domains = {});

}
