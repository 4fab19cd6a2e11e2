#pragma once

#include "engine/engine_client.h"
#include "platform/object_store.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace carawaypoint
{

/// Assigns the VMs of each fabric domain of one zone to replicas once, first fit. The daemon that creates the domain's object
/// sends the orders. Repairs nothing.
class InitialAssignment
{
public:
    InitialAssignment(ObjectStore &store, EngineClient &engines, ZoneId zone, ModelId model, std::size_t vmsPerReplica);

    /// Claims and assigns every domain of the zone in @p vms that has no object yet.
    void assign(const std::vector<VmRecord> &vms);

private:
    void sendOrders(const DomainKey &domain, const std::vector<VmRecord> &vms);

    ObjectStore &store_;
    EngineClient &engines_;
    ZoneId zone_;
    ModelId model_;
    std::size_t vmsPerReplica_;
    std::map<DomainKey, bool> isTried_;
};

}
