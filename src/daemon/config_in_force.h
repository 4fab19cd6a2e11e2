#pragma once

#include "assignment/assignment_settings.h"
#include "config/config_loader.h"
#include "objects/object_store.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace carawaypoint
{

/// The configuration in force for this daemon's site.
class ConfigInForce
{
public:
    explicit ConfigInForce(std::string site)
        : site_(std::move(site))
    {
    }

    /// Validates @p documents (JSON text) and puts them in force. Returns the first error, or an empty text on success.
    std::string apply(std::string_view documents, std::uint64_t generation);

    /// Null until a configuration is in force.
    const EffectiveConfig *config() const
    {
        return config_ ? &*config_ : nullptr;
    }
    std::uint64_t generation() const
    {
        return generation_;
    }

private:
    std::string site_;
    std::optional<EffectiveConfig> config_;
    std::uint64_t generation_ = 0;
};

AssignmentSettings toAssignmentSettings(const EffectiveConfig &config);

/// Number of VMs by zone, fabric domain and pool in the platform's VM list.
std::vector<DomainSize> domainSizes(std::span<const VmRecord> vms);

}
