#pragma once

#include "core/clock.h"

#include <cstdint>
#include <memory>
#include <string_view>

namespace carawaypoint
{

/// State of a contender for a lease.
enum class LeaseState : std::uint8_t {
    Follower, // another daemon holds the lease, or none
    Acquiring, // the write that claims the lease is in flight
    ResolvingAcquire, // the answer of that write was lost; the record has to be read back
    Held,
    Writing, // held; a write that renews the lease or changes the record is in flight
    Verifying, // a write was refused or its answer was lost; the record has to be read back
    Isolated, // the lease expired without a renewal, as while the platform is unreachable; only bound spares may be used
    Suspended, // the process was paused; it may not act until the record was read back
    ReleasingLease, // the write that releases the lease is in flight
};

std::string_view leaseStateName(LeaseState state);

/// Input of the state machine.
enum class LeaseEvent : std::uint8_t {
    ClaimStarted, // the write that claims the lease was sent
    WriteStarted, // a write by the holder was sent
    ReleaseStarted, // the write that releases the lease was sent
    WriteDone,
    WriteRefused, // the write did not take effect: the stored version differs, or the record is too large
    WriteLost, // the write got no answer and may have taken effect
    ReadOwn, // the stored record names this process as the holder in its epoch
    ReadOther, // the stored record names another holder or epoch, or does not exist
    LeaseExpired, // the lease expired on this process's clock
    Paused, // the process was paused and runs again
};

/// State machine of a contender for one lease. It determines what the contender may do and performs no calls itself.
///
/// The lease is timed on the holder's clock from the moment when the last successful write was sent, and on every other
/// daemon's clock from the moment when that daemon first saw the write, which is later. No clocks are compared.
class LeaseHolder
{
public:
    /// @param duration time after which other daemons may take the lease.
    /// @param margin time before the end of @p duration at which the holder stops acting.
    LeaseHolder(Duration duration, Duration margin);
    ~LeaseHolder();
    LeaseHolder(const LeaseHolder &) = delete;
    LeaseHolder &operator=(const LeaseHolder &) = delete;

    LeaseState state() const;
    /// Processes an event. For events that start a write, @p now is the time of sending.
    void handle(LeaseEvent event, TimePoint now);
    /// Processes LeaseExpired when the lease has expired.
    void checkExpiry(TimePoint now);

    /// Whether orders may be sent according to the record and the record may be written.
    bool mayAct(TimePoint now) const;
    /// Whether a bound spare may replace a missing member without the platform.
    bool mayUseSpares() const;
    /// Whether the record has to be read back before any other action.
    bool mustRead() const;
    /// Whether this process was the holder by the last record that it read or wrote.
    bool isHolder() const;
    /// Time until which a holder may act.
    TimePoint validUntil() const;

private:
    class Machine;
    std::unique_ptr<Machine> machine_;
    Duration validDuration_; // time after the sending of a write in which the holder may act
    TimePoint lastWriteSentAt_{};
    TimePoint validUntil_{};
};

}
