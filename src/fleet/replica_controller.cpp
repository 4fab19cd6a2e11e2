#include "fleet/replica_controller.h"

#include <algorithm>
#include <array>
#include <set>

namespace carawaypoint
{

namespace
{

const BackendServer *findServer(const ServerMap &servers, const PlannedMember &member)
{
    const auto found = servers.find(member.id);
    return found == servers.end() || found->second.startedAt != member.startedAt ? nullptr : &found->second;
}

PlannedMember reportedMember(const BackendServer &server, TimePoint now)
{
    // It is not known whether a joining member loads from the weight store, so it gets the longer limit of such a load.
    return {.id = server.id,
            .address = server.address,
            .startedAt = server.startedAt,
            .loadsFromStore = server.membership->state == MembershipState::Joining,
            .isSeen = true,
            .lastOrderAt = now};
}

/// The phase of a complete replica whose head reports @p state.
PlanPhase adoptedPhase(MembershipState state)
{
    switch (state) {
    case MembershipState::Open:
        return PlanPhase::Serving;
    case MembershipState::Closing:
        return PlanPhase::Draining;
    default:
        return PlanPhase::Joining;
    }
}

bool reports(const BackendServer &server, const ReplicaPlan &plan)
{
    return server.membership && server.membership->replica == plan.id && server.membership->epoch == plan.epoch;
}

}

std::string_view planPhaseName(PlanPhase phase)
{
    static constexpr std::array<std::string_view, 6> Names{"joining", "opening", "serving", "draining", "ending", "retired"};
    return Names.at(static_cast<std::size_t>(phase));
}

ReplicaController::ReplicaController(ReplicaControllerSettings settings)
    : settings_(settings)
{
}

void ReplicaController::setConfig(ServiceConfigPtr config)
{
    config_ = std::move(config);
}

void ReplicaController::startTerm(std::uint64_t term, TimePoint now)
{
    termStartedAt_ = now;
    registeredSince_.clear();
    term_ = term;
    lastSerial_ = 0;
    plans_.clear();
    stagings_.clear();
    reservations_.clear();
    loadSeenSince_.reset();
}

void ReplicaController::recordUnresponsive(const VmId &server, std::uint64_t startedAt, TimePoint now)
{
    unresponsive_[server] = {startedAt, now + settings_.unresponsiveBackoff};
}

std::vector<PlannedMember> ReplicaController::membersOf(const VmId &head) const
{
    for (const auto &[id, plan] : plans_) {
        if (plan.phase == PlanPhase::Serving && plan.members.front().id == head) {
            return plan.members;
        }
    }
    return {};
}

ServerMap ReplicaController::withoutUnresponsive(const ServerMap &servers, TimePoint now)
{
    std::erase_if(unresponsive_, [&](const auto &entry) {
        const auto server = servers.find(entry.first);
        return now >= entry.second.until || server == servers.end() || server->second.startedAt != entry.second.serverStartedAt;
    });
    auto remaining = servers;
    for (const auto &[id, unresponsive] : unresponsive_) {
        remaining.erase(id);
    }
    return remaining;
}

std::vector<ReplicaOrder> ReplicaController::decide(const ServerMap &registered, TimePoint now)
{
    orders_.clear();
    if (!config_) {
        return {};
    }
    const auto servers = withoutUnresponsive(registered, now);
    recordRegistrations(servers, now);
    recordLastModels(servers);
    adoptReportedReplicas(servers, now);
    assigned_ = assignedServers();
    for (auto &[id, plan] : plans_) {
        updatePlan(plan, servers, now);
    }
    std::erase_if(plans_, [](const auto &entry) { return entry.second.members.empty(); });
    removeEndedStagings(servers, now);
    if (mayFormReplicas(servers, now)) {
        formReplicas(servers, now);
    }
    if (!hasTraffic_) {
        stageAlternatives(servers, now);
    }
    return std::move(orders_);
}

void ReplicaController::recordRegistrations(const ServerMap &servers, TimePoint now)
{
    const bool isFirst = registeredSince_.empty();
    std::erase_if(registeredSince_, [&servers](const auto &entry) { return !servers.contains(entry.first); });
    for (const auto &[id, server] : servers) {
        registeredSince_.emplace(id, isFirst ? termStartedAt_ : now);
    }
}

void ReplicaController::recordLastModels(const ServerMap &servers)
{
    for (const auto &[id, server] : servers) {
        auto &last = lastModels_[id];
        if (last.first != server.startedAt) {
            last = {server.startedAt, ModelId()};
        }
        const bool hasJoined = server.membership && server.membership->state != MembershipState::Joining;
        if (hasJoined && !server.loadedModel.isEmpty()) {
            last.second = server.loadedModel;
        }
    }
}

void ReplicaController::adoptReportedReplicas(const ServerMap &servers, TimePoint now)
{
    for (const auto &view : groupByReplica(servers, *config_)) {
        if (plans_.contains(view.id) || SparePreloader::isOwnReplica(view.id)) {
            continue;
        }
        auto plan = makeAdoptedPlan(view, now);
        planChanges_.push_back({plan.id, plan.phase, "reported by servers"});
        plans_.emplace(view.id, std::move(plan));
    }
}

ReplicaPlan ReplicaController::makeAdoptedPlan(const ReplicaMembers &view, TimePoint now) const
{
    ReplicaPlan plan{.id = view.id, .epoch = view.epoch, .service = view.service, .domain = view.domain, .model = view.model};
    plan.phaseSince = now;
    const auto *model = config_->findModel(view.service, view.model);
    const unsigned last = view.members.rbegin()->first;
    plan.members.resize(std::max(model == nullptr ? 1 : model->size, last + 1));
    for (const auto &[rank, server] : view.members) {
        plan.members[rank] = reportedMember(*server, now);
    }
    const auto *head = view.head();
    const bool isComplete = model != nullptr && view.members.size() == model->size && last + 1 == model->size;
    plan.isAdopted = true;
    plan.phase = PlanPhase::Ending;
    if (isComplete && head != nullptr) {
        plan.phase = adoptedPhase(head->membership->state);
    }
    plan.reregistrationDeadline = now + settings_.reregistrationGracePeriod;
    return plan;
}

/// Adds members that were not registered when the plan was made, at the ranks that they report.
void ReplicaController::addReportedMembers(ReplicaPlan &plan, const ServerMap &servers, TimePoint now) const
{
    const bool isComplete = std::none_of(plan.members.begin(), plan.members.end(), [](const PlannedMember &member) { return member.id.isEmpty(); });
    if (isComplete) {
        return;
    }
    for (const auto &[id, server] : servers) {
        if (!reports(server, plan) || server.service != plan.service || server.membership->rank >= plan.members.size()) {
            continue;
        }
        auto &member = plan.members[server.membership->rank];
        if (member.id.isEmpty()) {
            member = reportedMember(server, now);
        }
    }
}

bool ReplicaController::isCompleteAgain(const ReplicaPlan &plan, const ServerMap &servers) const
{
    const bool isServing = std::all_of(plan.members.begin(), plan.members.end(), [&](const PlannedMember &member) {
        const auto *server = findServer(servers, member);
        return server != nullptr && !server->isLeaving && reports(*server, plan);
    });
    return isServing && !plan.memberLeftAt && findServer(servers, plan.members.front())->membership->state == MembershipState::Open;
}

void ReplicaController::updatePlan(ReplicaPlan &plan, const ServerMap &servers, TimePoint now)
{
    using Handler = void (ReplicaController::*)(ReplicaPlan &, const ServerMap &, TimePoint);
    // Indexed by PlanPhase.
    static constexpr std::array<Handler, 6> Handlers{&ReplicaController::updateJoining,  &ReplicaController::updateOpening, &ReplicaController::updateServing,
                                                     &ReplicaController::updateDraining, &ReplicaController::updateEnding,  &ReplicaController::updateRetired};
    addReportedMembers(plan, servers, now);
    for (auto &member : plan.members) {
        const auto *server = findServer(servers, member);
        member.isSeen = member.isSeen || (server != nullptr && reports(*server, plan));
    }
    (this->*Handlers.at(static_cast<std::size_t>(plan.phase)))(plan, servers, now);
}

/// Returns whether all members are present and staying; otherwise moves the plan to Draining or Ending.
bool ReplicaController::checkMembers(ReplicaPlan &plan, const ServerMap &servers, TimePoint now)
{
    bool isLeaving = false;
    for (const auto &member : plan.members) {
        const auto *server = findServer(servers, member);
        if (server == nullptr || (member.isSeen && !reports(*server, plan))) {
            enterPhase(plan, PlanPhase::Ending, now, server == nullptr ? "a member is gone" : "a member left the replica");
            return false;
        }
        isLeaving = isLeaving || server->isLeaving;
    }
    if (isLeaving) {
        enterPhase(plan, PlanPhase::Draining, now, "a member is leaving");
    }
    return !isLeaving;
}

void ReplicaController::updateJoining(ReplicaPlan &plan, const ServerMap &servers, TimePoint now)
{
    const auto *model = config_->findModel(plan.service, plan.model);
    bool isReady = true;
    bool isLoading = false;
    for (auto &member : plan.members) {
        const auto *server = findServer(servers, member);
        if (server == nullptr || server->isLeaving || server->isRegistrationLapsed || (member.isSeen && !reports(*server, plan))) {
            abandonPlan(plan, now, "a member was lost before the replica served");
            return;
        }
        const bool hasJoined = reports(*server, plan);
        isReady = isReady && hasJoined && server->membership->state == MembershipState::Ready;
        isLoading = isLoading || member.loadsFromStore;
        if (!hasJoined && now - member.lastOrderAt >= settings_.orderRetryInterval) {
            queueJoin(plan, member, now);
        }
    }
    if (isReady) {
        enterPhase(plan, PlanPhase::Opening, now, "all members are ready");
        queueOrder(OrderKind::Open, plan, plan.head(), now);
        plan.lastOrderAt = now;
        return;
    }
    const Duration usual = model == nullptr ? Duration{} : isLoading ? 4 * model->loadTime : model->stagedLoadTime;
    if (now - plan.phaseSince > usual + settings_.joinMargin) {
        abandonPlan(plan, now, "members did not become ready in time");
    }
}

void ReplicaController::updateOpening(ReplicaPlan &plan, const ServerMap &servers, TimePoint now)
{
    if (!checkMembers(plan, servers, now)) {
        return;
    }
    const auto *head = findServer(servers, plan.head());
    if (head->membership && head->membership->state == MembershipState::Open) {
        enterPhase(plan, PlanPhase::Serving, now, "the head is open");
        return;
    }
    if (now - plan.lastOrderAt >= settings_.orderRetryInterval) {
        queueOrder(OrderKind::Open, plan, plan.head(), now);
        plan.lastOrderAt = now;
    }
}

void ReplicaController::updateServing(ReplicaPlan &plan, const ServerMap &servers, TimePoint now)
{
    if (!checkMembers(plan, servers, now)) {
        return;
    }
    if (findServer(servers, plan.head())->membership->state == MembershipState::Broken) {
        enterPhase(plan, PlanPhase::Retired, now, "the head reports that the replica is broken");
    }
}

void ReplicaController::updateDraining(ReplicaPlan &plan, const ServerMap &servers, TimePoint now)
{
    const auto *head = findServer(servers, plan.head());
    if (isHeadStopped(plan, servers)) {
        enterPhase(plan, PlanPhase::Retired, now, "the head is out of the replica");
        return;
    }
    if (head != nullptr && reports(*head, plan) && head->membership->state == MembershipState::Ready) {
        enterPhase(plan, PlanPhase::Ending, now, "the head has closed");
        updateEnding(plan, servers, now);
        return;
    }
    const bool isAnyGone =
        std::any_of(plan.members.begin(), plan.members.end(), [&](const PlannedMember &member) { return findServer(servers, member) == nullptr; });
    if (isAnyGone || now - plan.phaseSince > (plan.isMoving ? settings_.moveDrainTime : settings_.drainTime)) {
        enterPhase(plan, PlanPhase::Ending, now, isAnyGone ? "a member is gone" : "requests did not end in time");
        return;
    }
    if (now - plan.lastOrderAt >= settings_.orderRetryInterval) {
        queueOrder(OrderKind::Close, plan, plan.head(), now);
        plan.lastOrderAt = now;
    }
}

void ReplicaController::updateEnding(ReplicaPlan &plan, const ServerMap &servers, TimePoint now)
{
    if (isHeadStopped(plan, servers)) {
        enterPhase(plan, PlanPhase::Retired, now, "the head is out of the replica");
        return;
    }
    if (plan.memberLeftAt && now - *plan.memberLeftAt > settings_.stallTime + settings_.stallMargin) {
        enterPhase(plan, PlanPhase::Retired, now, "the head has stalled since a member left");
        return;
    }
    if (isCompleteAgain(plan, servers)) {
        enterPhase(plan, PlanPhase::Serving, now, "all members are registered again");
        return;
    }
    if (isUnregisteredTooLong(plan, servers, now)) {
        plan.members.clear();
        return;
    }
    if (now < plan.reregistrationDeadline || now - plan.lastOrderAt < settings_.orderRetryInterval) {
        return;
    }
    const bool isRepeat = plan.lastOrderAt != TimePoint{};
    plan.lastOrderAt = now;
    if (plan.head().address.isValid()) {
        queueOrder(OrderKind::Leave, plan, plan.head(), now);
    }
    // A head that is not registered or does not answer may still serve. It breaks when it loses a member, so the members are
    // ordered to leave.
    const bool isHeadRegistered = findServer(servers, plan.head()) != nullptr;
    if ((isRepeat || !isHeadRegistered) && !plan.memberLeftAt) {
        for (std::size_t rank = 1; rank < plan.members.size(); ++rank) {
            if (findServer(servers, plan.members[rank]) != nullptr) {
                queueOrder(OrderKind::Leave, plan, plan.members[rank], now);
            }
        }
    }
}

void ReplicaController::updateRetired(ReplicaPlan &plan, const ServerMap &servers, TimePoint now)
{
    bool isReported = false;
    for (auto &member : plan.members) {
        const auto found = servers.find(member.id);
        if (found == servers.end() || !reports(found->second, plan)) {
            continue;
        }
        isReported = true;
        // Members must leave, since the next holder of the lease cannot tell a leftover member from one whose head may still serve.
        const bool isDue = now - plan.phaseSince >= settings_.releaseDelay && now - member.lastOrderAt >= settings_.orderRetryInterval;
        if (isDue && !assigned_.contains(member.id)) {
            queueOrder(OrderKind::Leave, plan, member, now);
        }
    }
    // A delayed order of this plan may still make a member report it, so the plan is kept for a while.
    if (!isReported && now - plan.phaseSince > settings_.stallTime) {
        plan.members.clear();
    }
}

/// Whether no member has been registered for longer than the timeout. The plan is then dropped although its head may still serve:
/// if its servers register again, for example after a network partition of their zone, the replica is adopted from their reports.
bool ReplicaController::isUnregisteredTooLong(ReplicaPlan &plan, const ServerMap &servers, TimePoint now) const
{
    const bool isRegistered =
        std::any_of(plan.members.begin(), plan.members.end(), [&](const PlannedMember &member) { return findServer(servers, member) != nullptr; });
    if (isRegistered || plan.lastRegisteredAt == TimePoint{}) {
        plan.lastRegisteredAt = now;
    }
    return now - plan.lastRegisteredAt > settings_.unregisteredPlanTimeout;
}

/// Whether the reports prove that the head cannot serve under the epoch of @p plan any more.
bool ReplicaController::isHeadStopped(const ReplicaPlan &plan, const ServerMap &servers) const
{
    const auto &head = plan.members.front();
    const auto found = servers.find(head.id);
    if (head.id.isEmpty() || found == servers.end()) {
        return false;
    }
    // After a network partition a registration may be older than the server's state, so only reports that are certainly newer than the
    // plan count: a restart, a higher epoch, or the Broken state of this epoch.
    const auto &server = found->second;
    if (server.startedAt > head.startedAt) {
        return true;
    }
    if (!server.membership) {
        return false;
    }
    return server.membership->epoch > plan.epoch || (reports(server, plan) && server.membership->state == MembershipState::Broken);
}

/// Ends a replica that this holder of the lease has not ordered to open. A former holder may have done so, so the head of an adopted
/// replica has to leave first.
void ReplicaController::abandonPlan(ReplicaPlan &plan, TimePoint now, std::string_view reason)
{
    enterPhase(plan, plan.isAdopted ? PlanPhase::Ending : PlanPhase::Retired, now, reason);
}

void ReplicaController::enterPhase(ReplicaPlan &plan, PlanPhase phase, TimePoint now, std::string_view reason)
{
    plan.phase = phase;
    plan.phaseSince = now;
    plan.lastOrderAt = {};
    planChanges_.push_back({plan.id, phase, reason});
}

void ReplicaController::queueJoin(ReplicaPlan &plan, PlannedMember &member, TimePoint now)
{
    queueOrder(OrderKind::Join, plan, member, now);
    orders_.back().model = plan.model;
    for (const auto &other : plan.members) {
        orders_.back().members.push_back(other.id);
    }
}

void ReplicaController::queueOrder(OrderKind kind, const ReplicaPlan &plan, PlannedMember &member, TimePoint now)
{
    member.lastOrderAt = now;
    orders_.push_back({kind, member.id, member.address, plan.id, plan.epoch, ModelId(), {}, term_});
}

void ReplicaController::recordOutcome(const ReplicaOrder &order, OrderOutcome outcome, TimePoint now)
{
    const auto found = plans_.find(order.replica);
    if (found == plans_.end() || found->second.epoch != order.epoch || found->second.members.empty()) {
        return;
    }
    auto &plan = found->second;
    const bool isHead = plan.head().id == order.server;
    // A refused connection does not prove that the server has ended: a network partition between zones may reset connections to a
    // running server.
    // A stale order was refused for its term, which says nothing about the server's replica.
    const bool hasLeft = outcome == OrderOutcome::Done || outcome == OrderOutcome::Refused || outcome == OrderOutcome::WrongServer;
    if (order.kind == OrderKind::Leave && plan.phase == PlanPhase::Ending && hasLeft) {
        if (isHead) {
            enterPhase(plan, PlanPhase::Retired, now, outcome == OrderOutcome::Done ? "the head has left" : "the head is not in the replica");
        } else if (!plan.memberLeftAt) {
            plan.memberLeftAt = now;
        }
        return;
    }
    const bool isRefused = outcome == OrderOutcome::Stale || outcome == OrderOutcome::WrongServer || outcome == OrderOutcome::ConnectionRefused;
    if (order.kind == OrderKind::Join && plan.phase == PlanPhase::Joining && isRefused) {
        abandonPlan(plan, now, "a member refused to join");
        return;
    }
}

std::vector<PlanChange> ReplicaController::takePlanChanges()
{
    return std::exchange(planChanges_, {});
}

}
