#include "routing/prefix_index.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{
constexpr std::size_t MaxHints = 65536; // about 120 bytes each: a quarter of the daemon's memory limit of 32 MB
}

bool PrefixIndex::applyUpdate(std::uint64_t replicaHash, std::uint64_t incarnation, const CacheUpdate &update)
{
    Replica &replica = replicas_[replicaHash];
    if (replica.incarnation != incarnation) {
        clear(replica, replicaHash);
        replica.incarnation = incarnation;
        replica.lastSequence = 0;
        replica.hasGap = true;
    }
    if (update.isComplete) {
        clear(replica, replicaHash);
        replica.lastSequence = 0;
        replica.hasGap = false;
    }
    std::uint64_t expected = replica.lastSequence + 1;
    for (const CacheUpdate::Change &change : update.changes) {
        if (!update.isComplete) {
            if (change.sequence < expected) {
                continue; // applied before
            }
            replica.hasGap = replica.hasGap || change.sequence > expected;
            expected = change.sequence + 1;
        }
        if (change.isEvicted) {
            erase(replica, replicaHash, change.prefixHash);
        } else {
            insert(replica, replicaHash, change.prefixHash);
        }
    }
    replica.hasGap = replica.hasGap || (!update.isComplete && update.lastSequence >= expected);
    replica.lastSequence = std::max(replica.lastSequence, update.lastSequence);
    return !replica.hasGap;
}

void PrefixIndex::addSentRequest(std::uint64_t replicaHash, std::span<const std::uint64_t> prefixes)
{
    Replica &replica = replicas_[replicaHash];
    for (const std::uint64_t prefix : prefixes) {
        insert(replica, replicaHash, prefix);
    }
}

void PrefixIndex::retainReplicas(const std::unordered_set<std::uint64_t> &replicas)
{
    for (auto item = replicas_.begin(); item != replicas_.end();) {
        if (replicas.contains(item->first)) {
            ++item;
            continue;
        }
        clear(item->second, item->first);
        item = replicas_.erase(item);
    }
}

std::span<const std::uint64_t> PrefixIndex::holdersOfLongestPrefix(std::span<const std::uint64_t> prefixes) const
{
    for (std::size_t length = prefixes.size(); length > 0; --length) {
        const auto found = holdersByPrefix_.find(prefixes[length - 1]);
        if (found != holdersByPrefix_.end()) {
            return found->second;
        }
    }
    return {};
}

void PrefixIndex::insert(Replica &replica, std::uint64_t replicaHash, std::uint64_t prefix)
{
    if (size_ >= MaxHints || !replica.prefixes.insert(prefix).second) {
        return;
    }
    holdersByPrefix_[prefix].push_back(replicaHash);
    ++size_;
}

void PrefixIndex::erase(Replica &replica, std::uint64_t replicaHash, std::uint64_t prefix)
{
    if (replica.prefixes.erase(prefix) == 0) {
        return;
    }
    const auto found = holdersByPrefix_.find(prefix);
    std::erase(found->second, replicaHash);
    if (found->second.empty()) {
        holdersByPrefix_.erase(found);
    }
    --size_;
}

void PrefixIndex::clear(Replica &replica, std::uint64_t replicaHash)
{
    while (!replica.prefixes.empty()) {
        erase(replica, replicaHash, *replica.prefixes.begin());
    }
}

}
