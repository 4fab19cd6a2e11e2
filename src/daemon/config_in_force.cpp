#include "daemon/config_in_force.h"

#include <cmath>
#include <map>
#include <tuple>

namespace carawaypoint
{

std::string ConfigInForce::apply(std::string_view documents, std::uint64_t generation)
{
    std::string configError;
    const auto parsed = parseConfigDocuments(documents, configError);
    if (!parsed) {
        return configError;
    }
    LoadedConfig loaded = loadConfig(*parsed);
    if (!loaded.errors.empty()) {
        return loaded.errors.front().toString();
    }
    const auto found = loaded.sites.find(site_);
    if (found == loaded.sites.end()) {
        return "the configuration has no site " + site_;
    }
    config_ = std::move(found->second);
    generation_ = generation;
    return {};
}

AssignmentSettings toAssignmentSettings(const EffectiveConfig &config)
{
    AssignmentSettings settings;
    double loadsPerMinute = 0;
    for (const auto &model : config.models) {
        settings.models.push_back({model.id, model.version, model.adapters, model.pool, model.vmsPerReplica, model.replicas});
    }
    for (const auto &pool : config.pools) {
        settings.enginesCheckFencing[pool.name] = pool.engineChecksFencing;
        loadsPerMinute += pool.loadsPerMinute;
    }
    settings.strategy = config.repair.strategy;
    // Assumes that a weight load takes about a minute, so that this many concurrent loads keep to the configured rate.
    settings.maxConcurrentLoads = std::max(1U, static_cast<std::uint32_t>(std::lround(loadsPerMinute)));
    settings.leaseDuration = config.repair.leaseTime;
    settings.leaseRenewInterval = config.repair.leaseRenewal;
    settings.maxOrderLifetime = config.repair.orderLifetime;
    return settings;
}

std::vector<DomainSize> domainSizes(std::span<const VmRecord> vms)
{
    std::map<std::tuple<ZoneId, FabricDomainId, std::string>, std::uint32_t> counts;
    for (const auto &vm : vms) {
        if (!vm.domain.isEmpty()) {
            ++counts[{vm.zone, vm.domain, vm.pool}];
        }
    }
    std::vector<DomainSize> sizes;
    sizes.reserve(counts.size());
    for (const auto &[key, count] : counts) {
        sizes.push_back({std::get<0>(key), std::get<2>(key), count});
    }
    return sizes;
}

}
