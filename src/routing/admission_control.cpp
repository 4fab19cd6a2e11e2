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
// Upper bound of the estimated time from the grant to the first token, as a part of the time until the deadline.
constexpr double MaxFirstTokenFraction = 0.6;
// A first token after the deadline wastes a slot, so the estimate is the mean plus this many mean deviations.
constexpr double FirstTokenMarginDeviations = 1.5;
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
    customerShares_.updateShares(snapshot, capacity);
}

bool AdmissionControl::isKnownCustomer(const CustomerId &customer) const
{
    return customerShares_.slotsByCustomer().contains(customer);
}

Refusal AdmissionControl::checkNewRequest(const RequestRecord &record, TimePoint now)
{
    const ModelState &state = stateOf(record.request.model);
    const CustomerId &customer = record.request.customer;
    AdmissionInput input;
    input.timeUntilDeadline = record.request.deadline - now;
    input.meanSlotSeconds = state.slotSeconds[record.isLong ? 1 : 0].value();
    input.meanShortSlotSeconds = state.slotSeconds[0].value();
    input.usedShare = customerShares_.usedShare(customer, record.isLong);
    input.expectedFirstTokenTime = expectedFirstTokenTime(record.request.model, input.usedShare >= 1, input.timeUntilDeadline);
    if (input.usedShare < 1) {
        // Customers within their share are served first, so every slot of this daemon that becomes free serves them.
        input.requestsAhead = customerShares_.waitingWithinShare();
        input.servingSlots = std::max(customerShares_.expectedSlots(customer), customerShares_.totalInFlight());
    } else {
        input.requestsAhead = static_cast<double>(state.queue->requestsAhead(customer, record.isLong));
        input.shortRequestsAhead = record.isLong ? static_cast<double>(state.queue->requestsAhead(customer, false)) : 0;
        input.servingSlots = customerShares_.expectedSlots(customer);
    }
    input.queueLength = state.queue->size();
    const AdmissionVerdict verdict = admission_->check(input);
    return {verdict.code, verdict.retryAfter};
}

Refusal AdmissionControl::checkWaitingRequest(const RequestRecord &record, TimePoint now)
{
    const Duration left = record.request.deadline - now;
    if (left < Duration::zero()) {
        return {ResultCode::DeadlinePassed, DefaultRetryAfter};
    }
    const Duration untilFirstToken = expectedFirstTokenTime(record.request.model, customerShares_.usedShare(record.request.customer, record.isLong) >= 1,
                                                            record.request.deadline - record.submittedAt);
    const bool isDeadlineUnmeetable = admission_->refusesUnmeetableDeadlines() && !record.isRetry && left < untilFirstToken;
    return isDeadlineUnmeetable ? Refusal{ResultCode::DeadlineWouldPass, DefaultRetryAfter} : Refusal{};
}

Duration AdmissionControl::expectedFirstTokenTime(const ModelId &model, bool isOverShare, Duration limit)
{
    // Without an upper bound, a high estimate would refuse every request and no new sample would ever lower it.
    const double bound = MaxFirstTokenFraction * static_cast<double>(limit.count());
    const FirstTokenTime &time = stateOf(model).firstTokenTimes[isOverShare ? 1 : 0];
    return Duration(static_cast<Duration::rep>(std::min(bound, time.mean.value() + FirstTokenMarginDeviations * time.deviation.value())));
}

void AdmissionControl::push(std::uint64_t ticket, const RequestRecord &record)
{
    stateOf(record.request.model).queue->push({ticket, record.request.customer, record.isLong, record.submittedAt, record.request.deadline});
    customerShares_.addWaiting(record.request.customer);
}

void AdmissionControl::remove(std::uint64_t ticket, const RequestRecord &record)
{
    if (stateOf(record.request.model).queue->remove(ticket)) {
        customerShares_.removeWaiting(record.request.customer);
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

void AdmissionControl::recordFirstToken(const RequestRecord &record, Duration sinceGrant)
{
    FirstTokenTime &time = stateOf(record.request.model).firstTokenTimes[record.isOverShare ? 1 : 0];
    const auto sample = static_cast<double>(sinceGrant.count());
    if (time.mean.hasValue()) {
        time.deviation.add(std::abs(sample - time.mean.value()));
    }
    time.mean.add(sample);
}

void AdmissionControl::recordSlotTime(const ModelId &model, bool isLong, Duration held)
{
    stateOf(model).slotSeconds[isLong ? 1 : 0].add(std::chrono::duration<double>(held).count());
}

double AdmissionControl::shortSlotSeconds(const ModelId &model)
{
    return stateOf(model).slotSeconds[0].value();
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
