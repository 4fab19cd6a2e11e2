#include "config/config_loader.h"

#include "config/config_layer.h"
#include "config/config_schema.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace carawaypoint
{

namespace
{

template<typename Id>
std::vector<Id> toIds(const std::vector<std::string> &names)
{
    std::vector<Id> ids;
    ids.reserve(names.size());
    for (const auto &name : names) {
        ids.emplace_back(name);
    }
    return ids;
}

std::uint32_t toCount(const ParsedValue &value)
{
    return static_cast<std::uint32_t>(value.number);
}

ModelSettings makeModel(const std::string &name, const SectionValues &values)
{
    return {.id = ModelId(name),
            .version = values.at("version").canonicalText,
            .adapters = values.at("adapters").items,
            .vmsPerReplica = toCount(values.at("vms_per_replica")),
            .replicas = toCount(values.at("replicas")),
            .slotsPerReplica = toCount(values.at("slots_per_replica")),
            .maxPromptTokens = toCount(values.at("max_prompt_tokens")),
            .maxOutputTokens = toCount(values.at("max_output_tokens")),
            .firstTokenDeadline = values.at("first_token_deadline").time,
            .pool = values.at("pool").canonicalText};
}

RoutingPolicy makeRouting(const SectionValues &values)
{
    RoutingPolicy policy;
    policy.replicaChoice = values.at("replica_choice").canonicalText;
    policy.queueOrder = values.at("queue_order").canonicalText;
    policy.admission = values.at("admission").canonicalText;
    policy.longWorkSlotShare = values.at("long_work_slot_share").number;
    policy.retryBudgetShare = values.at("retry_budget_share").number;
    policy.observationBound = values.at("observation_bound").time;
    return policy;
}

RepairSettings makeRepair(const SectionValues &values)
{
    return {.strategy = values.at("strategy").canonicalText,
            .leaseTime = values.at("lease_time").time,
            .leaseRenewal = values.at("lease_renewal").time,
            .orderLifetime = values.at("order_lifetime").time};
}

AlarmSettings makeAlarms(const SectionValues &values)
{
    return {.replicaDown = values.at("replica_down").time,
            .domainLost = values.at("domain_lost").time,
            .platformDown = values.at("platform_down").time,
            .zoneCutOff = values.at("zone_cut_off").time,
            .daemonsLost = values.at("daemons_lost").time,
            .serviceDown = values.at("service_down").time,
            .configNotInForce = values.at("config_not_in_force").time,
            .clearAfter = values.at("clear_after").time};
}

LimitSettings makeLimits(const SectionValues &values)
{
    return {.maxBodyBytes = static_cast<std::uint64_t>(values.at("max_body_bytes").number),
            .maxConnections = toCount(values.at("max_connections")),
            .tokenTimeout = values.at("token_timeout").time,
            .claimRetention = values.at("claim_retention").time,
            .drainTime = values.at("drain_time").time};
}

EffectiveConfig makeConfig(const std::string &site, const MergedConfig &merged)
{
    EffectiveConfig config;
    config.site = site;
    const auto siteValues = merged.sectionValues({"site", ""});
    config.siteSettings = {ZoneId(siteValues.at("zone").canonicalText), toCount(siteValues.at("daemons"))};
    config.routing = makeRouting(merged.sectionValues({"routing", ""}));
    config.repair = makeRepair(merged.sectionValues({"repair", ""}));
    config.alarms = makeAlarms(merged.sectionValues({"alarms", ""}));
    config.limits = makeLimits(merged.sectionValues({"limits", ""}));
    for (const auto &name : merged.sectionNames("model")) {
        config.models.push_back(makeModel(name, merged.sectionValues({"model", name})));
    }
    for (const auto &name : merged.sectionNames("customer")) {
        const auto values = merged.sectionValues({"customer", name});
        config.customers.push_back({CustomerId(name), values.at("share").number, toIds<ModelId>(values.at("models").items)});
    }
    for (const auto &name : merged.sectionNames("service")) {
        const auto values = merged.sectionValues({"service", name});
        config.services.push_back({ServiceId(name), values.at("pool").canonicalText, values.at("repeatable").flag, values.at("timeout").time});
    }
    for (const auto &name : merged.sectionNames("pool")) {
        const auto values = merged.sectionValues({"pool", name});
        config.pools.push_back({name, values.at("engines_check_fencing").flag, values.at("loads_per_minute").number});
    }
    config.entries = merged.entries();
    return config;
}

/// Checks the consistency between values of different keys.
class ConsistencyChecker
{
public:
    ConsistencyChecker(const EffectiveConfig &config, const MergedConfig &merged, const std::vector<DomainSize> &domains, std::vector<ConfigError> &errors)
        : config_(config)
        , merged_(merged)
        , domains_(domains)
        , errors_(errors)
    {
    }

    void checkModel(const ModelSettings &model)
    {
        const SectionId section{"model", model.id.str()};
        if (!model.pool.empty() && config_.findPool(model.pool) == nullptr) {
            addError(section, "pool", "expected a pool that has a section [pool " + model.pool + "]");
        }
        std::uint32_t largest = 0;
        bool isZoneKnown = false;
        for (const auto &domain : domains_) {
            if (domain.zone == config_.siteSettings.zone) {
                isZoneKnown = true;
                largest = domain.pool == model.pool ? std::max(largest, domain.vms) : largest;
            }
        }
        if (isZoneKnown && model.replicas > 0 && model.vmsPerReplica > largest) {
            addError(section, "vms_per_replica",
                     "expected at most " + std::to_string(largest) + ", the VMs of the largest fabric domain of pool " + model.pool + " in zone "
                         + config_.siteSettings.zone.str());
        }
    }

    void checkAll()
    {
        for (const auto &model : config_.models) {
            checkModel(model);
        }
        for (const auto &service : config_.services) {
            if (config_.findPool(service.pool) != nullptr) {
                addError({"service", service.id.str()}, "pool", "expected a pool without a section [pool " + service.pool + "], which runs models");
            }
        }
        for (const auto &customer : config_.customers) {
            for (const auto &model : customer.models) {
                if (config_.findModel(model) == nullptr) {
                    addError({"customer", customer.id.str()}, "models", "expected models that have a section, " + model.str() + " has none");
                }
            }
        }
        if (config_.repair.leaseRenewal * 2 > config_.repair.leaseTime) {
            addError({"repair", ""}, "lease_renewal", "expected at most half of lease_time, so that one lost renewal does not lose the lease");
        }
    }

private:
    void addError(const SectionId &section, std::string_view key, std::string expected)
    {
        errors_.push_back({merged_.findOrigin(section, key), section.toString() + "." + std::string(key), std::move(expected)});
    }

    const EffectiveConfig &config_;
    const MergedConfig &merged_;
    const std::vector<DomainSize> &domains_;
    std::vector<ConfigError> &errors_;
};

void checkZones(const std::map<std::string, EffectiveConfig> &sites, const std::map<std::string, MergedConfig> &merged, std::vector<ConfigError> &errors)
{
    std::map<std::string, std::string> siteOfZone;
    for (const auto &[site, config] : sites) {
        const auto &zone = config.siteSettings.zone;
        const auto [first, isNew] = siteOfZone.emplace(zone.str(), site);
        if (!isNew && !zone.isEmpty()) {
            errors.push_back(
                {merged.at(site).findOrigin({"site", ""}, "zone"), "site.zone", "expected a zone of its own, site " + first->second + " has the same"});
        }
    }
}

/// Sorts by file and line, and removes duplicates: an error in the base appears once per site.
void sortErrors(std::vector<ConfigError> &errors)
{
    const auto sortKey = [](const ConfigError &error) {
        return std::tie(error.origin.file, error.origin.line, error.key, error.expected);
    };
    std::sort(errors.begin(), errors.end(), [&](const ConfigError &a, const ConfigError &b) { return sortKey(a) < sortKey(b); });
    errors.erase(std::unique(errors.begin(), errors.end(), [&](const ConfigError &a, const ConfigError &b) { return sortKey(a) == sortKey(b); }), errors.end());
}

}

LoadedConfig loadConfig(const ConfigDocuments &documents, const std::vector<DomainSize> &domains)
{
    LoadedConfig loaded;
    const auto size = toJson(documents).size();
    if (size > MaxConfigBytes) {
        loaded.isTooLarge = true;
        loaded.errors.push_back(
            {{documents.baseFile(), 1}, {}, "expected at most " + std::to_string(MaxConfigBytes) + " bytes as JSON in total, found " + std::to_string(size)});
        return loaded;
    }
    const auto base = parseLayer(documents.base, documents.baseFile(), loaded.errors);
    if (documents.sites.empty()) {
        loaded.errors.push_back({{documents.baseFile(), 1}, {}, "expected at least one site overlay"});
    }
    std::map<std::string, MergedConfig> merged;
    for (const auto &[site, text] : documents.sites) {
        const auto overlay = parseLayer(text, documents.siteFile(site), loaded.errors);
        const auto &sources = merged.emplace(site, mergeLayers(base, overlay, loaded.errors)).first->second;
        auto config = makeConfig(site, sources);
        ConsistencyChecker(config, sources, domains, loaded.errors).checkAll();
        loaded.sites.emplace(site, std::move(config));
    }
    checkZones(loaded.sites, merged, loaded.errors);
    sortErrors(loaded.errors);
    if (!loaded.errors.empty()) {
        loaded.sites.clear();
    }
    return loaded;
}

}
