#include "fleet/control_lease.h"

#include "objects/store_version.h"

#include <algorithm>
#include <utility>

namespace carawaypoint
{

namespace
{

/// Low bits of a term, which number the terms of an era.
constexpr unsigned TermsPerEraBits = 16;

}

ControlLease::ControlLease(MemberId self, std::uint64_t process, LeaseSettings settings)
    : self_(std::move(self))
    , process_(process)
    , settings_(settings)
{
}

bool ControlLease::isOwn() const
{
    return record_.holder == self_ && record_.process == process_;
}

void ControlLease::onObjectRead(const LeaseRecord &record, std::uint64_t version, TimePoint now)
{
    // A stale read must not overwrite the result of a later write or read.
    if (version < version_) {
        return;
    }
    mustRead_ = false;
    if (version == version_ && version != 0) {
        return;
    }
    const bool isNewVersion = version != version_;
    version_ = version;
    record_ = record;
    highestTerm_ = std::max(highestTerm_, record.term);
    if (isNewVersion || versionSeenAt_ == TimePoint{}) {
        versionSeenAt_ = now;
    }
    if (!isOwn()) {
        renewalSentAt_.reset();
    }
}

void ControlLease::onStoreRestored(TimePoint now)
{
    takeNotBefore_ = isHeld(now) ? now : now + settings_.takeoverTimeout;
    renewalSentAt_.reset();
    wasRestored_ = true;
    mustRead_ = true;
    isPendingOutdated_ = pendingWrite_.has_value();
}

std::uint64_t ControlLease::nextTerm() const
{
    return std::max(highestTerm_, storeEraOf(version_) << TermsPerEraBits) + 1;
}

std::optional<ControlLease::Write> ControlLease::takeWrite(TimePoint now)
{
    if (pendingWrite_ || mustRead() || now < takeNotBefore_) {
        return std::nullopt;
    }
    Write write{{self_, process_, record_.term, record_.renewals + 1}, version_};
    if (isOwn()) {
        if (renewalSentAt_ && now - *renewalSentAt_ < settings_.renewInterval) {
            return std::nullopt;
        }
        // After its validity timeout the holder starts a new term, as any other daemon would.
        write.record.term = isHeld(now) ? record_.term : nextTerm();
    } else {
        // A lease held by an earlier process of this daemon can be taken without waiting, since that process has ended.
        const bool isFree = storeCounterOf(version_) == 0 || record_.holder.isEmpty() || record_.holder == self_;
        if (!isFree && now - versionSeenAt_ < settings_.takeoverTimeout) {
            return std::nullopt;
        }
        write.record.term = nextTerm();
    }
    pendingWrite_ = write;
    pendingSentAt_ = now;
    return write;
}

void ControlLease::onWriteSucceeded(std::uint64_t version)
{
    if (!pendingWrite_) {
        return;
    }
    if (std::exchange(isPendingOutdated_, false)) {
        onWriteFailed(); // it took effect in an era that has ended
        return;
    }
    if (version > version_) {
        if (pendingWrite_->record.term != record_.term) {
            hasPredecessor_ = wasRestored_ || highestTerm_ != 0;
        }
        version_ = version;
        record_ = pendingWrite_->record;
        highestTerm_ = std::max(highestTerm_, record_.term);
        versionSeenAt_ = pendingSentAt_;
        renewalSentAt_ = pendingSentAt_;
    }
    pendingWrite_.reset();
}

void ControlLease::onWriteFailed()
{
    pendingWrite_.reset();
    isPendingOutdated_ = false;
    mustRead_ = true;
}

std::optional<ControlLease::Write> ControlLease::release(TimePoint now)
{
    if (!isHeld(now)) {
        return std::nullopt;
    }
    renewalSentAt_.reset();
    pendingWrite_ = Write{{MemberId(), 0, record_.term, 0}, version_};
    return pendingWrite_;
}

void ControlLease::onOrderRefused()
{
    isDoubted_ = true;
}

void ControlLease::confirm()
{
    isDoubted_ = false;
}

bool ControlLease::mayAct(TimePoint now) const
{
    return !isDoubted_ && isHeld(now);
}

bool ControlLease::isHeld(TimePoint now) const
{
    return isOwn() && renewalSentAt_ && now - *renewalSentAt_ < settings_.validityTimeout;
}

}
