#include "gateway/change_follower.h"

#include <algorithm>

namespace carawaypoint
{

ChangeFollower::Step ChangeFollower::applyNotice(const ChangeNotice &notice, std::uint64_t revision, std::uint64_t configVersion, TimePoint now)
{
    lastNoticeAt_ = now;
    isNoticeRequired_ = false;
    namedRevision_ = std::max(namedRevision_, notice.toRevision);
    namedConfigVersion_ = std::max(namedConfigVersion_, notice.configVersion);
    const bool isApplied = notice.fromRevision <= revision && notice.isComplete;
    if (!missingSince_ && !isCurrent(isApplied ? std::max(revision, notice.toRevision) : revision, configVersion)) {
        missingSince_ = now;
    }
    if (notice.toRevision <= revision) {
        return Step::None;
    }
    return isApplied ? Step::Apply : Step::Gap;
}

ChangeFollower::Source ChangeFollower::nextSource(std::uint64_t revision, std::uint64_t configVersion, TimePoint now)
{
    if (isCurrent(revision, configVersion)) {
        missingSince_.reset();
        relayRequests_ = 0;
        return Source::None;
    }
    if (!missingSince_) {
        missingSince_ = now;
    }
    const bool isFirst = revision == 0;
    const bool isAnswerDue = relayRequests_ > 0 && now - askedAt_ < (isFirst ? FirstAnswerTimeout : RelayAnswerTimeout);
    if ((!isFirst && now - *missingSince_ < GapDelay) || isAnswerDue) {
        return Source::None;
    }
    askedAt_ = now;
    if (relayRequests_ >= (isFirst ? MaxFirstRequests : MaxRelayRequests)) {
        relayRequests_ = 0;
        missingSince_ = now + RelayAnswerTimeout;
        return Source::Store;
    }
    ++relayRequests_;
    return Source::Relay;
}

}
