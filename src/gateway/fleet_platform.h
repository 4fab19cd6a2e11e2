#pragma once

#include "fleet/backend_server.h"
#include "fleet/order_client.h"
#include "fleet/service_config.h"
#include "gateway/wire_names.h"
#include "objects/object_store.h"

#include <optional>
#include <string>

namespace carawaypoint
{

/// Interface to the platform on which a gateway runs. All methods except wireNames() are called on the control thread.
class FleetPlatform
{
public:
    virtual ~FleetPlatform() = default;

    virtual ObjectStore &store() = 0;
    virtual OrderClient &orders() = 0;

    /// Kind of the objects by which backend servers register themselves.
    virtual std::string serverKind() const = 0;
    /// Kind and name of the configuration.
    virtual std::string configKind() const = 0;
    virtual std::string configName() const = 0;
    /// Kind of the gateways' own objects: the lease and the daemons' addresses.
    virtual std::string daemonKind() const = 0;

    /// Empty when the object is not a valid registration.
    virtual std::optional<BackendServer> decodeServer(const StoredObject &object) const = 0;
    /// Null when the object is not a valid configuration.
    virtual ServiceConfigPtr decodeConfig(const StoredObject &object) const = 0;

    /// Constant for the lifetime of the process; may be called on any thread.
    virtual const WireNames &wireNames() const = 0;
};

}
