#include "assignment/domain_record.h"

#include "core/json_reader.h"

#include <boost/json/serialize.hpp>

#include <algorithm>
#include <set>

namespace carawaypoint
{
namespace json = boost::json;
namespace
{

constexpr std::string_view PhaseNames[] = {"free", "bound", "releasing"};

json::object controllerJson(const ControllerRef &controller)
{
    return {{"daemon", controller.daemon.str()}, {"address", controller.peerAddress.toString()}, {"process", controller.process}, {"epoch", controller.epoch}};
}

bool readController(const json::value &value, ControllerRef &controller)
{
    JsonReader reader(value);
    std::string address;
    reader.readId("daemon", controller.daemon);
    reader.read("address", address);
    reader.read("process", controller.process);
    reader.read("epoch", controller.epoch);
    controller.peerAddress = Endpoint::parse(address);
    return reader.isGood() && !controller.daemon.isEmpty();
}

json::object vmJson(const VmEntry &vm)
{
    const auto phase = PhaseNames[static_cast<std::size_t>(vm.phase)];
    return {{"id", vm.id.str()},
            {"address", vm.address.toString()},
            {"pool", vm.pool},
            {"phase", json::string_view(phase.data(), phase.size())},
            {"replica", vm.replica.str()},
            {"release_epoch", vm.releaseFence.epoch},
            {"release_incarnation", vm.releaseFence.incarnation},
            {"draining", vm.isDraining}};
}

bool readVm(const json::value &value, VmEntry &vm)
{
    JsonReader reader(value);
    std::string address;
    std::string phase;
    reader.readId("id", vm.id);
    reader.read("address", address);
    reader.read("pool", vm.pool);
    reader.read("phase", phase);
    reader.readId("replica", vm.replica);
    reader.read("release_epoch", vm.releaseFence.epoch);
    reader.read("release_incarnation", vm.releaseFence.incarnation);
    reader.read("draining", vm.isDraining);
    vm.address = Endpoint::parse(address);
    const auto *const name = std::find(std::begin(PhaseNames), std::end(PhaseNames), phase);
    if (!reader.isGood() || name == std::end(PhaseNames) || vm.id.isEmpty() || !vm.address.isValid()) {
        return false;
    }
    vm.phase = static_cast<VmPhase>(name - std::begin(PhaseNames));
    return true;
}

json::object replicaJson(const ReplicaEntry &replica)
{
    json::array members;
    for (const auto &member : replica.members) {
        members.emplace_back(member.str());
    }
    return {{"id", replica.id.str()},
            {"epoch", replica.fence.epoch},
            {"incarnation", replica.fence.incarnation},
            {"model", replica.model.str()},
            {"version", replica.version},
            {"adapters", json::array(replica.adapters.begin(), replica.adapters.end())},
            {"expected_members", replica.expectedMembers},
            {"members", std::move(members)},
            {"spare", replica.spare.str()},
            {"draining", replica.isDraining}};
}

bool readReplica(const json::value &value, ReplicaEntry &replica)
{
    JsonReader reader(value);
    std::vector<std::string> members;
    reader.readId("id", replica.id);
    reader.read("epoch", replica.fence.epoch);
    reader.read("incarnation", replica.fence.incarnation);
    reader.readId("model", replica.model);
    reader.read("version", replica.version);
    reader.read("adapters", replica.adapters);
    reader.read("expected_members", replica.expectedMembers);
    reader.read("members", members);
    reader.readId("spare", replica.spare);
    reader.read("draining", replica.isDraining);
    for (auto &member : members) {
        replica.members.emplace_back(std::move(member));
    }
    return reader.isGood() && !replica.id.isEmpty() && replica.expectedMembers > 0 && replica.members.size() <= replica.expectedMembers;
}

template<typename Item>
json::array arrayJson(const std::vector<Item> &items, json::object (*convert)(const Item &))
{
    json::array array;
    for (const auto &item : items) {
        array.emplace_back(convert(item));
    }
    return array;
}

template<typename Item>
bool readArray(JsonReader &reader, std::string_view key, std::vector<Item> &items, bool (*readItem)(const json::value &, Item &))
{
    const auto *array = reader.array(key);
    return array && std::all_of(array->begin(), array->end(), [&](const json::value &value) { return readItem(value, items.emplace_back()); });
}

template<typename Items, typename Id>
auto *findById(Items &items, const Id &id)
{
    const auto found = std::find_if(items.begin(), items.end(), [&id](const auto &item) { return item.id == id; });
    return found == items.end() ? nullptr : &*found;
}

}

VmEntry *DomainRecord::vm(const VmId &id)
{
    return findById(vms, id);
}

const VmEntry *DomainRecord::vm(const VmId &id) const
{
    return findById(vms, id);
}

ReplicaEntry *DomainRecord::replica(const ReplicaId &id)
{
    return findById(replicas, id);
}

const ReplicaEntry *DomainRecord::replica(const ReplicaId &id) const
{
    return findById(replicas, id);
}

std::string encodeDomainRecord(const DomainRecord &record)
{
    json::object object{{"zone", record.key.zone.str()},
                        {"domain", record.key.domain.str()},
                        {"epoch", record.epoch},
                        {"sequence", record.sequence},
                        {"writer", record.writerToken},
                        {"last_incarnation", record.lastIncarnation},
                        {"vms", arrayJson(record.vms, vmJson)},
                        {"replicas", arrayJson(record.replicas, replicaJson)},
                        {"unconfirmed", arrayJson(record.unconfirmed, controllerJson)}};
    if (record.holder) {
        object["holder"] = controllerJson(*record.holder);
    }
    return json::serialize(object);
}

std::optional<DomainRecord> decodeDomainRecord(std::string_view text)
{
    const auto value = parseJson(text);
    if (!value) {
        return std::nullopt;
    }
    DomainRecord record;
    JsonReader reader(*value);
    reader.readId("zone", record.key.zone);
    reader.readId("domain", record.key.domain);
    reader.read("epoch", record.epoch);
    reader.read("sequence", record.sequence);
    reader.read("writer", record.writerToken);
    reader.read("last_incarnation", record.lastIncarnation);
    if (!readArray(reader, "vms", record.vms, readVm) || !readArray(reader, "replicas", record.replicas, readReplica)
        || !readArray(reader, "unconfirmed", record.unconfirmed, readController) || !reader.isGood()) {
        return std::nullopt;
    }
    if (const auto *holder = value->as_object().if_contains("holder")) {
        if (!readController(*holder, record.holder.emplace())) {
            return std::nullopt;
        }
    }
    return isConsistent(record) ? std::optional(std::move(record)) : std::nullopt;
}

bool isConsistent(const DomainRecord &record)
{
    std::set<VmId> used;
    std::set<ReplicaId> replicaIds;
    for (const auto &replica : record.replicas) {
        if (!replicaIds.insert(replica.id).second || replica.fence.incarnation > record.lastIncarnation) {
            return false;
        }
        auto vms = replica.members;
        if (!replica.spare.isEmpty()) {
            vms.push_back(replica.spare);
        }
        for (const auto &id : vms) {
            const auto *vm = record.vm(id);
            if (!vm || vm->phase != VmPhase::Bound || vm->replica != replica.id || !used.insert(id).second) {
                return false;
            }
        }
    }
    std::set<VmId> entries;
    return std::all_of(record.vms.begin(), record.vms.end(), [&](const VmEntry &vm) {
        const bool isUsed = used.contains(vm.id);
        return entries.insert(vm.id).second && isUsed == (vm.phase == VmPhase::Bound) && vm.replica.isEmpty() == (vm.phase == VmPhase::Free);
    });
}

}
