#pragma once

#include "routing/admission_queue.h"
#include "routing/dispatcher.h"
#include "routing/replica_book.h"
#include "routing/replica_chooser.h"
#include "routing/request_record.h"

#include <mutex>
#include <unordered_map>

namespace carawaypoint
{

/// The dispatcher of a daemon: combines the strategies that the snapshot's policy selects.
class LocalDispatcher : public Dispatcher, private ShareView
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

private:
    /// A handler with its argument, to be called after the mutex was released.
    struct Call {
        GrantHandler handler;
        DispatchDecision decision;
    };
    using Calls = std::vector<Call>;
    using Records = std::unordered_map<Ticket, RequestRecord>;

    static void deliver(Calls &calls);

    Ticket enqueue(RequestRecord record, Calls &calls);
    ResultCode refusalOf(const RequestRecord &record) const;
    void refuse(Ticket ticket, ResultCode code, std::string_view reason, Calls &calls);
    void grant(Ticket ticket, const Choice &choice, Calls &calls);
    void release(RequestRecord &record, TimePoint now);
    void refuseExpired(Calls &calls);
    void forgetFinished();
    void pumpAll(Calls &calls);
    void pump(const ModelId &model, Calls &calls);
    Choice chooseFor(const RequestRecord &record);
    void applyPolicy(const RoutingPolicy &policy);
    AdmissionQueue &queueOf(const ModelId &model);
    double usedShare(const CustomerId &customer) const override;

    const Clock &clock_;
    mutable std::mutex mutex_; // guards everything below
    RandomGenerator random_;
    Ticket lastTicket_ = 0;
    std::string chooserName_;
    std::string queueName_;
    std::unique_ptr<ReplicaChooser> chooser_;
    ReplicaBook book_;
    Records records_;
    std::unordered_map<ModelId, std::unique_ptr<AdmissionQueue>> queues_;
    std::vector<ReplicaEntry *> candidates_; // scratch of chooseFor()
};

}
