#pragma once

#include <chrono>

namespace carawaypoint
{

using Duration = std::chrono::microseconds;
/// Monotonic time, comparable only within one process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

/// Source of monotonic time for decision logic.
class Clock
{
public:
    virtual ~Clock() = default;
    virtual TimePoint now() const = 0;
};

/// The machine's steady clock.
class SteadyClock : public Clock
{
public:
    TimePoint now() const override
    {
        return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
    }
};

/// The time since boot. Unlike the steady clock, it advances while the VM is suspended: what expires meanwhile must not seem valid afterwards.
class BootTimeClock : public Clock
{
public:
    TimePoint now() const override;
};

/// A clock that advances only through advance() and setNow(), for tests and experiments.
class ManualClock : public Clock
{
public:
    TimePoint now() const override
    {
        return now_;
    }

    void advance(Duration step)
    {
        now_ += step;
    }

    void setNow(TimePoint now)
    {
        now_ = now;
    }

private:
    TimePoint now_{hours(1)};
};

}
