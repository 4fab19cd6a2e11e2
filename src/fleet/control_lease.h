#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <optional>

namespace carawaypoint
{

/// Content of the lease object.
struct LeaseRecord {
    MemberId holder; // empty when the last holder gave it up
    std::uint64_t process = 0; // incarnation of the holder
    std::uint64_t term = 0; // rises with each change of the holder
    std::uint64_t renewals = 0; // within the term: the store keeps the version of an object that a write leaves as it is
};

struct LeaseSettings {
    Duration renewInterval{seconds(1)};
    Duration lapse{milliseconds(3500)}; // without a change of the object another daemon may take over
    Duration validity{milliseconds(2800)}; // the holder stops acting this long after it sent its last renewal
};

/// Decides when a daemon takes, renews and loses the lease of the replica controller.
///
/// The lease only keeps two controllers from working against each other. Safety rests on the term: it begins every epoch of the
/// holder's orders, and a backend server refuses an order below the highest epoch that it has seen.
class ControlLease
{
public:
    struct Write {
        LeaseRecord record;
        std::uint64_t expectedVersion = 0; // 0: the object must not exist
    };

    ControlLease(MemberId self, std::uint64_t process, LeaseSettings settings = {});

    /// The object was read, or was in the answer to a refused write. Version 0 stands for no object.
    void noteObject(const LeaseRecord &record, std::uint64_t version, TimePoint now);
    /// The write that is due; one write is out at a time.
    std::optional<Write> takeWrite(TimePoint now);
    void noteWritten(std::uint64_t version);
    /// The write failed or its outcome is unknown; the object is read before the next write.
    void noteWriteFailed();
    /// The write that gives the lease up at a planned stop; nothing when it is not held.
    std::optional<Write> release(TimePoint now);

    bool isHeld(TimePoint now) const;
    std::uint64_t term() const
    {
        return record_.term;
    }
    const LeaseRecord &record() const
    {
        return record_;
    }
    /// Of the object in the store; 0 when none is known.
    std::uint64_t version() const
    {
        return version_;
    }
    bool mustRead() const
    {
        return mustRead_;
    }

private:
    bool isOwn() const;

    MemberId self_;
    std::uint64_t process_;
    LeaseSettings settings_;
    LeaseRecord record_;
    std::uint64_t version_ = 0;
    bool mustRead_ = true;
    TimePoint changedAt_{}; // when this daemon first saw the present version
    std::optional<Write> pending_;
    TimePoint sentAt_{}; // of the pending write
    std::optional<TimePoint> renewedAt_; // when the last write that took effect was sent
};

}
