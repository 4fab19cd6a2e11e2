#include "routing/tracked_replica.h"

#include <xxhash.h>

#include <algorithm>

namespace carawaypoint
{

namespace
{
// From load reports older than this, this daemon's own counts may not be subtracted. Limits the memory of the history.
constexpr Duration CountHistoryRetention = seconds(5);
// Daemons take turns of this length in filling free slots. Load reports show a new request after one to two seconds; if
// the turn changed with each report, several daemons would fill the same slot before that.
constexpr Duration SlotTurnDuration = seconds(6);
// Attempts that break within this time of each other belong to one loss of the replica.
constexpr Duration SameLossWindow = seconds(1);

double hashToFraction(std::uint64_t hash)
{
    return static_cast<double>(hash >> 11U) * 0x1p-53;
}
}

TrackedReplica::TrackedReplica(const ReplicaView &view)
    : id_(view.id)
    , idHash_(XXH3_64bits(view.id.str().data(), view.id.str().size()))
    , incarnation_(view.incarnation)
    , slots_(view.slots)
{
}

double TrackedReplica::fleetRoundingOffset() const
{
    return hashToFraction(idHash_);
}

std::uint32_t TrackedReplica::recordLoss(TimePoint now)
{
    if (now - lostAt_ > SameLossWindow) {
        inFlightAtLoss_ = inFlight_;
    }
    lostAt_ = now;
    return inFlightAtLoss_;
}

void TrackedReplica::addInFlight(bool isLong, TimePoint now)
{
    ++inFlight_;
    ++awaitingFirstToken_;
    inFlightLong_ += isLong ? 1 : 0;
    appendHistory(now);
}

void TrackedReplica::removeInFlight(bool isLong, bool isReclassified, bool hadToken, TimePoint now)
{
    reclassified_ -= isReclassified ? std::min(reclassified_, 1U) : 0;
    if (!hadToken) {
        recordFirstToken();
    }
    inFlight_ -= std::min(inFlight_, 1U);
    inFlightLong_ -= isLong ? std::min(inFlightLong_, 1U) : 0;
    appendHistory(now);
}

void TrackedReplica::reclassifyAsLong(TimePoint now)
{
    ++inFlightLong_;
    ++reclassified_;
    appendHistory(now);
}

void TrackedReplica::updateView(const ReplicaView &view, bool isPeerExchangeFresh, std::uint64_t salt)
{
    view_ = &view;
    slots_ = view.slots;
    const CountsAt own = countsAt(view.load.reportedAt);
    ownLongAtReport_ = own.inFlightLong;
    daemonRoundingOffset_ = hashToFraction(XXH3_64bits_withSeed(&idHash_, sizeof(idHash_), salt));
    const auto turn = view.load.reportedAt.time_since_epoch() / SlotTurnDuration;
    rotatingRoundingOffset_ = hashToFraction(XXH3_64bits_withSeed(&turn, sizeof(turn), idHash_ ^ salt));
    const double reported = view.load.running + view.load.queued;
    const double byReport = std::max(0.0, reported - own.inFlight);
    // The load report and the peer exchange are independent delayed samples of the same number; their mean has a smaller error.
    reportedPeers_ = isPeerExchangeFresh ? (byReport + view.peerInFlight) / 2 : byReport;
    estimatedPeers_ = reportedPeers_;
    reportedAt_ = view.load.reportedAt;
    // The engine counts requests declared as long; this daemon's reclassified requests are not among them.
    const double ownDeclared = own.inFlightLong - std::min(own.inFlightLong, reclassified_);
    reportedPeersLong_ = std::max(0.0, view.load.runningLong - ownDeclared);
}

void TrackedReplica::detachFromSnapshot()
{
    view_ = nullptr;
}

void TrackedReplica::appendHistory(TimePoint now)
{
    countHistory_.push_back({now, inFlight_, inFlightLong_});
    while (countHistory_.size() > 1 && countHistory_[1].at < now - CountHistoryRetention) {
        countHistory_.pop_front();
    }
}

TrackedReplica::CountsAt TrackedReplica::countsAt(TimePoint at) const
{
    const auto after =
        std::upper_bound(countHistory_.begin(), countHistory_.end(), at, [](TimePoint time, const CountsAt &change) { return time < change.at; });
    return after == countHistory_.begin() ? CountsAt{} : *std::prev(after);
}

}
