#include "routing/replica_entry.h"

#include <xxhash.h>

#include <algorithm>

namespace carawaypoint
{

namespace
{
// A report older than this is not corrected any more; it bounds the memory for the history.
constexpr Duration HistoryLength = seconds(5);
// Attempts that break within this time of each other belong to one loss of the replica.
// Daemons claim free slots in turns of this length. Reports show a claim after one to two seconds; with a new turn for each
// report several daemons would claim the same slot until then.
constexpr Duration ClaimTurn = seconds(6);
constexpr Duration SameLoss = seconds(1);

double fractionOf(std::uint64_t hash)
{
    return static_cast<double>(hash >> 11U) * 0x1p-53;
}
}

ReplicaEntry::ReplicaEntry(const ReplicaView &view)
    : id_(view.id)
    , idHash_(XXH3_64bits(view.id.str().data(), view.id.str().size()))
    , incarnation_(view.incarnation)
    , slots_(view.slots)
{
}

double ReplicaEntry::fixedFraction() const
{
    return fractionOf(idHash_);
}

std::uint32_t ReplicaEntry::noteLoss(TimePoint now)
{
    if (now - lostAt_ > SameLoss) {
        inFlightAtLoss_ = inFlight_;
    }
    lostAt_ = now;
    return inFlightAtLoss_;
}

void ReplicaEntry::addInFlight(bool isLong, TimePoint now)
{
    ++inFlight_;
    ++starting_;
    inFlightLong_ += isLong ? 1 : 0;
    record(now);
}

void ReplicaEntry::removeInFlight(bool isLong, bool isReclassified, bool hadToken, TimePoint now)
{
    reclassified_ -= isReclassified ? std::min(reclassified_, 1U) : 0;
    if (!hadToken) {
        noteFirstToken();
    }
    inFlight_ -= std::min(inFlight_, 1U);
    inFlightLong_ -= isLong ? std::min(inFlightLong_, 1U) : 0;
    record(now);
}

void ReplicaEntry::reclassifyAsLong(TimePoint now)
{
    ++inFlightLong_;
    ++reclassified_;
    record(now);
}

void ReplicaEntry::update(const ReplicaView &view, bool isPeerExchangeFresh, std::uint64_t salt)
{
    view_ = &view;
    slots_ = view.slots;
    const Change own = stateAt(view.load.reportedAt);
    ownLongAtReport_ = own.inFlightLong;
    daemonFraction_ = fractionOf(XXH3_64bits_withSeed(&idHash_, sizeof(idHash_), salt));
    const auto turn = view.load.reportedAt.time_since_epoch() / ClaimTurn;
    turnFraction_ = fractionOf(XXH3_64bits_withSeed(&turn, sizeof(turn), idHash_ ^ salt));
    const double reported = view.load.running + view.load.queued;
    const double byReport = std::max(0.0, reported - own.inFlight);
    // Report and exchange are independent late samples of the same number; their mean has the smaller error.
    peers_ = isPeerExchangeFresh ? (byReport + view.peerInFlight) / 2 : byReport;
    peersNow_ = peers_;
    reportedAt_ = view.load.reportedAt;
    // The engine counts as long what was declared so; own requests that were reclassified are not among them.
    const double ownDeclared = own.inFlightLong - std::min(own.inFlightLong, reclassified_);
    peersLong_ = std::max(0.0, view.load.runningLong - ownDeclared);
}

void ReplicaEntry::detach()
{
    view_ = nullptr;
}

void ReplicaEntry::record(TimePoint now)
{
    history_.push_back({now, inFlight_, inFlightLong_});
    while (history_.size() > 1 && history_[1].at < now - HistoryLength) {
        history_.pop_front();
    }
}

ReplicaEntry::Change ReplicaEntry::stateAt(TimePoint at) const
{
    const auto after = std::upper_bound(history_.begin(), history_.end(), at, [](TimePoint time, const Change &change) { return time < change.at; });
    return after == history_.begin() ? Change{} : *std::prev(after);
}

}
