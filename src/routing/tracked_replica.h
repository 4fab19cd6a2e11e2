#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/routing_snapshot.h"

#include <algorithm>
#include <cstdint>
#include <deque>

namespace carawaypoint
{

/// Load of one incarnation of a replica: this daemon's requests in flight and an estimate of the peers' requests. Requests
/// in flight keep the entry alive after the replica left the snapshot.
class TrackedReplica
{
public:
    explicit TrackedReplica(const ReplicaView &view);

    const ReplicaId &id() const
    {
        return id_;
    }
    /// Hash of the id for rendezvous hashing and the prefix index; the same at all daemons.
    std::uint64_t idHash() const
    {
        return idHash_;
    }
    std::uint64_t incarnation() const
    {
        return incarnation_;
    }
    std::uint32_t slots() const
    {
        return slots_;
    }
    /// The replica in the current snapshot; null when the snapshot does not contain it.
    const ReplicaView *view() const
    {
        return view_;
    }
    /// This daemon's requests in flight on the replica.
    std::uint32_t inFlight() const
    {
        return inFlight_;
    }
    /// This daemon's long requests in flight on the replica.
    std::uint32_t inFlightLong() const
    {
        return inFlightLong_;
    }
    /// This daemon's requests in flight that have no first token yet.
    std::uint32_t awaitingFirstToken() const
    {
        return awaitingFirstToken_;
    }
    void recordFirstToken()
    {
        awaitingFirstToken_ -= awaitingFirstToken_ > 0 ? 1 : 0;
    }
    /// Requests of all daemons on the replica: this daemon's plus the estimate for the peers.
    double estimatedLoad() const
    {
        return inFlight_ + estimatedPeers_;
    }
    /// Like estimatedLoad(), for long work only.
    double estimatedLong() const
    {
        return inFlightLong_ + reportedPeersLong_ * undeclaredLongFactor_;
    }
    /// Limit of this daemon's long requests with which those of all daemons fill @p slots: each daemon takes its part of the
    /// slots that were free at the last report, or releases its part of the excess.
    /// @param share this daemon's part of the free slots, 0 to 1.
    double longSlotLimit(double slots, double share) const
    {
        return ownLongAtReport_ + share * (slots - ownLongAtReport_ - reportedPeersLong_ * undeclaredLongFactor_);
    }
    /// Offset in [0, 1) for rounding a limit down. It changes every few seconds and differs between daemons, so that the sum
    /// of the rounded limits is right on average.
    double rotatingRoundingOffset() const
    {
        return rotatingRoundingOffset_;
    }
    /// Offset in [0, 1) for rounding a limit down. It is constant and differs between daemons.
    double daemonRoundingOffset() const
    {
        return daemonRoundingOffset_;
    }
    /// Offset in [0, 1) for rounding a limit down. It is the same at all daemons, for limits that all must compute alike.
    double fleetRoundingOffset() const;
    /// Part of its normal traffic that the replica may take, 0 to 1; below 1 while it is ejected as an outlier.
    double trafficWeight() const
    {
        return trafficWeight_;
    }
    void setTrafficWeight(double weight)
    {
        trafficWeight_ = weight;
    }
    /// Whether the replica is reserved for one crash suspect and takes no other requests.
    bool isIsolated() const
    {
        return isIsolated_;
    }
    void setIsolated(bool isolated)
    {
        isIsolated_ = isolated;
    }

    /// This daemon's crash suspects that run on the replica.
    std::uint32_t runningSuspects() const
    {
        return runningSuspects_;
    }
    void addSuspect()
    {
        ++runningSuspects_;
    }
    void removeSuspect()
    {
        runningSuspects_ -= runningSuspects_ > 0 ? 1 : 0;
    }
    /// Records that an attempt broke at @p now. Returns the requests that were in flight when the first attempt of this loss broke.
    std::uint32_t recordLoss(TimePoint now);
    /// When an attempt last broke; members that were not seen since then may be lost.
    TimePoint lostAt() const
    {
        return lostAt_;
    }

    void addInFlight(bool isLong, TimePoint now);
    /// @param hadToken whether recordFirstToken() was called for the request.
    void removeInFlight(bool isLong, bool isReclassified, bool hadToken, TimePoint now);
    /// Counts as long a request in flight that was counted as short.
    void reclassifyAsLong(TimePoint now);

    /// Short requests of the peers at the last load report.
    double reportedPeersShort() const
    {
        return std::max(0.0, reportedPeers_ - reportedPeersLong_);
    }
    /// Moves the estimate of the peers' short requests towards @p mean of the pool, since the reported number is out of date.
    /// @param reliability weight of the report: 1 for one of this moment, 0 for one too old to use.
    void correctPeerEstimate(double mean, double reliability)
    {
        estimatedPeers_ = reportedPeers_ + (1 - reliability) * (mean - reportedPeersShort());
    }
    /// This daemon's requests in flight that were sent as short work and reclassified as long.
    std::uint32_t reclassified() const
    {
        return reclassified_;
    }
    /// @param factor long requests of the peers for each one that they declared to the engine as long.
    void setUndeclaredLongFactor(double factor)
    {
        undeclaredLongFactor_ = factor;
    }
    /// Time of the last load report of the engine.
    TimePoint reportedAt() const
    {
        return reportedAt_;
    }

    /// Sets the replica's view in a new snapshot and the peer estimates from its load report and the peers' counts. @p view
    /// must stay valid until the next updateView() or detachFromSnapshot().
    /// @param salt seed of the rounding offsets that differ between daemons.
    void updateView(const ReplicaView &view, bool isPeerExchangeFresh, std::uint64_t salt);
    /// Clears the view when the replica is no longer in the snapshot.
    void detachFromSnapshot();

private:
    /// This daemon's request counts from a point in time on.
    struct CountsAt {
        TimePoint at;
        std::uint32_t inFlight = 0;
        std::uint32_t inFlightLong = 0;
    };

    void appendHistory(TimePoint now);
    CountsAt countsAt(TimePoint at) const;

    ReplicaId id_;
    std::uint64_t idHash_ = 0;
    std::uint64_t incarnation_ = 0;
    std::uint32_t slots_ = 0;
    const ReplicaView *view_ = nullptr;
    std::uint32_t inFlight_ = 0;
    std::uint32_t inFlightLong_ = 0;
    std::uint32_t awaitingFirstToken_ = 0;
    std::uint32_t reclassified_ = 0;
    double undeclaredLongFactor_ = 1;
    std::uint32_t ownLongAtReport_ = 0;
    double rotatingRoundingOffset_ = 0;
    double daemonRoundingOffset_ = 0;
    double reportedPeers_ = 0; // peers' requests by the last load report and peer exchange
    double estimatedPeers_ = 0; // reportedPeers_ corrected for the age of the report
    TimePoint reportedAt_{};
    double reportedPeersLong_ = 0; // peers' requests that were declared as long
    double trafficWeight_ = 1;
    bool isIsolated_ = false;
    std::uint32_t runningSuspects_ = 0;
    std::uint32_t inFlightAtLoss_ = 0; // requests in flight when the first attempt of the last loss broke
    TimePoint lostAt_{};
    std::deque<CountsAt> countHistory_; // this daemon's recent counts, which are subtracted from load reports of an earlier time
};

}
