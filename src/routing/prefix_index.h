#pragma once

#include "routing/dispatcher.h"

#include <cstdint>
#include <span>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace carawaypoint
{

/// Index of the replicas that probably hold a prompt prefix in their cache. Replicas are identified by the hash of their id.
class PrefixIndex
{
public:
    /// Returns false when cache events are missing; the hints stay until a complete update replaces them.
    bool applyUpdate(std::uint64_t replica, std::uint64_t incarnation, const CacheUpdate &update);
    /// Adds the prefixes of a request that was sent to the replica, which then caches them.
    void addSentRequest(std::uint64_t replica, std::span<const std::uint64_t> prefixes);
    /// Removes the hints of all replicas except @p replicas.
    void retainReplicas(const std::unordered_set<std::uint64_t> &replicas);

    /// Replicas that probably hold the longest of @p prefixes that any replica holds; empty when no replica holds any.
    std::span<const std::uint64_t> holdersOfLongestPrefix(std::span<const std::uint64_t> prefixes) const;
    /// Number of (replica, prefix) hints, for the memory limit.
    std::size_t size() const
    {
        return size_;
    }

private:
    struct Replica {
        std::uint64_t incarnation = 0;
        std::uint64_t lastSequence = 0;
        bool hasGap = true; // cache events are missing, as before the first complete update
        std::unordered_set<std::uint64_t> prefixes;
    };

    void insert(Replica &replica, std::uint64_t replicaHash, std::uint64_t prefix);
    void erase(Replica &replica, std::uint64_t replicaHash, std::uint64_t prefix);
    void clear(Replica &replica, std::uint64_t replicaHash);

    std::unordered_map<std::uint64_t, Replica> replicas_;
    std::unordered_map<std::uint64_t, std::vector<std::uint64_t>> holdersByPrefix_;
    std::size_t size_ = 0;
};

}
