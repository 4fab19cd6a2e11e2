#include "routing/local_dispatcher.h"

#include <algorithm>
#include <cmath>

namespace carawaypoint
{

namespace
{
constexpr std::string_view DefaultChooser = "least_requests";
constexpr std::string_view DefaultQueue = "fifo";
// A caller that wants another attempt asks at once; the record of a failed one is kept a little longer than that.
constexpr Duration FinishedRetention = seconds(30);
// A stream that breaks after its first token has no first-token deadline any more; it may wait this long to go on.
constexpr Duration ResumeWait = seconds(2);
constexpr Duration DefaultRetryAfter = seconds(1);
}

std::unique_ptr<Dispatcher> makeDispatcher(const Clock &clock, std::uint64_t seed)
{
    return std::make_unique<LocalDispatcher>(clock, seed);
}

LocalDispatcher::LocalDispatcher(const Clock &clock, std::uint64_t seed)
    : clock_(clock)
    , random_(seed)
    , chooserName_(DefaultChooser)
    , queueName_(DefaultQueue)
    , chooser_(makeReplicaChooser(DefaultChooser))
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
    queueOf(found->second.request.model).remove(ticket);
    records_.erase(found);
    return true;
}

Dispatcher::Ticket LocalDispatcher::resubmit(Ticket ticket, std::span<const ReplicaId> excluded, GrantHandler handler)
{
    Calls calls;
    Ticket next = 0;
    {
        const std::lock_guard lock(mutex_);
        const TimePoint now = clock_.now();
        const auto found = records_.find(ticket);
        if (found == records_.end() || found->second.state == RequestRecord::State::Waiting) {
            DispatchDecision decision;
            decision.code = ResultCode::Internal;
            decision.reason = "resubmission of an unknown ticket";
            calls.push_back({std::move(handler), std::move(decision)});
            next = ++lastTicket_;
        } else {
            release(found->second, now);
            RequestRecord record;
            record.request = std::move(found->second.request);
            if (found->second.tokens > 0) {
                record.request.deadline = std::max(record.request.deadline, now + ResumeWait);
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
    if (found == records_.end() || found->second.state != RequestRecord::State::Granted) {
        return;
    }
    found->second.tokens = std::max(found->second.tokens, tokens);
    found->second.lastProgressAt = clock_.now();
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
        found->second.tokens = std::max(found->second.tokens, tokens);
        release(found->second, clock_.now());
        const ModelId model = found->second.request.model;
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
        pumpAll(calls);
    }
    deliver(calls);
}

void LocalDispatcher::tick()
{
    Calls calls;
    {
        const std::lock_guard lock(mutex_);
        book_.refresh(clock_.now());
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
    std::unordered_map<CustomerId, double> wanted;
    for (const auto &[ticket, record] : records_) {
        if (record.state != RequestRecord::State::Finished) {
            wanted[record.request.customer] += 1;
        }
    }
    Demand demand;
    demand.customers.assign(wanted.begin(), wanted.end());
    for (const auto &[id, entry] : book_.entries()) {
        if (entry->inFlight() > 0) {
            demand.inFlight.emplace_back(id, entry->inFlight());
        }
    }
    return demand;
}

std::vector<std::uint64_t> LocalDispatcher::takeCrashSuspects()
{
    return {};
}

void LocalDispatcher::addPeerCrashSuspect(std::uint64_t)
{
}

Dispatcher::Ticket LocalDispatcher::enqueue(RequestRecord record, Calls &calls)
{
    const Ticket ticket = ++lastTicket_;
    const TimePoint now = clock_.now();
    record.submittedAt = now;
    const ResultCode refusal = refusalOf(record);
    const auto &[position, inserted] = records_.emplace(ticket, std::move(record));
    if (refusal != ResultCode::Ok) {
        refuse(ticket, refusal, resultCodeName(refusal), calls);
        return ticket;
    }
    const ModelRequest &request = position->second.request;
    queueOf(request.model).push({ticket, request.customer, position->second.isLong, now, request.deadline});
    pump(ModelId(request.model), calls);
    return ticket;
}

ResultCode LocalDispatcher::refusalOf(const RequestRecord &record) const
{
    const RoutingSnapshot *snapshot = book_.snapshot();
    if (!snapshot) {
        return ResultCode::NotReady;
    }
    const ModelId &model = record.request.model;
    const bool isKnown = std::any_of(snapshot->models.begin(), snapshot->models.end(), [&](const ModelView &view) { return view.id == model; })
        || std::any_of(snapshot->replicas.begin(), snapshot->replicas.end(), [&](const ReplicaView &view) { return view.model == model; });
    if (!isKnown) {
        return ResultCode::UnknownModel;
    }
    return record.request.deadline < clock_.now() ? ResultCode::DeadlinePassed : ResultCode::Ok;
}

void LocalDispatcher::refuse(Ticket ticket, ResultCode code, std::string_view reason, Calls &calls)
{
    const auto found = records_.find(ticket);
    DispatchDecision decision;
    decision.code = code;
    decision.reason = reason;
    decision.retryAfter = DefaultRetryAfter;
    calls.push_back({std::move(found->second.handler), std::move(decision)});
    records_.erase(found);
}

void LocalDispatcher::grant(Ticket ticket, const Choice &choice, Calls &calls)
{
    RequestRecord &record = records_.at(ticket);
    const TimePoint now = clock_.now();
    record.entry = book_.find(choice.entry->id());
    record.entry->addInFlight(record.isLong, now);
    record.state = RequestRecord::State::Granted;
    record.grantedAt = now;
    record.lastProgressAt = now;

    DispatchDecision decision;
    decision.replica = record.entry->id();
    decision.incarnation = record.entry->incarnation();
    decision.leader = record.entry->view()->leader;
    decision.isLongWork = record.isLong;
    decision.reason = choice.reason;
    for (const ReplicaEntry *entry : choice.considered) {
        decision.considered.push_back(entry->id().str() + "=" + std::to_string(std::lround(chooser_->load(*entry))));
    }
    calls.push_back({std::move(record.handler), std::move(decision)});
}

void LocalDispatcher::release(RequestRecord &record, TimePoint now)
{
    if (record.state != RequestRecord::State::Granted) {
        return;
    }
    record.entry->removeInFlight(record.isLong, now);
    record.state = RequestRecord::State::Finished;
    record.finishedAt = now;
}

void LocalDispatcher::refuseExpired(Calls &calls)
{
    for (auto &[model, queue] : queues_) {
        for (const Ticket ticket : queue->expired(clock_.now())) {
            queue->remove(ticket);
            const bool hasReplica = !book_.eligible(model).empty();
            refuse(ticket, hasReplica ? ResultCode::DeadlinePassed : ResultCode::NoReplicaAvailable, "deadline passed while waiting", calls);
        }
    }
}

void LocalDispatcher::forgetFinished()
{
    const TimePoint now = clock_.now();
    std::erase_if(records_,
                  [&](const auto &item) { return item.second.state == RequestRecord::State::Finished && now - item.second.finishedAt > FinishedRetention; });
}

void LocalDispatcher::pumpAll(Calls &calls)
{
    for (const auto &[model, queue] : queues_) {
        pump(model, calls);
    }
}

void LocalDispatcher::pump(const ModelId &model, Calls &calls)
{
    AdmissionQueue &queue = queueOf(model);
    const TimePoint now = clock_.now();
    std::vector<Ticket> blocked;
    bool isLongBlocked = false;
    while (const QueueItem *item = queue.next(now, *this, blocked, isLongBlocked)) {
        const Ticket ticket = item->ticket;
        if (item->deadline < now) {
            queue.remove(ticket);
            refuse(ticket, ResultCode::DeadlinePassed, "deadline passed while waiting", calls);
            continue;
        }
        const RequestRecord &record = records_.at(ticket);
        const Choice choice = chooseFor(record);
        if (choice.entry) {
            queue.remove(ticket);
            grant(ticket, choice, calls);
            continue;
        }
        if (!queue.mayPassOver()) {
            return;
        }
        if (!record.excluded.empty()) {
            blocked.push_back(ticket);
        } else if (item->isLong) {
            isLongBlocked = true;
        } else {
            return;
        }
    }
}

Choice LocalDispatcher::chooseFor(const RequestRecord &record)
{
    const TimePoint now = clock_.now();
    candidates_.clear();
    for (ReplicaEntry *entry : book_.eligible(record.request.model)) {
        const bool isExcluded = std::find(record.excluded.begin(), record.excluded.end(), entry->id()) != record.excluded.end();
        if (!isExcluded && book_.isEligible(*entry, now)) {
            candidates_.push_back(entry);
        }
    }
    const ChoiceRequest request{
        .request = record.request, .isLong = record.isLong, .ownZone = book_.snapshot()->zone, .daemons = book_.snapshot()->daemonsInZone};
    return chooser_->choose(candidates_, request, random_);
}

void LocalDispatcher::applyPolicy(const RoutingPolicy &policy)
{
    if (policy.replicaChoice != chooserName_) {
        if (auto chooser = makeReplicaChooser(policy.replicaChoice)) {
            chooser_ = std::move(chooser);
            chooserName_ = policy.replicaChoice;
        }
    }
}

AdmissionQueue &LocalDispatcher::queueOf(const ModelId &model)
{
    auto &queue = queues_[model];
    if (!queue) {
        queue = makeAdmissionQueue(queueName_);
    }
    return *queue;
}

double LocalDispatcher::usedShare(const CustomerId &) const
{
    return 0;
}

}
