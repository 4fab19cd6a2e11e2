#include "daemon/initial_assignment.h"

#include "observe/log.h"

namespace carawaypoint
{

InitialAssignment::InitialAssignment(ObjectStore &store, EngineClient &engines, ZoneId zone, ModelId model, std::size_t vmsPerReplica)
    : store_(store)
    , engines_(engines)
    , zone_(std::move(zone))
    , model_(std::move(model))
    , vmsPerReplica_(vmsPerReplica)
{
}

void InitialAssignment::assign(const std::vector<VmRecord> &vms)
{
    std::map<DomainKey, std::vector<VmRecord>> domains;
    for (const auto &vm : vms) {
        if (vm.zone == zone_ && !vm.domain.isEmpty()) {
            domains[{vm.zone, vm.domain}].push_back(vm);
        }
    }
    for (const auto &[key, members] : domains) {
        if (std::exchange(isTried_[key], true)) {
            continue;
        }
        store_.put("domain", key.objectName(), "{}", WriteCondition::ifAbsent(), [this, key = key, members = members](std::error_code error, std::uint64_t) {
            if (!error) {
                sendOrders(key, members);
            }
        });
    }
}

void InitialAssignment::sendOrders(const DomainKey &domain, const std::vector<VmRecord> &vms)
{
    for (std::size_t first = 0; first + vmsPerReplica_ <= vms.size(); first += vmsPerReplica_) {
        EngineOrder order;
        order.fence = {1, 1};
        order.replica = ReplicaId(domain.objectName() + ".r" + std::to_string(first / vmsPerReplica_ + 1));
        order.model = model_;
        order.version = "1";
        for (std::size_t index = first; index < first + vmsPerReplica_; ++index) {
            order.members.push_back(vms[index].address);
        }
        for (std::size_t index = first; index < first + vmsPerReplica_; ++index) {
            order.role = index == first ? EngineRole::Leader : EngineRole::Worker;
            logDecision("placement", order.replica.str(), vms[index].id.str(), "first fit in the fabric domain", {{"domain", domain.objectName()}});
            engines_.sendOrder(vms[index].address, order, [](std::error_code) {});
        }
    }
}

}
