#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace carawaypoint
{

/// Request fingerprints that are suspected of crashing servers. A fingerprint is quarantined after its second crash; a
/// suspect with one crash is cleared when its request completes. Fingerprint 0 means unknown and is never suspected.
class Quarantine
{
public:
    /// Adds a crash for a request that was in flight on a replica when the replica was lost.
    /// @param batchSize requests in flight on the replica when it was lost, this one included.
    void addCrash(std::uint64_t fingerprint, const ReplicaId &replica, std::uint64_t incarnation, std::uint32_t batchSize, TimePoint now);
    /// Adds a crash that a peer attributes to the fingerprint.
    void addPeerCrash(std::uint64_t fingerprint, TimePoint now);
    /// Removes a suspect whose request completed without a crash, unless it is quarantined.
    void clearSuspect(std::uint64_t fingerprint);

    bool isSuspect(std::uint64_t fingerprint) const;
    bool isQuarantined(std::uint64_t fingerprint) const;
    /// Sum over the crashes of 1 / the number of requests that were in flight on the lost replica.
    double crashWeight(std::uint64_t fingerprint) const;
    bool hasSuspects() const
    {
        return !suspects_.empty();
    }

    /// Sets whether a request with this fingerprint is running; only one runs at a time while it is a suspect.
    void setRunning(std::uint64_t fingerprint, bool isRunning);
    bool isRunning(std::uint64_t fingerprint) const;

    /// Returns the fingerprints of this daemon's crashes since the last call.
    std::vector<std::uint64_t> takeNewSuspects();
    /// Removes the suspects without a crash for the retention time.
    void expireSuspects(TimePoint now);

private:
    struct Suspect {
        unsigned crashes = 0;
        double crashWeight = 0;
        std::pair<ReplicaId, std::uint64_t> lastCrashedReplica; // with its incarnation, so that one crash counts once
        bool isRunning = false;
        TimePoint expiresAt;
    };

    /// Adds the suspect if necessary and restarts its retention time.
    Suspect &addOrRenew(std::uint64_t fingerprint, TimePoint now);
    const Suspect *find(std::uint64_t fingerprint) const;

    std::unordered_map<std::uint64_t, Suspect> suspects_;
    std::vector<std::uint64_t> unreportedSuspects_; // fingerprints for takeNewSuspects()
};

}
