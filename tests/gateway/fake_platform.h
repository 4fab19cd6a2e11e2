#pragma once

#include "core/json_reader.h"
#include "gateway/fleet_platform.h"
#include "objects/memory_object_store.h"

#include <cstdlib>
#include <map>
#include <string>

namespace carawaypoint
{

/// Counts the calls by kind of object. Watch calls of one kind may hang, as calls do that a silent store has swallowed.
class CountingStore : public MemoryObjectStore
{
public:
    using MemoryObjectStore::MemoryObjectStore;

    /// Watch calls for @p kind that are made from now on are never answered, those for "" are not affected.
    void swallowWatches(std::string kind)
    {
        swallowedKind_ = std::move(kind);
    }

    void list(std::string_view kind, ListHandler handler) override
    {
        ++callsByKind[std::string(kind)];
        MemoryObjectStore::list(kind, std::move(handler));
    }
    void watch(std::string_view kind, std::uint64_t afterRevision, Duration wait, WatchHandler handler) override
    {
        ++callsByKind[std::string(kind)];
        lastWaitByKind[std::string(kind)] = wait;
        if (kind != swallowedKind_) {
            MemoryObjectStore::watch(kind, afterRevision, wait, std::move(handler));
        }
    }

    std::map<std::string, unsigned> callsByKind;
    std::map<std::string, Duration> lastWaitByKind;

private:
    std::string swallowedKind_;
};

/// No test sends orders.
class UnusedOrderClient : public OrderClient
{
public:
    void send(const ReplicaOrder &, Handler) override
    {
        std::abort();
    }
    void probe(const VmId &, const Endpoint &, ProbeHandler) override
    {
        std::abort();
    }
};

class FakePlatform : public FleetPlatform
{
public:
    explicit FakePlatform(CountingStore &store)
        : store_(store)
    {
    }

    ObjectStore &store() override
    {
        return store_;
    }
    OrderClient &orders() override
    {
        return orders_;
    }
    std::string serverKind() const override
    {
        return "servers";
    }
    std::string configKind() const override
    {
        return "config";
    }
    std::string configName() const override
    {
        return "main";
    }
    std::string daemonKind() const override
    {
        return "daemons";
    }
    std::optional<BackendServer> decodeServer(const StoredObject &object) const override
    {
        if (object.value.empty()) {
            return std::nullopt;
        }
        BackendServer server;
        server.id = VmId(object.name);
        return server;
    }
    ServiceConfigPtr decodeConfig(const StoredObject &object) const override
    {
        auto config = std::make_shared<ServiceConfig>();
        config->version = object.version;
        const auto value = parseJson(object.value).value_or(boost::json::value());
        JsonReader(value).read("version", config->version, true);
        return config;
    }
    const WireNames &wireNames() const override
    {
        return names_;
    }

private:
    CountingStore &store_;
    UnusedOrderClient orders_;
    WireNames names_;
};

}
