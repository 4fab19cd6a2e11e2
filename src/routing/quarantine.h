#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace carawaypoint
{

/// Requests suspected of crashing servers, by fingerprint. A fingerprint is quarantined after its second crash; a
/// suspect that completes is cleared. Fingerprint 0 means that none is known and is never suspected.
class Quarantine
{
public:
    /// A request was in progress on a replica that was lost.
    /// @param sharers requests in flight on the replica when it was lost, this one included.
    void addCrash(std::uint64_t fingerprint, const ReplicaId &replica, std::uint64_t incarnation, std::uint32_t sharers, TimePoint now);
    /// A peer saw a crash with that fingerprint among the suspects.
    void addPeerCrash(std::uint64_t fingerprint, TimePoint now);
    /// The request ran to its end without a crash.
    void clear(std::uint64_t fingerprint);

    bool isSuspect(std::uint64_t fingerprint) const;
    bool isQuarantined(std::uint64_t fingerprint) const;
    /// Sum over the crashes of one divided by the number of requests that shared the batch.
    double weight(std::uint64_t fingerprint) const;
    bool hasSuspects() const
    {
        return !suspects_.empty();
    }

    /// Notes that a copy of a suspect starts or ends; only one runs at a time.
    void setRunning(std::uint64_t fingerprint, bool isRunning);
    bool isRunning(std::uint64_t fingerprint) const;

    /// Own crashes' fingerprints since the last call.
    std::vector<std::uint64_t> takeNewSuspects();
    void expire(TimePoint now);

private:
    struct Suspect {
        unsigned crashes = 0;
        double weight = 0;
        std::pair<ReplicaId, std::uint64_t> lastReplica; // and its incarnation; one crash counts once
        bool isRunning = false;
        TimePoint expiresAt;
    };

    Suspect &touch(std::uint64_t fingerprint, TimePoint now);
    const Suspect *find(std::uint64_t fingerprint) const;

    std::unordered_map<std::uint64_t, Suspect> suspects_;
    std::vector<std::uint64_t> unreported_;
};

}
