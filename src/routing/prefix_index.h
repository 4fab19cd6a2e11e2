#pragma once

#include "routing/dispatcher.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace carawaypoint
{

/// Which replicas probably hold which prompt prefixes in their cache. Replicas are named by the hash of their id.
class PrefixIndex
{
public:
    /// False when events are missing; the hints stay until a complete update replaces them.
    bool apply(std::uint64_t replica, std::uint64_t incarnation, const CacheUpdate &update);
    /// Notes that a request with these prefixes was sent to the replica, which caches them.
    void addSent(std::uint64_t replica, std::span<const std::uint64_t> prefixes);
    /// Drops the hints of all replicas but @p replicas.
    void keepOnly(const std::unordered_set<std::uint64_t> &replicas);

    /// Replicas that probably hold the longest prefix that any of them holds; empty when none holds any.
    std::span<const std::uint64_t> holdersOfLongest(std::span<const std::uint64_t> prefixes) const;
    /// Number of hints, for the memory bound.
    std::size_t size() const
    {
        return size_;
    }

private:
    struct Replica {
        std::uint64_t incarnation = 0;
        std::uint64_t lastSequence = 0;
        bool hasGap = true; // until the first complete update
        std::unordered_set<std::uint64_t> prefixes;
    };

    void insert(Replica &replica, std::uint64_t replicaHash, std::uint64_t prefix);
    void erase(Replica &replica, std::uint64_t replicaHash, std::uint64_t prefix);
    void clear(Replica &replica, std::uint64_t replicaHash);

    std::unordered_map<std::uint64_t, Replica> replicas_;
    std::unordered_map<std::uint64_t, std::vector<std::uint64_t>> holders_; // by prefix
    std::size_t size_ = 0;
};

}
