#pragma once

#include "core/clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace carawaypoint::experiments
{

/// Runs actions in the order of their virtual time. Actions with the same time run in the order in which they were scheduled.
class EventLoop
{
public:
    using Action = std::function<void()>;

    const ManualClock &clock() const
    {
        return clock_;
    }
    TimePoint now() const
    {
        return clock_.now();
    }
    void scheduleAt(TimePoint time, Action action);
    void scheduleAfter(Duration delay, Action action);
    void runUntil(TimePoint end);

private:
    struct Event {
        TimePoint time;
        std::uint64_t sequence = 0;
        Action action;

        bool operator>(const Event &other) const
        {
            return std::pair(time, sequence) > std::pair(other.time, other.sequence);
        }
    };

    ManualClock clock_;
    std::uint64_t sequence_ = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> events_;
};

}
