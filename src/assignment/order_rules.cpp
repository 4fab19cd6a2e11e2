#include "assignment/order_rules.h"

#include <algorithm>
#include <utility>

namespace carawaypoint
{
namespace
{

// An engine that refuses an order, or whose answers are lost, is asked again at this pace.
constexpr Duration ResendAfter = seconds(1);
// Ticks come several times a second.
constexpr Duration MaxTickGap = seconds(3);

}

bool VmObservation::hasWeights(const ModelId &model) const
{
    return std::find(state.cachedModels.begin(), state.cachedModels.end(), model) != state.cachedModels.end();
}

std::uint64_t OrderTracker::sent(const VmId &vm, FencingNumber fence, bool isRelease, TimePoint now)
{
    sent_[vm].push_back({++lastOrder_, fence, now, isRelease, false});
    lastSentAt_[vm] = now;
    if (!isRelease) {
        released_.erase(vm);
    }
    return lastOrder_;
}

void OrderTracker::answered(const VmId &vm, std::uint64_t order, bool isLost, bool isDone)
{
    const auto entry = sent_.find(vm);
    if (entry == sent_.end()) {
        return;
    }
    auto &orders = entry->second;
    const auto found = std::find_if(orders.begin(), orders.end(), [order](const Sent &sent) { return sent.order == order; });
    if (found == orders.end()) {
        return;
    }
    if (isLost) {
        found->isLost = true;
        return;
    }
    const auto settled = *found;
    orders.erase(found);
    // An earlier order that is not settled could arrive after the release and undo it.
    if (settled.isRelease && isDone) {
        released_[vm] = {settled.fence, orders.empty()};
    }
    if (orders.empty()) {
        sent_.erase(entry);
    }
}

void OrderTracker::expire(TimePoint now)
{
    const bool wasPaused = now - std::exchange(expiredAt_, now) > MaxTickGap;
    for (auto &[vm, orders] : sent_) {
        for (auto &sent : orders) {
            sent.sentAt = wasPaused ? now : sent.sentAt;
        }
    }
    for (auto entry = sent_.begin(); entry != sent_.end();) {
        std::erase_if(entry->second, [&](const Sent &sent) { return now - sent.sentAt >= lifetime_; });
        entry = entry->second.empty() ? sent_.erase(entry) : std::next(entry);
    }
    std::erase_if(lastSentAt_, [&](const auto &entry) { return now - entry.second >= ResendAfter; });
}

bool OrderTracker::isSettled(const VmId &vm) const
{
    return !sent_.contains(vm);
}

bool OrderTracker::isAllSettled() const
{
    return sent_.empty();
}

bool OrderTracker::isWaiting(const VmId &vm, TimePoint now) const
{
    const auto last = lastSentAt_.find(vm);
    if (last != lastSentAt_.end() && now - last->second < ResendAfter) {
        return true;
    }
    const auto found = sent_.find(vm);
    return found != sent_.end() && std::any_of(found->second.begin(), found->second.end(), [](const Sent &sent) { return !sent.isLost; });
}

bool OrderTracker::isReleased(const VmId &vm, FencingNumber fence, bool mustBeLast) const
{
    const auto found = released_.find(vm);
    return found != released_.end() && found->second.fence == fence && (found->second.isLast || !mustBeLast);
}

void OrderTracker::forgetReleases()
{
    released_.clear();
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

bool isInPlace(const DomainRecord &record, const VmEntry &vm, const EngineState &state)
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
        const bool isSeen = seen != observations.end() && now - seen->second.seenAt < settings.missingAfter;
        if (!isSeen || tracker.isWaiting(vm.id, now) || vm.phase == VmPhase::Free) {
            continue;
        }
        if (vm.phase == VmPhase::Releasing) {
            if (!tracker.isReleased(vm.id, vm.releaseFence, !settings.checksFencing(vm.pool))) {
                due.push_back(orderFor(record, vm));
            }
            continue;
        }
        const auto *replica = record.replica(vm.replica);
        const bool isMember = std::find(replica->members.begin(), replica->members.end(), vm.id) != replica->members.end();
        if (!isMember || isInPlace(record, vm, seen->second.state)) {
            continue;
        }
        if (seen->second.hasWeights(replica->model) || admittedLoads.contains(vm.id)) {
            due.push_back(orderFor(record, vm));
        }
    }
    return due;
}

bool mayFree(const DomainRecord &record, const VmEntry &vm, const OrderTracker &tracker, const AssignmentSettings &settings, bool isGone)
{
    if (vm.phase != VmPhase::Releasing) {
        return false;
    }
    // An engine that checks refuses every older order once it carried out the release.
    if (settings.checksFencing(vm.pool) && tracker.isReleased(vm.id, vm.releaseFence, false)) {
        return true;
    }
    if (!record.unconfirmed.empty()) {
        return false;
    }
    return tracker.isReleased(vm.id, vm.releaseFence, true) || (isGone && tracker.isSettled(vm.id));
}

}
