#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace carawaypoint
{

enum class MemberStatus : std::uint8_t {
    Alive,
    Suspect,
    Left, // said itself that it stops
    Dead,
};

/// What is known of a daemon. Records are ordered by (process, revision, status); the higher one wins.
struct MemberRecord {
    MemberId id;
    ZoneId zone;
    Endpoint address; // of the peer protocol
    std::uint64_t process = 0; // incarnation of the process, larger for a later start
    std::uint32_t revision = 0; // only the member itself raises it: to refute a suspicion or to change its record
    MemberStatus status = MemberStatus::Alive;
    std::uint64_t generation = 0; // of its configuration
    std::uint64_t generationDigest = 0;

    bool operator==(const MemberRecord &) const = default;
};

/// State of a backend server as one prober saw it.
struct ServerState {
    FencingNumber fencing;
    bool isSeen = false; // the last probe was answered
    bool isLoaded = false;
    bool isLeaving = false;
    std::uint16_t running = 0;
    std::uint16_t queued = 0;
    std::uint16_t runningLong = 0;
    std::uint32_t tokensPerSecond = 0;

    bool operator==(const ServerState &) const = default;
};

enum class EntryKind : std::uint8_t {
    Observation, // key: VM
    Demand, // key empty: counts per customer and replica
    CrashSuspect, // key: fingerprint; number: suspicion weight in thousandths
    Leaving, // key: VM
    ZoneFreshness, // key: zone; number: oldest observation of the zone in the owner's stamp ticks
    ZoneMissing, // key: VM of another zone that the ZoneFreshness of its owner does not cover
    ZoneDemand, // key: zone; counts summed over the zone
    Load, // key: VM; the load of an observed server, apart from it because it changes often and stays within the zone
};
constexpr std::uint8_t EntryKindCount = 8;

/// A counter whose key is the 32-bit hash of a customer or replica id (keyHash).
struct KeyCount {
    std::uint32_t key = 0;
    std::uint16_t count = 0;

    bool operator==(const KeyCount &) const = default;
};

/// A value that one member owns. Versions of one owner increase with every change.
struct StateEntry {
    EntryKind kind = EntryKind::Observation;
    std::string key;
    std::uint32_t version = 0;
    bool isRemoved = false;
    std::uint64_t number = 0;
    ServerState server;
    std::vector<KeyCount> customers;
    std::vector<KeyCount> replicas;
};

/// How much of an owner's state the sender knows, and the owner's freshness stamp at that version.
struct OwnerStamp {
    std::uint32_t owner = 0; // ownerKey() of the member
    std::uint16_t stamp = 0; // owner's clock in StampUnit, modulo 2^16: its seen servers were seen at this time
    std::uint32_t version = 0;
    bool hasStamp = false; // stamps older than MaxStampAge are left out
    std::uint8_t sinceException = 0; // versions since the last change that the stamp depends on; 255 for more
};

/// Changes of one owner's state in the order of their versions.
struct OwnerDelta {
    std::uint32_t owner = 0;
    std::uint32_t from = 0; // applies to a receiver that knows everything up to this version
    std::uint32_t floor = 0; // entries up to this version that are not repeated above it no longer exist
    std::uint32_t upTo = 0; // with these entries the receiver knows everything up to this version
    std::vector<StateEntry> entries;
};

/// Summary of a zone that a bridge member sends to another zone.
struct ZoneSummary {
    bool isPresent = false;
    bool isFresh = false;
    std::uint32_t ageMs = 0; // of the oldest observation that is within the observation bound
    std::vector<std::string> missing; // VMs whose last observation is older
    std::vector<KeyCount> customers;
    std::vector<KeyCount> replicas;
};

/// Body of an exchange, in both directions.
struct PeerMessage {
    MemberRecord sender;
    std::uint64_t memberDigest = 0;
    bool isRequestingFull = false;
    bool isFull = false;
    std::uint64_t platformRevision = 0; // highest seen
    std::vector<MemberRecord> members;
    std::vector<OwnerStamp> stamps;
    std::vector<OwnerDelta> deltas;
    ZoneSummary summary;
};

/// Bounds of a message; a longer one is malformed. Full messages have their own bound.
constexpr std::size_t MaxDeltaEntries = 64;
constexpr std::size_t MaxFullMembers = 4096;
constexpr std::size_t MaxFullEntries = 65536;
constexpr std::size_t MaxMissingInSummary = 64;
constexpr std::size_t MaxCountsPerEntry = 512;

/// Resolution of freshness stamps. They wrap after 655 s and are compared within half of it, so a stamp that a cut-off
/// member kept for longer would look new; older ones than MaxStampAge are therefore not sent.
constexpr Duration MaxStampAge = seconds(60);
constexpr Duration StampUnit = milliseconds(10);

}
