#pragma once

#include "core/clock.h"

#include <algorithm>
#include <optional>

namespace carawaypoint
{

/// Times of a planned stop: until when requests are taken, and when the process ends.
class DrainSchedule
{
public:
    /// Time in which new connections are accepted: the load balancer removes a daemon after two failed readiness checks, one second apart.
    static constexpr Duration AcceptTime = milliseconds(3200);
    /// Time in which every request is taken. One that is sent later than 3 s after the signal must not be cut; the difference allows for a signal
    /// that is noticed late.
    static constexpr Duration OpenTime = milliseconds(2800);
    /// Part of the drain time that is left for releasing the lease, the last log lines and the end of the process.
    static constexpr Duration ExitTime = milliseconds(300);

    explicit DrainSchedule(Duration drainTime)
        : requestTime_(std::max(drainTime - ExitTime, drainTime / 2))
    {
    }

    void start(TimePoint now)
    {
        startedAt_ = startedAt_.value_or(now);
    }
    bool isStarted() const
    {
        return startedAt_.has_value();
    }
    /// Whether a request that is known at @p now may be sent to a server. After OpenTime it may if it ends by @p deadline at the latest,
    /// before the process does.
    bool mayTake(TimePoint deadline, TimePoint now) const
    {
        return !startedAt_ || now - *startedAt_ < std::min(OpenTime, requestTime_) || deadline <= *startedAt_ + requestTime_;
    }
    bool mayAccept(TimePoint now) const
    {
        return !startedAt_ || now - *startedAt_ < AcceptTime;
    }
    /// Whether requests in progress are cut.
    bool isOver(TimePoint now) const
    {
        return startedAt_ && now - *startedAt_ >= requestTime_;
    }

private:
    Duration requestTime_; // from the start until requests are cut
    std::optional<TimePoint> startedAt_;
};

}
