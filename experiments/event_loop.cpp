#include "experiments/event_loop.h"

#include <algorithm>

namespace carawaypoint::experiments
{

void EventLoop::at(TimePoint time, Action action)
{
    events_.push({std::max(time, now()), ++sequence_, std::move(action)});
}

void EventLoop::after(Duration delay, Action action)
{
    at(now() + delay, std::move(action));
}

void EventLoop::runUntil(TimePoint end)
{
    while (!events_.empty() && events_.top().time <= end) {
        // The queue only offers a const reference; the action is moved out before the element is removed.
        Action action = std::move(const_cast<Event &>(events_.top()).action);
        clock_.setNow(events_.top().time);
        events_.pop();
        action();
    }
    clock_.setNow(std::max(end, now()));
}

}
