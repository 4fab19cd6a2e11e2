#pragma once

#include "core/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carawaypoint
{

/// A daemon process that holds or held the lease of a domain.
struct ControllerRef {
    MemberId daemon;
    Endpoint peerAddress;
    std::uint64_t process = 0; // incarnation of the daemon's process
    std::uint64_t epoch = 0; // of the lease term in which it was the holder

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the generated comparison with 0
    auto operator<=>(const ControllerRef &) const = default;
};

/// Binding of a VM to a replica.
enum class VmPhase : std::uint8_t {
    Free, // bound to no replica; no order to it is in flight
    Bound, // to one replica, as a member or as its spare
    Releasing, // removed from its replica, but an order in flight may still assign it to the replica again
};

/// A VM in the record of its domain.
struct VmEntry {
    VmId id;
    Endpoint address;
    std::string pool;
    VmPhase phase = VmPhase::Free;
    ReplicaId replica; // that the VM is bound to or released from; empty when free
    FencingNumber releaseFence; // fencing number of the release order; zero unless releasing
    bool isDraining = false; // whether an operator or the platform is taking the VM out of service

    bool operator==(const VmEntry &) const = default;
};

/// A replica in the record of its domain.
struct ReplicaEntry {
    ReplicaId id;
    FencingNumber fence; // fencing number of the orders to its members; the incarnation increases with every change of members or version
    ModelId model;
    std::string version;
    std::vector<std::string> adapters;
    std::uint32_t expectedMembers = 0;
    std::vector<VmId> members; // leader first
    VmId spare; // empty when none is bound
    bool isDraining = false; // gets no new work; members are replaced or released when its streams have ended

    bool operator==(const ReplicaEntry &) const = default;
};

/// The object `domain/<zone>.<domain>`: lease and assignment of one fabric domain.
struct DomainRecord {
    DomainKey key;
    std::uint64_t epoch = 0; // number of times that the lease was claimed
    std::optional<ControllerRef> holder; // empty after the lease was released
    std::uint64_t sequence = 0; // number of writes; epoch and sequence order the copies of the record by age
    std::string writerToken; // unique token of the last write
    std::uint64_t lastIncarnation = 0; // highest incarnation assigned to a replica or release of this domain
    std::vector<VmEntry> vms;
    std::vector<ReplicaEntry> replicas;
    std::vector<ControllerRef> unconfirmed; // former controllers that may have orders in flight

    bool operator==(const DomainRecord &) const = default;

    VmEntry *vm(const VmId &id);
    const VmEntry *vm(const VmId &id) const;
    ReplicaEntry *replica(const ReplicaId &id);
    const ReplicaEntry *replica(const ReplicaId &id) const;

    /// Whether this copy was written after @p other; false for a copy that the platform restored from an older state.
    bool isNewerThan(const DomainRecord &other) const
    {
        return std::pair(epoch, sequence) > std::pair(other.epoch, other.sequence);
    }
};

/// Encodes the record as JSON.
std::string encodeDomainRecord(const DomainRecord &record);

/// Decodes a record; empty when the text is not a complete, consistent record. A record is consistent when each VM has one
/// entry, every member and spare has an entry bound to that replica and belongs to no other, and every bound VM is a
/// member or the spare of its replica.
std::optional<DomainRecord> decodeDomainRecord(std::string_view text);

/// Whether @p record is consistent as defined for decodeDomainRecord().
bool isConsistent(const DomainRecord &record);

}
