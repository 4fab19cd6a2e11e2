#include "assignment/order_rules.h"

#include <algorithm>
#include <utility>

namespace carawaypoint
{
namespace
{

// Interval at which an order is sent again when it was refused or its answer was lost.
constexpr Duration ResendInterval = seconds(1);
// A longer gap between ticks means that the process was paused; ticks run several times a second.
constexpr Duration MaxTickGap = seconds(3);

}

bool VmObservation::hasWeights(const ModelId &model) const
{
    return std::find(state.cachedModels.begin(), state.cachedModels.end(), model) != state.cachedModels.end();
}

std::uint64_t OrderTracker::recordSent(const VmId &vm, FencingNumber fence, bool isRelease, TimePoint now)
{
    sentOrders_[vm].push_back({++lastOrderNumber_, fence, now, isRelease, false});
    lastSentAt_[vm] = now;
    if (!isRelease) {
        completedReleases_.erase(vm);
    }
    return lastOrderNumber_;
}

void OrderTracker::recordAnswer(const VmId &vm, std::uint64_t number, bool isLost, bool isDone)
{
    const auto entry = sentOrders_.find(vm);
    if (entry == sentOrders_.end()) {
        return;
    }
    auto &orders = entry->second;
    const auto found = std::find_if(orders.begin(), orders.end(), [number](const SentOrder &sent) { return sent.number == number; });
    if (found == orders.end()) {
        return;
    }
    if (isLost) {
        found->isLost = true;
        return;
    }
    const auto settled = *found;
    orders.erase(found);
    // An earlier unsettled order could arrive after the release and undo it.
    if (settled.isRelease && isDone) {
        completedReleases_[vm] = {settled.fence, orders.empty()};
    }
    if (orders.empty()) {
        sentOrders_.erase(entry);
    }
}

void OrderTracker::expireOrders(TimePoint now)
{
    const bool wasPaused = now - std::exchange(lastExpiryAt_, now) > MaxTickGap;
    for (auto &[vm, orders] : sentOrders_) {
        for (auto &sent : orders) {
            sent.sentAt = wasPaused ? now : sent.sentAt;
        }
    }
    for (auto entry = sentOrders_.begin(); entry != sentOrders_.end();) {
        std::erase_if(entry->second, [&](const SentOrder &sent) { return now - sent.sentAt >= lifetime_; });
        entry = entry->second.empty() ? sentOrders_.erase(entry) : std::next(entry);
    }
    std::erase_if(lastSentAt_, [&](const auto &entry) { return now - entry.second >= ResendInterval; });
}

bool OrderTracker::isSettled(const VmId &vm) const
{
    return !sentOrders_.contains(vm);
}

bool OrderTracker::isAllSettled() const
{
    return sentOrders_.empty();
}

bool OrderTracker::isAwaitingAnswer(const VmId &vm, TimePoint now) const
{
    const auto last = lastSentAt_.find(vm);
    if (last != lastSentAt_.end() && now - last->second < ResendInterval) {
        return true;
    }
    const auto found = sentOrders_.find(vm);
    return found != sentOrders_.end() && std::any_of(found->second.begin(), found->second.end(), [](const SentOrder &sent) { return !sent.isLost; });
}

bool OrderTracker::isReleaseDone(const VmId &vm, FencingNumber fence, bool mustBeLast) const
{
    const auto found = completedReleases_.find(vm);
    return found != completedReleases_.end() && found->second.fence == fence && (found->second.isLastOrder || !mustBeLast);
}

void OrderTracker::clearReleases()
{
    completedReleases_.clear();
}

DueOrder orderFor(const DomainRecord &record, const VmEntry &vm)
{
    DueOrder due{vm.id, vm.address, {}};
    if (vm.phase != VmPhase::Bound) {
        due.order.fence = vm.releaseFence;
        return due;
    }
    const auto *replica = record.replica(vm.replica);
    due.order.fence = replica->fence;
    due.order.replica = replica->id;
    due.order.role = replica->members.front() == vm.id ? EngineRole::Leader : EngineRole::Worker;
    due.order.model = replica->model;
    due.order.version = replica->version;
    due.order.adapters = replica->adapters;
    for (const auto &member : replica->members) {
        due.order.members.push_back(record.vm(member)->address);
    }
    return due;
}

bool matchesRecord(const DomainRecord &record, const VmEntry &vm, const EngineState &state)
{
    const auto wanted = orderFor(record, vm).order;
    if (state.role != wanted.role || state.replica != wanted.replica) {
        return false;
    }
    return wanted.role == EngineRole::None || (state.fence == wanted.fence && state.model == wanted.model && state.version == wanted.version);
}

std::vector<DueOrder> dueOrders(const DomainRecord &record,
                                const VmObservations &observations,
                                const OrderTracker &tracker,
                                const std::set<VmId> &admittedLoads,
                                const AssignmentSettings &settings,
                                TimePoint now)
{
    std::vector<DueOrder> due;
    for (const auto &vm : record.vms) {
        const auto seen = observations.find(vm.id);
        const bool isSeen = seen != observations.end() && now - seen->second.observedAt < settings.missingTimeout;
        if (!isSeen || tracker.isAwaitingAnswer(vm.id, now) || vm.phase == VmPhase::Free) {
            continue;
        }
        if (vm.phase == VmPhase::Releasing) {
            if (!tracker.isReleaseDone(vm.id, vm.releaseFence, !settings.checksFencing(vm.pool))) {
                due.push_back(orderFor(record, vm));
            }
            continue;
        }
        const auto *replica = record.replica(vm.replica);
        const bool isMember = std::find(replica->members.begin(), replica->members.end(), vm.id) != replica->members.end();
        if (!isMember || matchesRecord(record, vm, seen->second.state)) {
            continue;
        }
        if (seen->second.hasWeights(replica->model) || admittedLoads.contains(vm.id)) {
            due.push_back(orderFor(record, vm));
        }
    }
    return due;
}

bool mayFree(const DomainRecord &record, const VmEntry &vm, const OrderTracker &tracker, const AssignmentSettings &settings, bool isRemovedByPlatform)
{
    if (vm.phase != VmPhase::Releasing) {
        return false;
    }
    // An engine that checks fencing numbers refuses every older order after it has carried out the release.
    if (settings.checksFencing(vm.pool) && tracker.isReleaseDone(vm.id, vm.releaseFence, false)) {
        return true;
    }
    if (!record.unconfirmed.empty()) {
        return false;
    }
    return tracker.isReleaseDone(vm.id, vm.releaseFence, true) || (isRemovedByPlatform && tracker.isSettled(vm.id));
}

}
