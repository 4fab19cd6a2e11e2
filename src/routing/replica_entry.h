#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/routing_snapshot.h"

#include <algorithm>
#include <cstdint>
#include <deque>

namespace carawaypoint
{

/// What this daemon knows of one incarnation of a replica: its own requests in flight and an estimate of the others'.
/// Requests in flight keep their entry alive after the replica left the snapshot.
class ReplicaEntry
{
public:
    explicit ReplicaEntry(const ReplicaView &view);

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
    /// The replica in the current snapshot; null when it is not in it.
    const ReplicaView *view() const
    {
        return view_;
    }
    std::uint32_t inFlight() const
    {
        return inFlight_;
    }
    std::uint32_t inFlightLong() const
    {
        return inFlightLong_;
    }
    /// Own requests that have not got their first token.
    std::uint32_t starting() const
    {
        return starting_;
    }
    void noteFirstToken()
    {
        starting_ -= starting_ > 0 ? 1 : 0;
    }
    /// Requests of the whole fleet on the replica: own ones plus the last known count of the peers.
    double estimatedLoad() const
    {
        return inFlight_ + peersNow_;
    }
    /// Like estimatedLoad(), for long work only.
    double estimatedLong() const
    {
        return inFlightLong_ + peersLong_ * hiddenLongFactor_;
    }
    /// Own long requests that keep the fleet's total at @p slots when every daemon claims its part of the slots that were
    /// free at the last report, or gives up its part of the excess.
    /// @param share of this daemon, 0 to 1.
    double longClaimLimit(double slots, double share) const
    {
        return ownLongAtReport_ + share * (slots - ownLongAtReport_ - peersLong_ * hiddenLongFactor_);
    }
    /// Number in [0, 1) that changes every few seconds and differs between daemons, for rounding limits so that their sum is right on average.
    double turnFraction() const
    {
        return turnFraction_;
    }
    /// Number in [0, 1) that stays the same and differs between daemons.
    double daemonFraction() const
    {
        return daemonFraction_;
    }
    /// Number in [0, 1) that is the same at all daemons, for rounding limits that all of them have to agree on.
    double fixedFraction() const;
    /// Part of its normal traffic that the replica may take, 0 to 1; below 1 while it is ejected as an outlier.
    double weight() const
    {
        return weight_;
    }
    void setWeight(double weight)
    {
        weight_ = weight;
    }
    /// Whether a crash suspect runs alone on the replica, so that it takes nothing else.
    bool isIsolated() const
    {
        return isIsolated_;
    }
    void setIsolated(bool isolated)
    {
        isIsolated_ = isolated;
    }

    /// Crash suspects that run on the replica.
    std::uint32_t suspects() const
    {
        return suspects_;
    }
    void addSuspect()
    {
        ++suspects_;
    }
    void removeSuspect()
    {
        suspects_ -= suspects_ > 0 ? 1 : 0;
    }
    /// An attempt broke at @p now. Returns the requests that were in flight at the first such moment.
    std::uint32_t noteLoss(TimePoint now);
    /// When an attempt last broke; members that were not seen since then are not known to live.
    TimePoint lostAt() const
    {
        return lostAt_;
    }

    void addInFlight(bool isLong, TimePoint now);
    /// @param hadToken whether noteFirstToken() was called for the request.
    void removeInFlight(bool isLong, bool isReclassified, bool hadToken, TimePoint now);
    /// A request counted as short turned out to be long.
    void reclassifyAsLong(TimePoint now);

    /// Short requests of the peers at the last report.
    double reportedPeersShort() const
    {
        return std::max(0.0, peers_ - peersLong_);
    }
    /// Moves the peers' short requests towards @p mean of the pool, since they change while the report travels.
    /// @param reliability 1 for a report of this moment, 0 for one that says nothing any more.
    void correctPeers(double mean, double reliability)
    {
        peersNow_ = peers_ + (1 - reliability) * (mean - reportedPeersShort());
    }
    /// Own requests that were sent as short work and turned out to be long.
    std::uint32_t reclassified() const
    {
        return reclassified_;
    }
    /// @param factor long requests of the peers per one that they declared as long to the engine.
    void setHiddenLongFactor(double factor)
    {
        hiddenLongFactor_ = factor;
    }
    TimePoint reportedAt() const
    {
        return reportedAt_;
    }

    /// Takes over load report and peers' counts. @p view must outlive the entry's use or be replaced.
    /// @param salt of this daemon.
    void update(const ReplicaView &view, bool isPeerExchangeFresh, std::uint64_t salt);
    void detach();

private:
    struct Change {
        TimePoint at;
        std::uint32_t inFlight = 0;
        std::uint32_t inFlightLong = 0;
    };

    void record(TimePoint now);
    Change stateAt(TimePoint at) const;

    ReplicaId id_;
    std::uint64_t idHash_ = 0;
    std::uint64_t incarnation_ = 0;
    std::uint32_t slots_ = 0;
    const ReplicaView *view_ = nullptr;
    std::uint32_t inFlight_ = 0;
    std::uint32_t inFlightLong_ = 0;
    std::uint32_t starting_ = 0;
    std::uint32_t reclassified_ = 0;
    double hiddenLongFactor_ = 1;
    std::uint32_t ownLongAtReport_ = 0;
    double turnFraction_ = 0;
    double daemonFraction_ = 0;
    double peers_ = 0; // by the last report and exchange
    double peersNow_ = 0; // corrected for their age
    TimePoint reportedAt_{};
    double peersLong_ = 0;
    double weight_ = 1;
    bool isIsolated_ = false;
    std::uint32_t suspects_ = 0;
    std::uint32_t inFlightAtLoss_ = 0;
    TimePoint lostAt_{};
    std::deque<Change> history_; // of the own counts, to subtract them from a report of an earlier moment
};

}
