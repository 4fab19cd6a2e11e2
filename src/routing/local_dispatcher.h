#pragma once

#include "routing/admission_control.h"
#include "routing/dispatcher.h"
#include "routing/outlier_ejector.h"
#include "routing/quarantine.h"
#include "routing/replica_selector.h"
#include "routing/replica_table.h"
#include "routing/request_record.h"
#include "routing/retry_budget.h"
#include "routing/work_predictor.h"

#include <deque>
#include <mutex>
#include <unordered_map>

namespace carawaypoint
{

/// Dispatcher of a daemon. Uses the strategies that the policy of the routing snapshot selects.
class LocalDispatcher : public Dispatcher
{
public:
    LocalDispatcher(const Clock &clock, std::uint64_t seed);

    Ticket submit(const ModelRequest &request, GrantHandler handler) override;
    bool cancel(Ticket ticket) override;
    Ticket resubmit(Ticket ticket, std::span<const ReplicaId> excluded, GrantHandler handler) override;
    void reportProgress(Ticket ticket, std::uint32_t tokens) override;
    void finish(Ticket ticket, AttemptOutcome outcome, std::uint32_t tokens) override;
    void setSnapshot(RoutingSnapshotPtr snapshot) override;
    void tick() override;
    bool isEligible(const ReplicaId &replica, std::uint64_t incarnation) const override;
    Demand demand() const override;
    std::vector<std::uint64_t> takeCrashSuspects() override;
    void addPeerCrashSuspect(std::uint64_t fingerprint) override;
    bool applyCacheUpdate(const ReplicaId &replica, std::uint64_t incarnation, const CacheUpdate &update) override;

private:
    /// A grant handler with the decision to pass to it after the mutex was released.
    struct PendingDecision {
        GrantHandler handler;
        DispatchDecision decision;
    };
    using PendingDecisions = std::vector<PendingDecision>;

    /// Calls the handlers; the mutex must not be held.
    static void deliverDecisions(PendingDecisions &pendingDecisions);

    Ticket enqueue(RequestRecord record, PendingDecisions &pendingDecisions);
    /// Adds a refusal to @p pendingDecisions and returns an unused ticket.
    Ticket addRefusal(GrantHandler handler, const Refusal &refusal, PendingDecisions &pendingDecisions);
    /// Whether a new or resubmitted request has to be refused before it is queued.
    Refusal refusalForNewRequest(const RequestRecord &record);
    /// Removes a waiting request from its queue and refuses it.
    void refuseWaiting(Ticket ticket, const Refusal &refusal, PendingDecisions &pendingDecisions);
    void grant(Ticket ticket, const Choice &choice, PendingDecisions &pendingDecisions);
    /// Releases the slot of a granted request; does nothing in other states.
    void releaseSlot(Ticket ticket, RequestRecord &record);
    /// Passes the outcome of an attempt to the predictor, the quarantine and the outlier ejector.
    void recordOutcome(RequestRecord &record, AttemptOutcome outcome);
    /// Refuses the waiting requests whose deadline has passed.
    void refuseExpired(PendingDecisions &pendingDecisions);
    /// Erases the records of finished requests whose retention has ended.
    void removeOldFinishedRecords();
    void evaluateOutliers();
    void updateShares();
    void grantWaitingOfAllModels(PendingDecisions &pendingDecisions);
    /// Grants waiting requests of @p model until none can be placed.
    void grantWaiting(const ModelId &model, PendingDecisions &pendingDecisions);
    /// Limits for the choice of replica that follow from the queue and from the customer's share.
    ReplicaSelector::Limits choiceLimitsFor(const RequestRecord &record);
    /// Whether a waiting request has to be refused before it is placed.
    Refusal refusalForWaitingRequest(const RequestRecord &record);
    std::uint32_t enginePriorityOf(const RequestRecord &record) const;
    void applyPolicy(const RoutingPolicy &policy);

    const Clock &clock_;
    mutable std::mutex mutex_; // guards all members below
    Ticket lastTicket_ = 0;
    ReplicaTable replicaTable_;
    ReplicaSelector selector_;
    AdmissionControl admission_;
    WorkPredictor predictor_;
    RetryBudget retryBudget_;
    Quarantine quarantine_;
    OutlierEjector ejector_;
    std::unordered_map<Ticket, RequestRecord> records_;
    std::deque<std::pair<TimePoint, Ticket>> finishedTickets_; // with the time when their slot was released, oldest first
};

}
