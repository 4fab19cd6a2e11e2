#include "routing/local_dispatcher.h"

#include <algorithm>
#include <cmath>

namespace carawaypoint
{

namespace
{
// A caller that wants another attempt asks at once; the record of a failed one is kept a little longer than that.
constexpr Duration FinishedRetention = seconds(30);
// A stream that breaks after its first token has no first-token deadline any more; it may wait this long to go on.
constexpr Duration ResumeWait = seconds(2);
constexpr Duration DefaultRetryAfter = seconds(1);
// Part of a replica's slots that customers above their share leave free for the others.
constexpr double OverShareHeadroom = 1.0 / 5;
}

std::unique_ptr<Dispatcher> makeDispatcher(const Clock &clock, std::uint64_t seed)
{
    return std::make_unique<LocalDispatcher>(clock, seed);
}

LocalDispatcher::LocalDispatcher(const Clock &clock, std::uint64_t seed)
    : clock_(clock)
    , book_(seed)
    , selector_(seed)
{
}

void LocalDispatcher::deliver(Calls &calls)
{
    for (Call &call : calls) {
        call.handler(call.decision);
    }
}

Dispatcher::Ticket LocalDispatcher::submit(const ModelRequest &request, GrantHandler handler)
{
    Calls calls;
    Ticket ticket = 0;
    {
        const std::lock_guard lock(mutex_);
        retryBudget_.addRequest();
        RequestRecord record;
        record.request = request;
        record.handler = std::move(handler);
        ticket = enqueue(std::move(record), calls);
    }
    deliver(calls);
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
    SuspectPlacer::abandon(found->second);
    records_.erase(found);
    return true;
}

Dispatcher::Ticket LocalDispatcher::resubmit(Ticket ticket, std::span<const ReplicaId> excluded, GrantHandler handler)
{
    Calls calls;
    Ticket next = 0;
    {
        const std::lock_guard lock(mutex_);
        const auto found = records_.find(ticket);
        if (found == records_.end() || found->second.state == RequestRecord::State::Waiting) {
            next = refuseNew(std::move(handler), {ResultCode::Internal, {}}, calls);
        } else if (!found->second.wasRefused && !retryBudget_.takeRetry()) {
            next = refuseNew(std::move(handler), {ResultCode::RetryBudgetExhausted, DefaultRetryAfter}, calls);
        } else {
            release(ticket, found->second);
            RequestRecord record;
            record.request = std::move(found->second.request);
            if (found->second.tokens > 0) {
                record.request.deadline = std::max(record.request.deadline, clock_.now() + ResumeWait);
            }
            record.handler = std::move(handler);
            record.excluded.assign(excluded.begin(), excluded.end());
            record.isRetry = true;
            records_.erase(found);
            next = enqueue(std::move(record), calls);
        }
    }
    deliver(calls);
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
        admission_.noteFirstToken(record, now - record.grantedAt);
        record.entry->noteFirstToken();
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
        admission_.accounts().reclassifyAsLong(record.request.customer);
    }
}

void LocalDispatcher::finish(Ticket ticket, AttemptOutcome outcome, std::uint32_t tokens)
{
    Calls calls;
    {
        const std::lock_guard lock(mutex_);
        const auto found = records_.find(ticket);
        if (found == records_.end() || found->second.state != RequestRecord::State::Granted) {
            return;
        }
        RequestRecord &record = found->second;
        record.tokens = std::max(record.tokens, tokens);
        noteOutcome(record, outcome);
        release(ticket, record);
        const ModelId model = record.request.model;
        if (outcome == AttemptOutcome::Completed || outcome == AttemptOutcome::Cancelled) {
            records_.erase(found);
        }
        pump(model, calls);
    }
    deliver(calls);
}

void LocalDispatcher::setSnapshot(RoutingSnapshotPtr snapshot)
{
    Calls calls;
    {
        const std::lock_guard lock(mutex_);
        if (!snapshot) {
            return;
        }
        applyPolicy(snapshot->policy);
        book_.setSnapshot(std::move(snapshot), clock_.now());
        updateShares();
        std::unordered_set<std::uint64_t> replicas;
        for (const auto &[id, entry] : book_.entries()) {
            replicas.insert(entry->idHash());
        }
        selector_.prefixes().keepOnly(replicas);
        pumpAll(calls);
    }
    deliver(calls);
}

void LocalDispatcher::tick()
{
    Calls calls;
    {
        const std::lock_guard lock(mutex_);
        if (!book_.snapshot()) {
            return;
        }
        evaluateOutliers();
        for (const ModelId &model : admission_.models()) {
            book_.setSlotSeconds(model, admission_.shortSlotSeconds(model));
        }
        book_.refresh(clock_.now());
        updateShares();
        quarantine_.expire(clock_.now());
        refuseExpired(calls);
        forgetFinished();
        pumpAll(calls);
    }
    deliver(calls);
}

bool LocalDispatcher::isEligible(const ReplicaId &replica, std::uint64_t incarnation) const
{
    const std::lock_guard lock(mutex_);
    const ReplicaBook::EntryPtr entry = book_.find(replica);
    return entry && entry->incarnation() == incarnation && book_.isEligible(*entry, clock_.now());
}

Dispatcher::Demand LocalDispatcher::demand() const
{
    const std::lock_guard lock(mutex_);
    Demand demand;
    for (const auto &[customer, account] : admission_.accounts().accounts()) {
        if (account.demand() > 0) {
            demand.customers.emplace_back(customer, account.demand());
        }
    }
    for (const auto &[id, entry] : book_.entries()) {
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
    const ReplicaBook::EntryPtr entry = book_.find(replica);
    if (!entry || entry->incarnation() != incarnation) {
        return true;
    }
    return selector_.prefixes().apply(entry->idHash(), incarnation, update);
}

Dispatcher::Ticket LocalDispatcher::enqueue(RequestRecord record, Calls &calls)
{
    const TimePoint now = clock_.now();
    record.submittedAt = now;
    record.isLong = predictor_.predict(record.request).isLong;
    const Refusal refusal = refusalOf(record);
    if (refusal.code != ResultCode::Ok) {
        return refuseNew(std::move(record.handler), refusal, calls);
    }
    const Ticket ticket = ++lastTicket_;
    const ModelId model = record.request.model;
    const bool isNewCustomer = !admission_.isKnown(record.request.customer);
    admission_.push(ticket, record);
    if (isNewCustomer) {
        updateShares();
    }
    records_.emplace(ticket, std::move(record));
    pump(model, calls);
    return ticket;
}

Dispatcher::Ticket LocalDispatcher::refuseNew(GrantHandler handler, const Refusal &refusal, Calls &calls)
{
    DispatchDecision decision;
    decision.code = refusal.code;
    decision.retryAfter = refusal.retryAfter;
    decision.reason = resultCodeName(refusal.code);
    calls.push_back({std::move(handler), std::move(decision)});
    return ++lastTicket_;
}

Refusal LocalDispatcher::refusalOf(const RequestRecord &record)
{
    const RoutingSnapshot *snapshot = book_.snapshot();
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
    return record.isRetry ? Refusal{} : admission_.checkNew(record, clock_.now());
}

void LocalDispatcher::refuseWaiting(Ticket ticket, const Refusal &refusal, Calls &calls)
{
    const auto found = records_.find(ticket);
    admission_.remove(ticket, found->second);
    SuspectPlacer::abandon(found->second);
    refuseNew(std::move(found->second.handler), refusal, calls);
    records_.erase(found);
}

void LocalDispatcher::grant(Ticket ticket, const Choice &choice, Calls &calls)
{
    RequestRecord &record = records_.at(ticket);
    const TimePoint now = clock_.now();
    DispatchDecision decision;
    for (const ReplicaEntry *entry : choice.considered) {
        decision.considered.push_back(entry->id().str() + "=" + std::to_string(std::lround(selector_.load(*entry))));
    }
    decision.priority = priorityOf(record);
    record.isOverShare = admission_.accounts().usedShare(record.request.customer, record.isLong) >= 1;
    admission_.remove(ticket, record);
    admission_.accounts().addInFlight(record.request.customer, record.isLong);
    record.entry = book_.find(choice.entry->id());
    record.entry->addInFlight(record.isLong, now);
    if (quarantine_.isSuspect(record.request.fingerprint)) {
        SuspectPlacer::start(record, quarantine_);
    }
    selector_.prefixes().addSent(record.entry->idHash(), record.request.prefixHashes);
    record.state = RequestRecord::State::Granted;
    record.grantedAt = now;
    record.lastProgressAt = now;
    decision.replica = record.entry->id();
    decision.incarnation = record.entry->incarnation();
    decision.leader = record.entry->view()->leader;
    decision.isLongWork = record.isLong;
    decision.reason = choice.reason;
    calls.push_back({std::move(record.handler), std::move(decision)});
}

void LocalDispatcher::release(Ticket ticket, RequestRecord &record)
{
    if (record.state != RequestRecord::State::Granted) {
        return;
    }
    const TimePoint now = clock_.now();
    record.entry->removeInFlight(record.isLong, record.isReclassified, record.hasFirstToken, now);
    if (record.isSuspect) {
        SuspectPlacer::stop(record, quarantine_);
    }
    admission_.accounts().removeInFlight(record.request.customer, record.isLong);
    record.state = RequestRecord::State::Finished;
    finished_.emplace_back(now, ticket);
}

void LocalDispatcher::noteOutcome(RequestRecord &record, AttemptOutcome outcome)
{
    const TimePoint now = clock_.now();
    switch (outcome) {
    case AttemptOutcome::Completed:
        predictor_.observe(record.request, record.tokens);
        admission_.noteSlotTime(record.request.model, record.isLong, now - record.grantedAt);
        quarantine_.clear(record.request.fingerprint);
        break;
    case AttemptOutcome::ReplicaLost:
        quarantine_.addCrash(record.request.fingerprint, record.entry->id(), record.entry->incarnation(), record.entry->noteLoss(now), now);
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

void LocalDispatcher::refuseExpired(Calls &calls)
{
    for (const ModelId &model : admission_.models()) {
        for (const Ticket ticket : admission_.queue(model).expired(clock_.now())) {
            const bool hasReplica = book_.pool(model).size() > 0;
            refuseWaiting(ticket, {hasReplica ? ResultCode::DeadlinePassed : ResultCode::NoReplicaAvailable, DefaultRetryAfter}, calls);
        }
    }
}

void LocalDispatcher::forgetFinished()
{
    while (!finished_.empty() && clock_.now() - finished_.front().first > FinishedRetention) {
        records_.erase(finished_.front().second);
        finished_.pop_front();
    }
}

void LocalDispatcher::evaluateOutliers()
{
    const TimePoint now = clock_.now();
    if (!ejector_.isEvaluationDue(now)) {
        return;
    }
    for (const auto &[model, pool] : book_.pools()) {
        std::vector<ReplicaId> ids;
        for (const auto *zone : {&pool.ownZone, &pool.otherZones}) {
            std::transform(zone->begin(), zone->end(), std::back_inserter(ids), [](const ReplicaEntry *entry) { return entry->id(); });
        }
        ejector_.evaluate(ids, now);
    }
    for (const auto &[id, entry] : book_.entries()) {
        entry->setWeight(ejector_.weight(id));
    }
    ejector_.finishEvaluation(now);
}

void LocalDispatcher::updateShares()
{
    admission_.updateShares(*book_.snapshot(), book_.capacity());
}

void LocalDispatcher::pumpAll(Calls &calls)
{
    for (const ModelId &model : admission_.models()) {
        pump(model, calls);
    }
}

void LocalDispatcher::pump(const ModelId &model, Calls &calls)
{
    AdmissionQueue &queue = admission_.queue(model);
    std::vector<Ticket> blocked;
    bool isLongBlocked = false;
    while (const QueueItem *item = queue.next(clock_.now(), admission_.accounts(), blocked, isLongBlocked)) {
        const Ticket ticket = item->ticket;
        RequestRecord &record = records_.at(ticket);
        const Refusal refusal = waitingRefusal(record);
        if (refusal.code != ResultCode::Ok) {
            refuseWaiting(ticket, refusal, calls);
            continue;
        }
        const Choice choice = selector_.select(record, book_, quarantine_, limitsFor(record), clock_.now());
        if (choice.entry) {
            grant(ticket, choice, calls);
        } else if (!record.excluded.empty() || quarantine_.isSuspect(record.request.fingerprint)) {
            blocked.push_back(ticket);
        } else if (queue.mayPassOver() && record.isLong) {
            isLongBlocked = true;
        } else {
            return;
        }
    }
}

ReplicaSelector::Limits LocalDispatcher::limitsFor(const RequestRecord &record)
{
    const CustomerAccounts &accounts = admission_.accounts();
    const bool isWithinShare = accounts.usedShare(record.request.customer, record.isLong) < 1;
    const AdmissionQueue &queue = admission_.queue(record.request.model);
    const bool hasQueue = queue.size() > 1;
    return {.keepFree = isWithinShare ? 0 : OverShareHeadroom,
            .claimShare = accounts.claimShare(),
            .isElastic = !isWithinShare || (hasQueue && record.isLong),
            .capsLongWork = queue.mayPassOver()};
}

Refusal LocalDispatcher::waitingRefusal(const RequestRecord &record)
{
    if (quarantine_.isQuarantined(record.request.fingerprint)) {
        return {ResultCode::RequestQuarantined, {}};
    }
    return admission_.checkWaiting(record, clock_.now());
}

std::uint32_t LocalDispatcher::priorityOf(const RequestRecord &record) const
{
    // Customers within their share first, then short work first.
    return (admission_.accounts().usedShare(record.request.customer, record.isLong) < 1 ? 0 : 2) + (record.isLong ? 1 : 0);
}

void LocalDispatcher::applyPolicy(const RoutingPolicy &policy)
{
    selector_.setStrategy(policy.replicaChoice);
    retryBudget_.setShare(policy.retryBudgetShare);
    admission_.setStrategies(policy.queueOrder, policy.admission);
}

}
