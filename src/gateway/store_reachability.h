#pragma once

#include "core/clock.h"

#include <utility>

namespace carawaypoint
{

/// Whether the store answers this gateway, judged by all of its calls together.
class StoreReachability
{
public:
    /// A call was answered, or a relay that receives answers sent a notice. Returns whether the store answers again after a failure.
    bool recordAnswer(TimePoint now)
    {
        answeredAt_ = now;
        return !std::exchange(isAnswering_, true);
    }
    /// A call that was sent at @p sentAt failed. One that was sent before the latest answer may have been lost in an outage that is over, so it
    /// counts for nothing. Returns whether it counts: the store is lost then.
    bool recordFailure(TimePoint sentAt)
    {
        const bool isCurrent = sentAt >= answeredAt_;
        isAnswering_ = isAnswering_ && !isCurrent;
        return isCurrent;
    }
    bool isAnswering() const
    {
        return isAnswering_;
    }

private:
    TimePoint answeredAt_{};
    bool isAnswering_ = true;
};

}
