#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <optional>

namespace carawaypoint
{

/// Content of the lease object in the store.
struct LeaseRecord {
    MemberId holder; // empty after the last holder released the lease
    std::uint64_t process = 0; // incarnation of the holder's process
    std::uint64_t term = 0; // incremented whenever the lease is taken, also by the same daemon
    /// Incremented by each write of a holder. Makes each renewal differ, since the store keeps the version of an object whose content a
    /// write does not change.
    std::uint64_t renewals = 0;
};

struct LeaseSettings {
    Duration renewInterval{seconds(1)};
    Duration takeoverTimeout{milliseconds(3500)}; // another daemon may take over when the object has not changed for this long
    Duration validityTimeout{milliseconds(2800)}; // the holder stops acting this long after sending its last successful renewal
};

/// Decides when a daemon takes, renews and loses the lease of the replica controller.
///
/// The lease only keeps two controllers from working against each other. Safety depends on the term: it forms the high bits of every
/// epoch in the holder's orders, and a backend server refuses an order below the highest epoch that it has seen. The high bits of a term are the era
/// of the store in which it began, so that terms never go back when the store does.
class ControlLease
{
public:
    struct Write {
        LeaseRecord record;
        std::uint64_t expectedVersion = 0; // without a counter when the object must not exist
    };

    ControlLease(MemberId self, std::uint64_t process, LeaseSettings settings = {});

    /// Processes the lease object as read from the store. A version without a counter means that the object does not exist.
    void onObjectRead(const LeaseRecord &record, std::uint64_t version, TimePoint now);
    /// The store came back from an older copy. The lease that was held there has ended, and the copy may show an earlier one that has not run out. Nobody
    /// takes it before a lease of the former era has run out everywhere, except for the gateway that held that one.
    void onStoreRestored(TimePoint now);
    /// The write that is due now, if any. At most one write is in flight.
    std::optional<Write> takeWrite(TimePoint now);
    void onWriteSucceeded(std::uint64_t version);
    /// The write failed or its outcome is unknown, so the object must be read before the next write.
    void onWriteFailed();
    /// The write that releases the lease at a planned stop; empty when the lease is not held.
    std::optional<Write> release(TimePoint now);

    /// A server refused an order because it has seen a higher term. The holder must not act until a read that began later shows that the
    /// lease is still its own.
    void onOrderRefused();
    /// The object, as last passed to onObjectRead(), was read after the last refusal and is not stale.
    void confirm();

    bool isHeld(TimePoint now) const;
    /// Whether the lease is held and no server has refused its term.
    bool mayAct(TimePoint now) const;
    std::uint64_t term() const
    {
        return record_.term;
    }
    const LeaseRecord &record() const
    {
        return record_;
    }
    /// Whether another term came before the one that is held, so that orders of its holder may still be carried out.
    bool hasPredecessor() const
    {
        return hasPredecessor_;
    }
    /// Version of the lease object in the store; without a counter when none is known.
    std::uint64_t version() const
    {
        return version_;
    }
    bool mustRead() const
    {
        return mustRead_ || isDoubted_;
    }

private:
    bool isOwn() const;
    std::uint64_t nextTerm() const;

    MemberId self_;
    std::uint64_t process_;
    LeaseSettings settings_;
    LeaseRecord record_;
    std::uint64_t version_ = 0;
    std::uint64_t highestTerm_ = 0; // that was seen; the store's copy of the record may fall back
    TimePoint takeNotBefore_{}; // while a lease of an ended era may be held
    bool wasRestored_ = false; // the store, in the lifetime of this process
    bool hasPredecessor_ = false;
    bool mustRead_ = true;
    bool isDoubted_ = false; // a server has seen a higher term
    TimePoint versionSeenAt_{}; // when this daemon first saw the current version
    std::optional<Write> pendingWrite_;
    TimePoint pendingSentAt_{}; // when the pending write was sent
    bool isPendingOutdated_ = false; // the store was restored after the pending write was sent
    std::optional<TimePoint> renewalSentAt_; // when the last successful renewal was sent
};

}
