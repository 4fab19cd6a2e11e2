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

/// A process that holds or held the lease of a domain.
struct ControllerRef {
    MemberId daemon;
    Endpoint peerAddress;
    std::uint64_t process = 0; // incarnation of the daemon's process
    std::uint64_t epoch = 0; // in which it held the lease

    // NOLINTNEXTLINE(modernize-use-nullptr): false positive on the generated comparison with 0
    auto operator<=>(const ControllerRef &) const = default;
};

enum class VmPhase : std::uint8_t {
    Free, // no order is outstanding and none can arrive late
    Bound, // to one replica, as a member or as its spare
    Releasing, // still bound to its replica: a late order may put it back there
};

/// A VM of the domain.
struct VmEntry {
    VmId id;
    Endpoint address;
    std::string pool;
    VmPhase phase = VmPhase::Free;
    ReplicaId replica; // empty when free
    FencingNumber releaseFence; // of the release order; zero unless releasing
    bool isDraining = false; // an operator or the platform takes it out of service

    bool operator==(const VmEntry &) const = default;
};

struct ReplicaEntry {
    ReplicaId id;
    FencingNumber fence; // of the orders to its members; its incarnation changes with every change of members or version
    ModelId model;
    std::string version;
    std::vector<std::string> adapters;
    std::uint32_t expectedMembers = 0;
    std::vector<VmId> members; // leader first
    VmId spare; // empty when none is bound
    bool isDraining = false; // gets no new work; members are exchanged or released when its streams have ended

    bool operator==(const ReplicaEntry &) const = default;
};

/// The object `domain/<zone>.<domain>`: lease and assignment of one fabric domain.
struct DomainRecord {
    DomainKey key;
    std::uint64_t epoch = 0; // counts takeovers of the lease
    std::optional<ControllerRef> holder; // empty after the lease was given back
    std::uint64_t sequence = 0; // counts writes; with the epoch it orders copies of the record
    std::string writerToken; // of the last write, unique to it
    std::uint64_t lastIncarnation = 0; // highest one given to a replica or a release of this domain
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

/// JSON text of the record.
std::string encodeDomainRecord(const DomainRecord &record);

/// Reads a record; empty when the text is not a whole, consistent record. A record is consistent when each VM has one
/// entry, every member and spare has an entry bound to that replica and belongs to no other, and every bound VM is a
/// member or the spare of its replica.
std::optional<DomainRecord> decodeDomainRecord(std::string_view text);

/// Whether @p record is consistent as defined for decodeDomainRecord().
bool isConsistent(const DomainRecord &record);

}
