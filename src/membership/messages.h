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
    Left, // the member announced that it stops
    Dead,
};

/// A daemon as other daemons know it. Records are ordered by (process, revision, status); the higher one replaces the other.
struct MemberRecord {
    MemberId id;
    ZoneId zone;
    Endpoint address; // of the peer protocol
    std::uint64_t process = 0; // incarnation of the process, larger for a later start
    std::uint32_t revision = 0; // raised only by the member itself, to refute a suspicion or change its record
    MemberStatus status = MemberStatus::Alive;
    std::uint64_t generation = 0; // of the configuration in force at the member
    std::uint64_t generationDigest = 0;

    bool operator==(const MemberRecord &) const = default;
};

/// State of a backend server as one prober observed it.
struct ServerState {
    FencingNumber fencing;
    bool isSeen = false; // whether the last probe was answered
    bool isLoaded = false;
    bool isLeaving = false;
    std::uint16_t running = 0; // requests
    std::uint16_t queued = 0; // requests
    std::uint16_t runningLong = 0; // those of running that are long work
    std::uint32_t tokensPerSecond = 0;

    bool operator==(const ServerState &) const = default;
};

enum class EntryKind : std::uint8_t {
    Observation, // key: VM
    Demand, // key empty: counts per customer and replica
    CrashSuspect, // key: fingerprint; number: suspicion weight in thousandths
    Leaving, // key: VM
    ZoneFreshness, // key: zone; number: time of the zone's oldest observation, in StampUnit of the owner's clock
    ZoneMissing, // key: VM of another zone that is not covered by the ZoneFreshness entry of the same owner
    ZoneDemand, // key: zone; counts summed over the zone
    Load, // key: VM; load of the server. Separate from Observation, as it changes often and is sent only within the zone
};
constexpr std::uint8_t EntryKindCount = 8;

/// A counter whose key is the 32-bit hash of a customer or replica id (keyHash).
struct KeyCount {
    std::uint32_t key = 0;
    std::uint16_t count = 0;

    bool operator==(const KeyCount &) const = default;
};

/// A value of the shared state that one member owns. The owner's version increases with every change.
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

/// The version of an owner's state that the sender knows, and the owner's freshness stamp at that version.
struct OwnerStamp {
    std::uint32_t owner = 0; // ownerKey() of the member
    std::uint16_t stamp = 0; // owner's clock in StampUnit, modulo 2^16, when its servers with isSeen were last seen
    std::uint32_t version = 0;
    bool hasStamp = false; // stamps older than MaxStampAge are not sent
    std::uint8_t sinceException = 0; // versions since the last change that readers need before they may use the stamp; at most 255
};

/// Changes of one owner's state in the order of their versions.
struct OwnerDelta {
    std::uint32_t owner = 0;
    std::uint32_t from = 0; // the receiver has to know all entries up to this version
    std::uint32_t floor = 0; // entries with a version up to this one no longer exist, unless repeated with a higher version
    std::uint32_t upTo = 0; // version that the receiver knows completely after these entries
    std::vector<StateEntry> entries;
};

/// Summary of a zone that a bridge member sends to another zone.
struct ZoneSummary {
    bool isPresent = false;
    bool isFresh = false;
    std::uint32_t ageMs = 0; // of the oldest observation that is within the observation bound
    std::vector<std::string> missing; // VMs whose last observation is older than the observation bound
    std::vector<KeyCount> customers;
    std::vector<KeyCount> replicas;
};

/// Body of an exchange, in both directions.
struct PeerMessage {
    MemberRecord sender;
    std::uint64_t memberDigest = 0;
    bool isRequestingFull = false;
    bool isFull = false;
    std::uint64_t platformRevision = 0; // highest revision of the platform that the sender knows
    std::vector<MemberRecord> members;
    std::vector<OwnerStamp> stamps;
    std::vector<OwnerDelta> deltas;
    ZoneSummary summary;
};

/// Size limits of a message; a longer one is malformed. Full messages have separate limits.
constexpr std::size_t MaxDeltaEntries = 64;
constexpr std::size_t MaxFullMembers = 4096;
constexpr std::size_t MaxFullEntries = 65536;
constexpr std::size_t MaxMissingInSummary = 64;
constexpr std::size_t MaxCountsPerEntry = 512;

/// Resolution and maximum age of freshness stamps. Stamps wrap after 655 s and are compared within half of that range, so an
/// older stamp from a partitioned member would look new. Stamps older than MaxStampAge are therefore not sent.
constexpr Duration MaxStampAge = seconds(60);
constexpr Duration StampUnit = milliseconds(10);

}
