#include "experiments/event_loop.h"

#include <algorithm>

namespace carawaypoint::experiments
{

void EventLoop::scheduleAt(TimePoint time, Action action)
{
    events_.push({std::max(time, now()), ++sequence_, std::move(action)});
}

void EventLoop::scheduleAfter(Duration delay, Action action)
{
    scheduleAt(now() + delay, std::move(action));
}

void EventLoop::runUntil(TimePoint end)
{
    while (!events_.empty() && events_.top().time <= end) {
        // std::priority_queue::top() returns a const reference, so the cast is needed to move the action out before pop().
        Action action = std::move(const_cast<Event &>(events_.top()).action);
        clock_.setNow(events_.top().time);
        events_.pop();
        action();
    }
    clock_.setNow(std::max(end, now()));
}

}
