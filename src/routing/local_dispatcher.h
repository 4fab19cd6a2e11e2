#pragma once

#include "routing/admission_control.h"
#include "routing/dispatcher.h"
#include "routing/outlier_ejector.h"
#include "routing/quarantine.h"
#include "routing/replica_book.h"
#include "routing/replica_selector.h"
#include "routing/request_record.h"
#include "routing/retry_budget.h"
#include "routing/work_predictor.h"

#include <deque>
#include <mutex>
#include <unordered_map>

namespace carawaypoint
{

/// The dispatcher of a daemon: combines the strategies that the snapshot's policy selects.
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
    /// A handler with its argument, to be called after the mutex was released.
    struct Call {
        GrantHandler handler;
        DispatchDecision decision;
    };
    using Calls = std::vector<Call>;

    static void deliver(Calls &calls);

    Ticket enqueue(RequestRecord record, Calls &calls);
    Ticket refuseNew(GrantHandler handler, const Refusal &refusal, Calls &calls);
    Refusal refusalOf(const RequestRecord &record);
    void refuseWaiting(Ticket ticket, const Refusal &refusal, Calls &calls);
    void grant(Ticket ticket, const Choice &choice, Calls &calls);
    void release(Ticket ticket, RequestRecord &record);
    void noteOutcome(RequestRecord &record, AttemptOutcome outcome);
    void refuseExpired(Calls &calls);
    void forgetFinished();
    void evaluateOutliers();
    void updateShares();
    void pumpAll(Calls &calls);
    void pump(const ModelId &model, Calls &calls);
    ReplicaSelector::Limits limitsFor(const RequestRecord &record);
    Refusal waitingRefusal(const RequestRecord &record);
    std::uint32_t priorityOf(const RequestRecord &record) const;
    void applyPolicy(const RoutingPolicy &policy);

    const Clock &clock_;
    mutable std::mutex mutex_; // guards everything below
    Ticket lastTicket_ = 0;
    ReplicaBook book_;
    ReplicaSelector selector_;
    AdmissionControl admission_;
    WorkPredictor predictor_;
    RetryBudget retryBudget_;
    Quarantine quarantine_;
    OutlierEjector ejector_;
    std::unordered_map<Ticket, RequestRecord> records_;
    std::deque<std::pair<TimePoint, Ticket>> finished_; // oldest first
};

}
