#pragma once

#include "config/ini_document.h"
#include "core/clock.h"
#include "core/ids.h"
#include "core/routing_snapshot.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypoint
{

struct SiteSettings {
    ZoneId zone;
    std::uint32_t daemons = 1; // configured number; a daemon that reaches no peers divides each customer's share by it
};

struct ModelSettings {
    ModelId id;
    std::string version;
    std::vector<std::string> adapters;
    std::uint32_t vmsPerReplica = 1;
    std::uint32_t replicas = 0; // wanted number at this site
    std::uint32_t slotsPerReplica = 0;
    std::uint32_t maxPromptTokens = 0;
    std::uint32_t maxOutputTokens = 0;
    Duration firstTokenDeadline{};
    std::string pool;
};

struct CustomerSettings {
    CustomerId id;
    double share = 0; // relative to the other customers
    std::vector<ModelId> models; // that the customer may use; empty: all
};

struct ServiceSettings {
    ServiceId id;
    std::string pool;
    bool isRepeatable = false;
    Duration timeout{};
};

struct PoolSettings {
    std::string name;
    bool engineChecksFencing = false;
    double loadsPerMinute = 0; // loads of weights that may start per zone
};

struct RepairSettings {
    std::string strategy; // nearest_whole or first_fit
    Duration leaseTime{};
    Duration leaseRenewal{};
    Duration orderLifetime{}; // time after which a sent order can no longer arrive
};

/// Expected repair times: a condition that lasts longer without progress raises an alarm.
struct AlarmSettings {
    Duration replicaDown{};
    Duration domainLost{};
    Duration platformDown{};
    Duration zoneCutOff{};
    Duration daemonsLost{};
    Duration serviceDown{};
    Duration configNotInForce{};
    Duration clearAfter{}; // time without the condition until its alarm clears
};

struct LimitSettings {
    std::uint64_t maxBodyBytes = 0;
    std::uint32_t maxConnections = 0;
    Duration tokenTimeout{}; // longest time between two tokens of a stream
    Duration claimRetention{}; // of outcomes of calls that are not repeatable
    Duration drainTime{}; // time until a planned stop interrupts the remaining streams
};

/// One effective value with its origin.
struct EffectiveEntry {
    std::string section; // `model drafting`
    std::string key;
    std::string value; // canonical text, the same for equal values
    ConfigOrigin origin; // empty file name: the default of the schema

    std::string originText() const
    {
        return origin.file.empty() ? "default" : origin.toString();
    }
};

/// The checked configuration of one site, merged from base, overlay and defaults.
struct EffectiveConfig {
    std::string site;
    SiteSettings siteSettings;
    std::vector<ModelSettings> models;
    std::vector<CustomerSettings> customers;
    std::vector<ServiceSettings> services;
    std::vector<PoolSettings> pools;
    RoutingPolicy routing;
    RepairSettings repair;
    AlarmSettings alarms;
    LimitSettings limits;
    std::vector<EffectiveEntry> entries; // every value, by section and key

    const ModelSettings *findModel(const ModelId &id) const;
    const CustomerSettings *findCustomer(const CustomerId &id) const;
    const ServiceSettings *findService(const ServiceId &id) const;
    const PoolSettings *findPool(std::string_view name) const;
};

}
