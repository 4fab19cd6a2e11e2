#pragma once

#include "core/clock.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace carawaypoint
{

enum class LeaseState : std::uint8_t {
    Follower, // another daemon holds the lease, or none
    Acquiring, // the write that takes the lease is under way
    ResolvingAcquire, // its answer was lost: the record has to be read back
    Held,
    Writing, // held, a renewal or a change is under way
    Verifying, // the answer of a write was lost: the record has to be read back
    Isolated, // the platform was out of reach until the lease ran out; only bound spares may be used
    Suspended, // the process was paused: no authority until the record was read
    GivingBack, // the write that gives the lease back is under way
};

std::string_view leaseStateName(LeaseState state);

enum class LeaseEvent : std::uint8_t {
    ClaimStarted, // the write that takes the lease was sent
    WriteStarted, // the write of a holder was sent
    GiveBackStarted, // the write that gives the lease back was sent
    WriteDone,
    WriteRefused, // by its condition: somebody else has written
    WriteLost, // no answer: it may have taken effect
    ReadOwn, // the stored record names this process as the holder in its epoch
    ReadOther, // it names another holder or epoch, or is gone
    TimeLapsed, // the lease ran out on this process's clock
    Paused, // the process did not run for a while
};

/// State machine of a contender for one lease. It decides only what the contender may do; it sends nothing.
///
/// The lease is timed on the holder's clock from the moment when the last successful write was sent, and on every other
/// daemon's clock from the moment when that daemon first saw the write, which is later. No clocks are compared.
class LeaseHolder
{
public:
    /// @param duration time after which other daemons may take the lease.
    /// @param margin the holder stops this much earlier.
    LeaseHolder(Duration duration, Duration margin);
    ~LeaseHolder();
    LeaseHolder(const LeaseHolder &) = delete;
    LeaseHolder &operator=(const LeaseHolder &) = delete;

    LeaseState state() const;
    /// Feeds an event. @p now is the time of sending for the events that start a write.
    void handle(LeaseEvent event, TimePoint now);
    /// Feeds TimeLapsed when the lease has run out.
    void checkTime(TimePoint now);

    /// Whether orders may be sent for what the record says and the record may be written.
    bool mayAct(TimePoint now) const;
    /// Whether a bound spare may replace a missing member without the platform.
    bool mayUseSpares() const;
    /// Whether the record has to be read back before anything else.
    bool mustRead() const;
    /// Whether this process is the holder as far as it knows.
    bool isHolder() const;
    TimePoint validUntil() const;

private:
    class Machine;
    std::unique_ptr<Machine> machine_;
    Duration validTime_;
    TimePoint sentAt_{};
    TimePoint validUntil_{};
};

}
