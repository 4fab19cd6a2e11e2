#include "routing/admission_control.h"

#include <algorithm>
#include <cmath>

namespace carawaypoint
{

namespace
{
constexpr const char *DefaultQueue = "short_first";
constexpr const char *DefaultAdmission = "deadline_shares";
constexpr Duration DefaultRetryAfter = seconds(1);
// Part of the time until its deadline that a request is assumed to need from the grant to the first token, at most.
constexpr double FirstTokenPart = 0.6;
// A first token that comes after the deadline wastes a slot, so requests are granted only with this margin over the mean.
constexpr double FirstTokenDeviations = 1.5;
}

AdmissionControl::AdmissionControl()
    : queueName_(DefaultQueue)
    , admissionName_(DefaultAdmission)
    , admission_(makeAdmissionPolicy(DefaultAdmission))
{
}

void AdmissionControl::setStrategies(const std::string &queueOrder, const std::string &admission)
{
    setQueueOrder(queueOrder);
    if (admission == admissionName_) {
        return;
    }
    if (auto policy = makeAdmissionPolicy(admission)) {
        admission_ = std::move(policy);
        admissionName_ = admission;
    }
}

void AdmissionControl::updateShares(const RoutingSnapshot &snapshot, double capacity)
{
    accounts_.update(snapshot, capacity);
}

bool AdmissionControl::isKnown(const CustomerId &customer) const
{
    return accounts_.accounts().contains(customer);
}

Refusal AdmissionControl::checkNew(const RequestRecord &record, TimePoint now)
{
    const ModelState &state = stateOf(record.request.model);
    const CustomerId &customer = record.request.customer;
    AdmissionInput input;
    input.untilDeadline = record.request.deadline - now;
    input.slotTime = state.slotTime[record.isLong ? 1 : 0].value();
    input.shortSlotTime = state.slotTime[0].value();
    input.usedShare = accounts_.usedShare(customer, record.isLong);
    input.firstTokenTime = firstTokenTime(record.request.model, input.usedShare >= 1, input.untilDeadline);
    if (input.usedShare < 1) {
        // Customers within their share go first, so all slots of this daemon that become free serve them.
        input.waiting = accounts_.waitingWithinShare();
        input.slots = std::max(accounts_.expectedSlots(customer), accounts_.totalInFlight());
    } else {
        input.waiting = static_cast<double>(state.queue->waiting(customer, record.isLong));
        input.waitingShort = record.isLong ? static_cast<double>(state.queue->waiting(customer, false)) : 0;
        input.slots = accounts_.expectedSlots(customer);
    }
    input.queued = state.queue->size();
    const AdmissionVerdict verdict = admission_->check(input);
    return {verdict.code, verdict.retryAfter};
}

Refusal AdmissionControl::checkWaiting(const RequestRecord &record, TimePoint now)
{
    const Duration left = record.request.deadline - now;
    if (left < Duration::zero()) {
        return {ResultCode::DeadlinePassed, DefaultRetryAfter};
    }
    const Duration firstToken =
        firstTokenTime(record.request.model, accounts_.usedShare(record.request.customer, record.isLong) >= 1, record.request.deadline - record.submittedAt);
    const bool isHopeless = admission_->shedsHopeless() && !record.isRetry && left < firstToken;
    return isHopeless ? Refusal{ResultCode::DeadlineWouldPass, DefaultRetryAfter} : Refusal{};
}

Duration AdmissionControl::firstTokenTime(const ModelId &model, bool isOverShare, Duration limit)
{
    // Bounded, because a high estimate that refuses everything would never be corrected by new samples.
    const double bound = FirstTokenPart * static_cast<double>(limit.count());
    const FirstTokenTime &time = stateOf(model).firstToken[isOverShare ? 1 : 0];
    return Duration(static_cast<Duration::rep>(std::min(bound, time.mean.value() + FirstTokenDeviations * time.deviation.value())));
}

void AdmissionControl::push(std::uint64_t ticket, const RequestRecord &record)
{
    stateOf(record.request.model).queue->push({ticket, record.request.customer, record.isLong, record.submittedAt, record.request.deadline});
    accounts_.addWaiting(record.request.customer);
}

void AdmissionControl::remove(std::uint64_t ticket, const RequestRecord &record)
{
    if (stateOf(record.request.model).queue->remove(ticket)) {
        accounts_.removeWaiting(record.request.customer);
    }
}

AdmissionQueue &AdmissionControl::queue(const ModelId &model)
{
    return *stateOf(model).queue;
}

std::vector<ModelId> AdmissionControl::models() const
{
    std::vector<ModelId> models;
    for (const auto &[model, state] : states_) {
        models.push_back(model);
    }
    return models;
}

void AdmissionControl::noteFirstToken(const RequestRecord &record, Duration sinceGrant)
{
    FirstTokenTime &time = stateOf(record.request.model).firstToken[record.isOverShare ? 1 : 0];
    const auto sample = static_cast<double>(sinceGrant.count());
    if (time.mean.hasValue()) {
        time.deviation.add(std::abs(sample - time.mean.value()));
    }
    time.mean.add(sample);
}

void AdmissionControl::noteSlotTime(const ModelId &model, bool isLong, Duration held)
{
    stateOf(model).slotTime[isLong ? 1 : 0].add(std::chrono::duration<double>(held).count());
}

double AdmissionControl::shortSlotSeconds(const ModelId &model)
{
    return stateOf(model).slotTime[0].value();
}

AdmissionControl::ModelState &AdmissionControl::stateOf(const ModelId &model)
{
    ModelState &state = states_[model];
    if (!state.queue) {
        state.queue = makeAdmissionQueue(queueName_);
    }
    return state;
}

void AdmissionControl::setQueueOrder(const std::string &name)
{
    if (name == queueName_ || !makeAdmissionQueue(name)) {
        return;
    }
    queueName_ = name;
    for (auto &[model, state] : states_) {
        auto queue = makeAdmissionQueue(name);
        for (const QueueItem &item : state.queue->items()) {
            queue->push(item);
        }
        state.queue = std::move(queue);
    }
}

}
