#include "daemon/observation_exchange.h"

#include <algorithm>
#include <limits>

namespace carawaypoint
{

namespace
{

std::uint16_t clampCount(std::uint32_t count)
{
    return static_cast<std::uint16_t>(std::min<std::uint32_t>(count, std::numeric_limits<std::uint16_t>::max()));
}

void fillPlacement(EngineState &state, const ReplicaEntry &replica, const VmId &vm)
{
    state.replica = replica.id;
    state.role = !replica.members.empty() && replica.members.front() == vm ? EngineRole::Leader : EngineRole::Worker;
    state.model = replica.model;
    state.version = replica.version;
    state.adapters = replica.adapters;
}

}

ServerState toServerState(const EngineState &state, bool isSeen)
{
    ServerState server;
    server.fencing = state.fence;
    server.isSeen = isSeen;
    server.isLoaded = state.isLoaded;
    server.isLeaving = state.isDraining;
    server.running = clampCount(state.load.running);
    server.queued = clampCount(state.load.queued);
    server.runningLong = clampCount(state.load.runningLong);
    server.tokensPerSecond = static_cast<std::uint32_t>(std::max(0.0, state.load.tokensPerSecond));
    return server;
}

VmObservation toVmObservation(const VmId &vm, const ServerState &server, TimePoint seenAt, const DomainRecord &record)
{
    VmObservation observation;
    observation.observedAt = seenAt;
    EngineState &state = observation.state;
    state.vm = vm;
    state.fence = server.fencing;
    state.isLoaded = server.isLoaded;
    state.isDraining = server.isLeaving;
    state.load.running = server.running;
    state.load.queued = server.queued;
    state.load.runningLong = server.runningLong;
    state.load.tokensPerSecond = server.tokensPerSecond;
    state.load.reportedAt = seenAt;
    const VmEntry *entry = record.vm(vm);
    const ReplicaEntry *replica = entry == nullptr ? nullptr : record.replica(entry->replica);
    if (replica != nullptr && replica->fence == server.fencing) {
        fillPlacement(state, *replica, vm);
    }
    return observation;
}

}
