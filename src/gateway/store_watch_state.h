#pragma once

#include "core/clock.h"

namespace carawaypoint
{

/// Whether a relay's view of one kind of objects is current, so that others may rely on it.
class StoreWatchState
{
public:
    /// A watch call is answered or has failed by then; limits the time until a call without an answer is noticed.
    static constexpr Duration MaxAnswerAge = milliseconds(1800);

    void recordAnswer(TimePoint now)
    {
        answeredAt_ = now;
        hasFailed_ = false;
    }
    /// The store refused a call or did not answer it. It may do so for this gateway only, while others learn of changes.
    void recordFailure()
    {
        hasFailed_ = true;
    }
    bool isCurrent(TimePoint now) const
    {
        return !hasFailed_ && now - answeredAt_ < MaxAnswerAge;
    }

private:
    TimePoint answeredAt_{};
    bool hasFailed_ = true; // until the first answer
};

}
