#pragma once

#include "assignment/former_controller_client.h"
#include "assignment/lease_holder.h"
#include "assignment/order_rules.h"
#include "assignment/repair.h"
#include "assignment/zone_plan.h"
#include "objects/object_store.h"

#include <functional>
#include <memory>
#include <optional>

namespace carawaypoint
{

/// Interfaces that a domain controller uses. They must outlive it; their handlers run on the control thread.
struct ControllerPorts {
    ObjectStore *store = nullptr;
    EngineClient *engines = nullptr;
    FormerControllerClient *formerControllers = nullptr;
    const Clock *clock = nullptr;
};

/// State of the zone as this daemon knows it, shared by the controllers of all its domains.
struct ZoneState {
    AssignmentSettings settings;
    std::vector<VmRecord> inventory;
    bool isInventoryKnown = false;
    VmObservations observations;
    ZonePlan plan; // computed by this daemon
    std::set<VmId> drainedByOperator;
    TimePoint observedSince{}; // start of the uninterrupted observations
};

/// A copy of a domain's record and the time when this process received it.
struct KnownRecord {
    DomainRecord record;
    std::uint64_t version = 0; // of the stored object; 0 when there is none
    TimePoint seenAt{}; // when contenders start the lease time: on receipt, or later after a pause or an outage of the store
};

/// Contends for the lease of one fabric domain and, while holding it, keeps the domain's replicas complete.
///
/// Orders are sent only according to the stored record. The one exception is an isolated holder, which replaces missing
/// members by spares that the stored record binds to the same replica.
class DomainController : public std::enable_shared_from_this<DomainController>
{
public:
    using RecordCallback = std::function<void(const KnownRecord &)>;

    DomainController(DomainKey key, ControllerRef self, ControllerPorts ports, std::shared_ptr<const ZoneState> zone, RecordCallback onRecord);

    /// Performs all actions that are due.
    /// @param contentionDelay additional time before this daemon takes an expired lease.
    /// @param mayContend false while the daemon stops.
    void tick(Duration contentionDelay, bool mayContend);
    /// Applies a copy of the record from a watch or a peer. Copies older than the known one are ignored.
    void applyRecord(const DomainRecord &record, std::uint64_t version);
    /// Suspends the lease and discards time-dependent state after the process was paused.
    void handlePause();
    /// Releases the lease when no order is in flight; otherwise the lease is left to expire. Then calls @p handler.
    void releaseLease(std::function<void()> handler);
    /// Answers the controller that now holds the lease. Gives up the own lease when @p presentEpoch is higher than its epoch.
    FormerControllerReply answerConfirmation(std::uint64_t presentEpoch, std::uint64_t process);

    LeaseState leaseState() const
    {
        return lease_.state();
    }
    /// The newest known record, including unstored changes of an isolated holder; null when none is known.
    const DomainRecord *record() const
    {
        return known_ ? &known_->record : nullptr;
    }
    const KnownRecord *known() const
    {
        return known_ ? &*known_ : nullptr;
    }

private:
    /// Reads the record when the known lease has expired, in order to claim it.
    void contendForLease(Duration delay);
    void handleContentionRead(std::error_code error, const StoredObject &object, std::optional<std::uint64_t> version);
    /// Writes the record with this process as holder and a new epoch.
    void claimLease(const KnownRecord &stored);
    /// Reads the record to find out whether this process still holds the lease and which of its writes took effect.
    void readBackRecord();
    void handleRecordReadBack(std::error_code error, const StoredObject &object);
    /// Continues as holder from the stored record and writes the changes made in isolation.
    void adoptOwnRecord(DomainRecord stored, std::uint64_t version);
    /// Decides repairs and writes them; renews the lease when there are none and the renewal is due.
    void decideAndWrite();
    /// Decides the repairs that are allowed while the platform is unreachable.
    void decideIsolated();
    /// Writes @p next under the condition that the stored version is the known one.
    void writeRecord(DomainRecord next, std::vector<Decision> decisions, LeaseEvent start, std::function<void(bool)> whenDone = {});
    void sendOrders();
    /// Asks each unconfirmed former controller whether it has orders in flight, until it confirms or its process has ended.
    void askFormerControllers();
    /// Updates the times since when each replica has been draining or surplus.
    void trackDrainingAndSurplus();
    /// Replaces the known record and passes it to the record callback.
    void setKnownRecord(DomainRecord record, std::uint64_t version);
    RepairInput repairInput() const;
    /// Unique token of the next write.
    std::string nextToken();
    TimePoint now() const
    {
        return ports_.clock->now();
    }

    DomainKey key_;
    ControllerRef self_;
    ControllerPorts ports_;
    std::shared_ptr<const ZoneState> zone_;
    RecordCallback onRecord_;
    LeaseHolder lease_;
    OrderTracker orders_;
    std::optional<KnownRecord> known_;
    std::vector<Decision> isolatedDecisions_; // made while isolated, to be written when the platform is reachable again
    std::set<ControllerRef> confirmedControllers_; // former controllers without orders in flight
    std::map<ControllerRef, TimePoint> lastAskedAt_;
    std::map<ControllerRef, TimePoint> processEndedSince_; // when this process learned that a former controller's process has ended
    std::map<ReplicaId, TimePoint> drainingSince_;
    std::map<ReplicaId, TimePoint> surplusSince_;
    std::uint64_t lastStoredSequence_ = 0; // sequence number of this process's last write that is known to be stored
    TimePoint lastWriteAt_{};
    TimePoint nextReadAt_{};
    std::uint64_t tokenCount_ = 0;
    std::uint64_t callGeneration_ = 0; // increases with each pause; results of store calls of an earlier generation are ignored
    bool isStoreCallUnderWay_ = false;
    bool wasStoreUnreachable_ = false; // whether the last read as a contender failed
};

}
