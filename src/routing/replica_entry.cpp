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
constexpr Duration SameLoss = seconds(1);
}

ReplicaEntry::ReplicaEntry(const ReplicaView &view)
    : id_(view.id)
    , idHash_(XXH3_64bits(view.id.str().data(), view.id.str().size()))
    , incarnation_(view.incarnation)
    , slots_(view.slots)
{
}

std::uint32_t ReplicaEntry::growthSinceReport() const
{
    return inFlight_ > ownAtReport_ ? inFlight_ - ownAtReport_ : 0;
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
    inFlightLong_ += isLong ? 1 : 0;
    record(now);
}

void ReplicaEntry::removeInFlight(bool isLong, TimePoint now)
{
    inFlight_ -= std::min(inFlight_, 1U);
    inFlightLong_ -= isLong ? std::min(inFlightLong_, 1U) : 0;
    record(now);
}

void ReplicaEntry::reclassifyAsLong(TimePoint now)
{
    ++inFlightLong_;
    record(now);
}

void ReplicaEntry::update(const ReplicaView &view, bool isPeerExchangeFresh)
{
    view_ = &view;
    slots_ = view.slots;
    const Change own = stateAt(view.load.reportedAt);
    ownAtReport_ = own.inFlight;
    const double reported = view.load.running + view.load.queued;
    const double byReport = std::max(0.0, reported - own.inFlight);
    // Report and exchange are independent late samples of the same number; their mean has the smaller error.
    peers_ = isPeerExchangeFresh ? (byReport + view.peerInFlight) / 2 : byReport;
    peersLong_ = std::max(0.0, static_cast<double>(view.load.runningLong) - own.inFlightLong);
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
