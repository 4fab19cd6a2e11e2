#include "gateway/change_follower.h"

namespace carawaypoint
{

ChangeFollower::Step ChangeFollower::applyNotice(const ChangeNotice &notice, std::uint64_t revision, TimePoint now)
{
    lastNoticeAt_ = now;
    if (notice.toRevision <= revision) {
        return Step::None;
    }
    return notice.fromRevision <= revision && notice.isComplete ? Step::Apply : Step::CatchUp;
}

}
