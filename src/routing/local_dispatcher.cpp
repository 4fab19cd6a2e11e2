#include "routing/local_dispatcher.h"

#include <algorithm>
#include <cmath>

namespace carawaypoint
{

namespace
{
// A failed attempt is resubmitted immediately, so its record need not be kept for long.
constexpr Duration FinishedRecordRetention = seconds(30);
// A stream that breaks after its first token has met its first-token deadline; it may wait this long for another replica.
constexpr Duration MaxResumeWait = seconds(2);
constexpr Duration DefaultRetryAfter = seconds(1);
// Part of a replica's slots that requests of customers above their share must leave free.
constexpr double OverShareHeadroomFraction = 1.0 / 5;
}

std::unique_ptr<Dispatcher> makeDispatcher(const Clock &clock, std::uint64_t seed)
{
    return std::make_unique<LocalDispatcher>(clock, seed);
}

LocalDispatcher::LocalDispatcher(const Clock &clock, std::uint64_t seed)
    : clock_(clock)
    , replicaTable_(seed)
    , selector_(seed)
{
}

void LocalDispatcher::deliverDecisions(PendingDecisions &pendingDecisions)
{
    for (PendingDecision &pending : pendingDecisions) {
        pending.handler(pending.decision);
    }
}

Dispatcher::Ticket LocalDispatcher::submit(const ModelRequest &request, GrantHandler handler)
{
    PendingDecisions pendingDecisions;
    Ticket ticket = 0;
    {
        const std::lock_guard lock(mutex_);
        retryBudget_.addRequest();
        RequestRecord record;
        record.request = request;
        record.handler = std::move(handler);
        ticket = enqueue(std::move(record), pendingDecisions);
    }
    deliverDecisions(pendingDecisions);
    return ticket;
}

bool LocalDispatcher::cancel(Ticket ticket)
{
    const std::lock_guard lock(mutex_);
    const auto found = records_.find(ticket);
    if (found == records_.end() || found->second.state != RequestRecord::State::Waiting) {
        return false;
    }
    admission_.remove(ticket, found->second);
    SuspectPlacer::releaseReservedReplica(found->second);
    records_.erase(found);
    return true;
}

Dispatcher::Ticket LocalDispatcher::resubmit(Ticket ticket, std::span<const ReplicaId> excluded, GrantHandler handler)
{
    PendingDecisions pendingDecisions;
    Ticket next = 0;
    {
        const std::lock_guard lock(mutex_);
        const auto found = records_.find(ticket);
        if (found == records_.end() || found->second.state == RequestRecord::State::Waiting) {
            next = addRefusal(std::move(handler), {ResultCode::Internal, {}}, pendingDecisions);
        } else if (!found->second.wasRefused && !retryBudget_.takeRetry()) {
            next = addRefusal(std::move(handler), {ResultCode::RetryBudgetExhausted, DefaultRetryAfter}, pendingDecisions);
        } else {
            releaseSlot(ticket, found->second);
            RequestRecord record;
            record.request = std::move(found->second.request);
            if (found->second.tokens > 0) {
                record.request.deadline = std::max(record.request.deadline, clock_.now() + MaxResumeWait);
            }
            record.handler = std::move(handler);
            record.excludedReplicas.assign(excluded.begin(), excluded.end());
            record.isRetry = true;
            records_.erase(found);
            next = enqueue(std::move(record), pendingDecisions);
        }
    }
    deliverDecisions(pendingDecisions);
    return next;
}

void LocalDispatcher::reportProgress(Ticket ticket, std::uint32_t tokens)
{
    const std::lock_guard lock(mutex_);
    const auto found = records_.find(ticket);
    if (found == records_.end() || found->second.state != RequestRecord::State::Granted || tokens <= found->second.tokens) {
        return;
    }
    RequestRecord &record = found->second;
    const TimePoint now = clock_.now();
    if (record.tokens == 0) {
        admission_.recordFirstToken(record, now - record.grantedAt);
        record.entry->recordFirstToken();
        record.hasFirstToken = true;
    } else {
        ejector_.addTokenTime(record.entry->id(), (now - record.lastProgressAt) / (tokens - record.tokens));
    }
    record.tokens = tokens;
    record.lastProgressAt = now;
    if (!record.isLong && tokens >= predictor_.longThreshold(record.request.model)) {
        record.isLong = true;
        record.isReclassified = true;
        record.entry->reclassifyAsLong(now);
        admission_.customerShares().reclassifyAsLong(record.request.customer);
    }
}

void LocalDispatcher::finish(Ticket ticket, AttemptOutcome outcome, std::uint32_t tokens)
{
    PendingDecisions pendingDecisions;
    {
        const std::lock_guard lock(mutex_);
        const auto found = records_.find(ticket);
        if (found == records_.end() || found->second.state != RequestRecord::State::Granted) {
            return;
        }
        RequestRecord &record = found->second;
        record.tokens = std::max(record.tokens, tokens);
        recordOutcome(record, outcome);
        releaseSlot(ticket, record);
        const ModelId model = record.request.model;
        if (outcome == AttemptOutcome::Completed || outcome == AttemptOutcome::Cancelled) {
            records_.erase(found);
        }
        grantWaiting(model, pendingDecisions);
    }
    deliverDecisions(pendingDecisions);
}

void LocalDispatcher::setSnapshot(RoutingSnapshotPtr snapshot)
{
    PendingDecisions pendingDecisions;
    {
        const std::lock_guard lock(mutex_);
        if (!snapshot) {
            return;
        }
        applyPolicy(snapshot->policy);
        replicaTable_.setSnapshot(std::move(snapshot), clock_.now());
        updateShares();
        std::unordered_set<std::uint64_t> replicas;
        for (const auto &[id, entry] : replicaTable_.entries()) {
            replicas.insert(entry->idHash());
        }
        selector_.prefixIndex().retainReplicas(replicas);
        grantWaitingOfAllModels(pendingDecisions);
    }
    deliverDecisions(pendingDecisions);
}

void LocalDispatcher::tick()
{
    PendingDecisions pendingDecisions;
    {
        const std::lock_guard lock(mutex_);
        if (!replicaTable_.snapshot()) {
            return;
        }
        evaluateOutliers();
        for (const ModelId &model : admission_.models()) {
            replicaTable_.setShortSlotSeconds(model, admission_.shortSlotSeconds(model));
        }
        replicaTable_.refreshPools(clock_.now());
        updateShares();
        quarantine_.expireSuspects(clock_.now());
        refuseExpired(pendingDecisions);
        removeOldFinishedRecords();
        grantWaitingOfAllModels(pendingDecisions);
    }
    deliverDecisions(pendingDecisions);
}

bool LocalDispatcher::isEligible(const ReplicaId &replica, std::uint64_t incarnation) const
{
    const std::lock_guard lock(mutex_);
    const ReplicaTable::EntryPtr entry = replicaTable_.find(replica);
    return entry && entry->incarnation() == incarnation && replicaTable_.isEligible(*entry, clock_.now());
}

Dispatcher::Demand LocalDispatcher::demand() const
{
    const std::lock_guard lock(mutex_);
    Demand demand;
    for (const auto &[customer, slots] : admission_.customerShares().slotsByCustomer()) {
        if (slots.demand() > 0) {
            demand.customers.emplace_back(customer, slots.demand());
        }
    }
    for (const auto &[id, entry] : replicaTable_.entries()) {
        if (entry->inFlight() > 0) {
            demand.inFlight.emplace_back(id, entry->inFlight());
        }
    }
    return demand;
}

std::vector<std::uint64_t> LocalDispatcher::takeCrashSuspects()
{
    const std::lock_guard lock(mutex_);
    return quarantine_.takeNewSuspects();
}

void LocalDispatcher::addPeerCrashSuspect(std::uint64_t fingerprint)
{
    const std::lock_guard lock(mutex_);
    quarantine_.addPeerCrash(fingerprint, clock_.now());
}

bool LocalDispatcher::applyCacheUpdate(const ReplicaId &replica, std::uint64_t incarnation, const CacheUpdate &update)
{
    const std::lock_guard lock(mutex_);
    const ReplicaTable::EntryPtr entry = replicaTable_.find(replica);
    if (!entry || entry->incarnation() != incarnation) {
        return true;
    }
    return selector_.prefixIndex().applyUpdate(entry->idHash(), incarnation, update);
}

Dispatcher::Ticket LocalDispatcher::enqueue(RequestRecord record, PendingDecisions &pendingDecisions)
{
    const TimePoint now = clock_.now();
    record.submittedAt = now;
    record.isLong = predictor_.predict(record.request).isLong;
    const Refusal refusal = refusalForNewRequest(record);
    if (refusal.code != ResultCode::Ok) {
        return addRefusal(std::move(record.handler), refusal, pendingDecisions);
    }
    const Ticket ticket = ++lastTicket_;
    const ModelId model = record.request.model;
    const bool isNewCustomer = !admission_.isKnownCustomer(record.request.customer);
    admission_.push(ticket, record);
    if (isNewCustomer) {
        updateShares();
    }
    records_.emplace(ticket, std::move(record));
    grantWaiting(model, pendingDecisions);
    return ticket;
}

Dispatcher::Ticket LocalDispatcher::addRefusal(GrantHandler handler, const Refusal &refusal, PendingDecisions &pendingDecisions)
{
    DispatchDecision decision;
    decision.code = refusal.code;
    decision.retryAfter = refusal.retryAfter;
    decision.reason = resultCodeName(refusal.code);
    pendingDecisions.push_back({std::move(handler), std::move(decision)});
    return ++lastTicket_;
}

Refusal LocalDispatcher::refusalForNewRequest(const RequestRecord &record)
{
    const RoutingSnapshot *snapshot = replicaTable_.snapshot();
    if (!snapshot) {
        return {ResultCode::NotReady, DefaultRetryAfter};
    }
    const ModelId &model = record.request.model;
    const bool isKnown = std::any_of(snapshot->models.begin(), snapshot->models.end(), [&](const ModelView &view) { return view.id == model; })
        || std::any_of(snapshot->replicas.begin(), snapshot->replicas.end(), [&](const ReplicaView &view) { return view.model == model; });
    if (!isKnown) {
        return {ResultCode::UnknownModel, {}};
    }
    if (quarantine_.isQuarantined(record.request.fingerprint)) {
        return {ResultCode::RequestQuarantined, {}};
    }
    if (record.request.deadline < clock_.now()) {
        return {ResultCode::DeadlinePassed, DefaultRetryAfter};
    }
    return record.isRetry ? Refusal{} : admission_.checkNewRequest(record, clock_.now());
}

void LocalDispatcher::refuseWaiting(Ticket ticket, const Refusal &refusal, PendingDecisions &pendingDecisions)
{
    const auto found = records_.find(ticket);
    admission_.remove(ticket, found->second);
    SuspectPlacer::releaseReservedReplica(found->second);
    addRefusal(std::move(found->second.handler), refusal, pendingDecisions);
    records_.erase(found);
}

void LocalDispatcher::grant(Ticket ticket, const Choice &choice, PendingDecisions &pendingDecisions)
{
    RequestRecord &record = records_.at(ticket);
    const TimePoint now = clock_.now();
    DispatchDecision decision;
    for (const TrackedReplica *entry : choice.considered) {
        decision.considered.push_back(entry->id().str() + "=" + std::to_string(std::lround(selector_.load(*entry))));
    }
    decision.priority = enginePriorityOf(record);
    record.isOverShare = admission_.customerShares().usedShare(record.request.customer, record.isLong) >= 1;
    admission_.remove(ticket, record);
    admission_.customerShares().addInFlight(record.request.customer, record.isLong);
    record.entry = replicaTable_.find(choice.entry->id());
    record.entry->addInFlight(record.isLong, now);
    if (quarantine_.isSuspect(record.request.fingerprint)) {
        SuspectPlacer::startSuspect(record, quarantine_);
    }
    selector_.prefixIndex().addSentRequest(record.entry->idHash(), record.request.prefixHashes);
    record.state = RequestRecord::State::Granted;
    record.grantedAt = now;
    record.lastProgressAt = now;
    decision.replica = record.entry->id();
    decision.incarnation = record.entry->incarnation();
    decision.leader = record.entry->view()->leader;
    decision.isLongWork = record.isLong;
    decision.reason = choice.reason;
    pendingDecisions.push_back({std::move(record.handler), std::move(decision)});
}

void LocalDispatcher::releaseSlot(Ticket ticket, RequestRecord &record)
{
    if (record.state != RequestRecord::State::Granted) {
        return;
    }
    const TimePoint now = clock_.now();
    record.entry->removeInFlight(record.isLong, record.isReclassified, record.hasFirstToken, now);
    if (record.isSuspect) {
        SuspectPlacer::endSuspect(record, quarantine_);
    }
    admission_.customerShares().removeInFlight(record.request.customer, record.isLong);
    record.state = RequestRecord::State::Finished;
    finishedTickets_.emplace_back(now, ticket);
}

void LocalDispatcher::recordOutcome(RequestRecord &record, AttemptOutcome outcome)
{
    const TimePoint now = clock_.now();
    switch (outcome) {
    case AttemptOutcome::Completed:
        predictor_.recordOutput(record.request, record.tokens);
        admission_.recordSlotTime(record.request.model, record.isLong, now - record.grantedAt);
        quarantine_.clearSuspect(record.request.fingerprint);
        break;
    case AttemptOutcome::ReplicaLost:
        quarantine_.addCrash(record.request.fingerprint, record.entry->id(), record.entry->incarnation(), record.entry->recordLoss(now), now);
        break;
    case AttemptOutcome::Stalled:
        ejector_.addStall(record.entry->id());
        break;
    case AttemptOutcome::Refused:
        record.wasRefused = true;
        break;
    case AttemptOutcome::Cancelled:
        break;
    }
}

void LocalDispatcher::refuseExpired(PendingDecisions &pendingDecisions)
{
    for (const ModelId &model : admission_.models()) {
        for (const Ticket ticket : admission_.queue(model).expiredTickets(clock_.now())) {
            const bool hasReplica = replicaTable_.pool(model).size() > 0;
            refuseWaiting(ticket, {hasReplica ? ResultCode::DeadlinePassed : ResultCode::NoReplicaAvailable, DefaultRetryAfter}, pendingDecisions);
        }
    }
}

void LocalDispatcher::removeOldFinishedRecords()
{
    while (!finishedTickets_.empty() && clock_.now() - finishedTickets_.front().first > FinishedRecordRetention) {
        records_.erase(finishedTickets_.front().second);
        finishedTickets_.pop_front();
    }
}

void LocalDispatcher::evaluateOutliers()
{
    const TimePoint now = clock_.now();
    if (!ejector_.isEvaluationDue(now)) {
        return;
    }
    for (const auto &[model, pool] : replicaTable_.pools()) {
        std::vector<ReplicaId> ids;
        for (const auto *zone : {&pool.ownZone, &pool.otherZones}) {
            std::transform(zone->begin(), zone->end(), std::back_inserter(ids), [](const TrackedReplica *entry) { return entry->id(); });
        }
        ejector_.evaluate(ids, now);
    }
    for (const auto &[id, entry] : replicaTable_.entries()) {
        entry->setTrafficWeight(ejector_.trafficWeight(id));
    }
    ejector_.finishEvaluation(now);
}

void LocalDispatcher::updateShares()
{
    admission_.updateShares(*replicaTable_.snapshot(), replicaTable_.capacity());
}

void LocalDispatcher::grantWaitingOfAllModels(PendingDecisions &pendingDecisions)
{
    for (const ModelId &model : admission_.models()) {
        grantWaiting(model, pendingDecisions);
    }
}

void LocalDispatcher::grantWaiting(const ModelId &model, PendingDecisions &pendingDecisions)
{
    AdmissionQueue &queue = admission_.queue(model);
    std::vector<Ticket> blockedTickets;
    bool isLongBlocked = false;
    while (const QueueItem *item = queue.next(clock_.now(), admission_.customerShares(), blockedTickets, isLongBlocked)) {
        const Ticket ticket = item->ticket;
        RequestRecord &record = records_.at(ticket);
        const Refusal refusal = refusalForWaitingRequest(record);
        if (refusal.code != ResultCode::Ok) {
            refuseWaiting(ticket, refusal, pendingDecisions);
            continue;
        }
        const Choice choice = selector_.select(record, replicaTable_, quarantine_, choiceLimitsFor(record), clock_.now());
        if (choice.entry) {
            grant(ticket, choice, pendingDecisions);
        } else if (!record.excludedReplicas.empty() || quarantine_.isSuspect(record.request.fingerprint)) {
            blockedTickets.push_back(ticket);
        } else if (queue.canSkipBlockedRequests() && record.isLong) {
            isLongBlocked = true;
        } else {
            return;
        }
    }
}

ReplicaSelector::Limits LocalDispatcher::choiceLimitsFor(const RequestRecord &record)
{
    const CustomerShareTracker &customerShares = admission_.customerShares();
    const bool isWithinShare = customerShares.usedShare(record.request.customer, record.isLong) < 1;
    const AdmissionQueue &queue = admission_.queue(record.request.model);
    const bool hasQueue = queue.size() > 1;
    return {.headroomFraction = isWithinShare ? 0 : OverShareHeadroomFraction,
            .freeSlotShare = customerShares.freeSlotShare(),
            .isLimitedToDaemonShare = !isWithinShare || (hasQueue && record.isLong),
            .limitsLongWork = queue.canSkipBlockedRequests()};
}

Refusal LocalDispatcher::refusalForWaitingRequest(const RequestRecord &record)
{
    if (quarantine_.isQuarantined(record.request.fingerprint)) {
        return {ResultCode::RequestQuarantined, {}};
    }
    return admission_.checkWaitingRequest(record, clock_.now());
}

std::uint32_t LocalDispatcher::enginePriorityOf(const RequestRecord &record) const
{
    // Customers within their share before others, then short work before long.
    return (admission_.customerShares().usedShare(record.request.customer, record.isLong) < 1 ? 0 : 2) + (record.isLong ? 1 : 0);
}

void LocalDispatcher::applyPolicy(const RoutingPolicy &policy)
{
    selector_.setStrategy(policy.replicaChoice);
    retryBudget_.setRetriesPerRequest(policy.retryBudgetShare);
    admission_.setStrategies(policy.queueOrder, policy.admission);
}

}
