#pragma once

#include "core/ids.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace carawaypoint
{

/// State of a replica membership as the backend server reports it.
enum class MembershipState : std::uint8_t {
    Joining, // loads the weights or prepares to serve
    Ready,
    Open, // of the head: accepts requests
    Closing, // of the head: accepts no new requests, finishes those in progress
    Broken, // the replica cannot serve under this epoch any more
};

struct ReplicaMembership {
    ReplicaId replica;
    std::uint64_t epoch = 0;
    unsigned rank = 0; // 0 is the head
    MembershipState state = MembershipState::Joining;

    bool operator==(const ReplicaMembership &) const = default;
};

/// A backend server as described by its registration.
struct BackendServer {
    VmId id;
    ServiceId service;
    Endpoint address;
    ZoneId zone;
    FabricDomainId domain; // empty for plain services
    unsigned slots = 1; // requests that run concurrently
    bool isLeaving = false;
    bool isRegistrationLapsed = false; // the server is kept only as a member of a replica
    std::uint64_t startedAt = 0; // Unix time in ms; changes when the server restarts under the same id
    ModelId loadedModel; // empty when none is loaded
    std::vector<ModelId> stagedModels; // models whose weights are on its host
    std::optional<ReplicaMembership> membership;

    bool operator==(const BackendServer &) const = default;
};

}
