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
    // Whether a member that still joins loads from the weight store is not known, so it is given the time for that.
    return {.id = server.id,
            .address = server.address,
            .startedAt = server.startedAt,
            .isCold = server.membership->state == MembershipState::Joining,
            .isSeen = true,
            .orderedAt = now};
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

void ReplicaController::beginTerm(std::uint64_t term, TimePoint now)
{
    termBegunAt_ = now;
    listedSince_.clear();
    term_ = term;
    serial_ = 0;
    plans_.clear();
    stagings_.clear();
}

void ReplicaController::noteSilent(const VmId &server, std::uint64_t startedAt, TimePoint now)
{
    silent_[server] = {startedAt, now + settings_.silenceMemory};
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

ServerMap ReplicaController::withoutSilent(const ServerMap &servers, TimePoint now)
{
    std::erase_if(silent_, [&](const auto &entry) {
        const auto server = servers.find(entry.first);
        return now >= entry.second.until || server == servers.end() || server->second.startedAt != entry.second.serverStartedAt;
    });
    auto remaining = servers;
    for (const auto &[id, silence] : silent_) {
        remaining.erase(id);
    }
    return remaining;
}

std::vector<ReplicaOrder> ReplicaController::decide(const ServerMap &listed, TimePoint now)
{
    orders_.clear();
    if (!config_) {
        return {};
    }
    const auto servers = withoutSilent(listed, now);
    noteListed(servers, now);
    noteModels(servers);
    adoptUnknown(servers, now);
    bound_ = boundServers();
    for (auto &[id, plan] : plans_) {
        update(plan, servers, now);
    }
    std::erase_if(plans_, [](const auto &entry) { return entry.second.members.empty(); });
    endStagings(servers, now);
    if (mayCompose(servers, now)) {
        composeAll(servers, now);
    }
    return std::move(orders_);
}

void ReplicaController::noteListed(const ServerMap &servers, TimePoint now)
{
    const bool isFirst = listedSince_.empty();
    std::erase_if(listedSince_, [&servers](const auto &entry) { return !servers.contains(entry.first); });
    for (const auto &[id, server] : servers) {
        listedSince_.emplace(id, isFirst ? termBegunAt_ : now);
    }
}

void ReplicaController::noteModels(const ServerMap &servers)
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

void ReplicaController::adoptUnknown(const ServerMap &servers, TimePoint now)
{
    for (const auto &view : groupByReplica(servers)) {
        if (plans_.contains(view.id)) {
            continue;
        }
        auto plan = planOf(view, now);
        notes_.push_back({plan.id, plan.phase, "reported by servers"});
        plans_.emplace(view.id, std::move(plan));
    }
}

ReplicaPlan ReplicaController::planOf(const ReplicaMembers &view, TimePoint now) const
{
    ReplicaPlan plan{.id = view.id, .epoch = view.epoch, .service = view.service, .domain = view.domain, .model = view.model};
    plan.phaseSince = now;
    const auto service = config_->services.find(view.service);
    const auto *model = service == config_->services.end() || !service->second.engine ? nullptr : service->second.engine->findModel(view.model);
    const unsigned last = view.members.rbegin()->first;
    plan.members.resize(std::max(model == nullptr ? 1 : model->size, last + 1));
    for (const auto &[rank, server] : view.members) {
        plan.members[rank] = reportedMember(*server, now);
    }
    const auto *head = view.head();
    const bool isComplete = model != nullptr && view.members.size() == model->size;
    plan.isAdopted = true;
    plan.phase = PlanPhase::Ending;
    if (isComplete && head != nullptr) {
        plan.phase = adoptedPhase(head->membership->state);
    }
    plan.graceUntil = now + settings_.returnTime;
    return plan;
}

/// Members that were not listed when the plan was made take their ranks.
void ReplicaController::addReportedMembers(ReplicaPlan &plan, const ServerMap &servers, TimePoint now) const
{
    const bool isComplete = std::none_of(plan.members.begin(), plan.members.end(), [](const PlannedMember &member) { return member.id.isEmpty(); });
    if (isComplete) {
        return;
    }
    for (const auto &[id, server] : servers) {
        if (!reports(server, plan) || server.membership->rank >= plan.members.size()) {
            continue;
        }
        auto &member = plan.members[server.membership->rank];
        if (member.id.isEmpty()) {
            member = reportedMember(server, now);
        }
    }
}

bool ReplicaController::isWholeAgain(const ReplicaPlan &plan, const ServerMap &servers) const
{
    const bool isServing = std::all_of(plan.members.begin(), plan.members.end(), [&](const PlannedMember &member) {
        const auto *server = findServer(servers, member);
        return server != nullptr && !server->isLeaving && reports(*server, plan);
    });
    return isServing && !plan.memberLeftAt && findServer(servers, plan.members.front())->membership->state == MembershipState::Open;
}

void ReplicaController::update(ReplicaPlan &plan, const ServerMap &servers, TimePoint now)
{
    using Handler = void (ReplicaController::*)(ReplicaPlan &, const ServerMap &, TimePoint);
    // In the order of PlanPhase.
    static constexpr std::array<Handler, 6> Handlers{&ReplicaController::updateJoining,  &ReplicaController::updateOpening, &ReplicaController::updateServing,
                                                     &ReplicaController::updateDraining, &ReplicaController::updateEnding,  &ReplicaController::updateRetired};
    addReportedMembers(plan, servers, now);
    for (auto &member : plan.members) {
        const auto *server = findServer(servers, member);
        member.isSeen = member.isSeen || (server != nullptr && reports(*server, plan));
    }
    (this->*Handlers.at(static_cast<std::size_t>(plan.phase)))(plan, servers, now);
}

/// Whether all members are still there; otherwise the plan enters the phase that ends it.
bool ReplicaController::checkMembers(ReplicaPlan &plan, const ServerMap &servers, TimePoint now)
{
    bool isLeaving = false;
    for (const auto &member : plan.members) {
        const auto *server = findServer(servers, member);
        if (server == nullptr || (member.isSeen && !reports(*server, plan))) {
            enter(plan, PlanPhase::Ending, now, server == nullptr ? "a member is gone" : "a member left the replica");
            return false;
        }
        isLeaving = isLeaving || server->isLeaving;
    }
    if (isLeaving) {
        enter(plan, PlanPhase::Draining, now, "a member is leaving");
    }
    return !isLeaving;
}

void ReplicaController::updateJoining(ReplicaPlan &plan, const ServerMap &servers, TimePoint now)
{
    const auto *model = config_->services.at(plan.service).engine->findModel(plan.model);
    bool isReady = true;
    bool isLoading = false;
    for (auto &member : plan.members) {
        const auto *server = findServer(servers, member);
        if (server == nullptr || server->isLeaving || server->isUnlisted || (member.isSeen && !reports(*server, plan))) {
            abandon(plan, now, "a member was lost before the replica served");
            return;
        }
        const bool hasJoined = reports(*server, plan);
        isReady = isReady && hasJoined && server->membership->state == MembershipState::Ready;
        isLoading = isLoading || member.isCold;
        if (!hasJoined && now - member.orderedAt >= settings_.reorderInterval) {
            orderJoin(plan, member, now);
        }
    }
    if (isReady) {
        enter(plan, PlanPhase::Opening, now, "all members are ready");
        order(OrderKind::Open, plan, plan.head(), now);
        plan.orderedAt = now;
        return;
    }
    const Duration usual = model == nullptr ? Duration{} : isLoading ? 4 * model->loadTime : model->stagedLoadTime;
    if (now - plan.phaseSince > usual + settings_.joinSlack) {
        abandon(plan, now, "members did not become ready in time");
    }
}

void ReplicaController::updateOpening(ReplicaPlan &plan, const ServerMap &servers, TimePoint now)
{
    if (!checkMembers(plan, servers, now)) {
        return;
    }
    const auto *head = findServer(servers, plan.head());
    if (head->membership && head->membership->state == MembershipState::Open) {
        enter(plan, PlanPhase::Serving, now, "the head is open");
        return;
    }
    if (now - plan.orderedAt >= settings_.reorderInterval) {
        order(OrderKind::Open, plan, plan.head(), now);
        plan.orderedAt = now;
    }
}

void ReplicaController::updateServing(ReplicaPlan &plan, const ServerMap &servers, TimePoint now)
{
    if (!checkMembers(plan, servers, now)) {
        return;
    }
    if (findServer(servers, plan.head())->membership->state == MembershipState::Broken) {
        enter(plan, PlanPhase::Retired, now, "the head reports that the replica is broken");
    }
}

void ReplicaController::updateDraining(ReplicaPlan &plan, const ServerMap &servers, TimePoint now)
{
    const auto *head = findServer(servers, plan.head());
    if (isHeadInert(plan, servers)) {
        enter(plan, PlanPhase::Retired, now, "the head is out of the replica");
        return;
    }
    if (head != nullptr && reports(*head, plan) && head->membership->state == MembershipState::Ready) {
        enter(plan, PlanPhase::Ending, now, "the head has closed");
        updateEnding(plan, servers, now);
        return;
    }
    const bool isAnyGone =
        std::any_of(plan.members.begin(), plan.members.end(), [&](const PlannedMember &member) { return findServer(servers, member) == nullptr; });
    if (isAnyGone || now - plan.phaseSince > settings_.drainTime) {
        enter(plan, PlanPhase::Ending, now, isAnyGone ? "a member is gone" : "requests did not end in time");
        return;
    }
    if (now - plan.orderedAt >= settings_.reorderInterval) {
        order(OrderKind::Close, plan, plan.head(), now);
        plan.orderedAt = now;
    }
}

void ReplicaController::updateEnding(ReplicaPlan &plan, const ServerMap &servers, TimePoint now)
{
    if (isHeadInert(plan, servers)) {
        enter(plan, PlanPhase::Retired, now, "the head is out of the replica");
        return;
    }
    if (plan.memberLeftAt && now - *plan.memberLeftAt > settings_.stallTime + settings_.stallSlack) {
        enter(plan, PlanPhase::Retired, now, "the head has stalled since a member left");
        return;
    }
    if (isWholeAgain(plan, servers)) {
        enter(plan, PlanPhase::Serving, now, "all members are listed again");
        return;
    }
    if (isForgotten(plan, servers, now)) {
        plan.members.clear();
        return;
    }
    if (now < plan.graceUntil || now - plan.orderedAt < settings_.reorderInterval) {
        return;
    }
    const bool isRepeat = plan.orderedAt != TimePoint{};
    plan.orderedAt = now;
    if (plan.head().address.isValid()) {
        order(OrderKind::Leave, plan, plan.head(), now);
    }
    // A head that is not listed or does not answer may still serve. Without one of its members it breaks, so they are told to
    // leave.
    const bool isHeadListed = findServer(servers, plan.head()) != nullptr;
    if ((isRepeat || !isHeadListed) && !plan.memberLeftAt) {
        for (std::size_t rank = 1; rank < plan.members.size(); ++rank) {
            if (findServer(servers, plan.members[rank]) != nullptr) {
                order(OrderKind::Leave, plan, plan.members[rank], now);
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
        // The next holder of the lease cannot tell a member that was left over from one whose head may serve.
        const bool isDue = now - plan.phaseSince >= settings_.releaseDelay && now - member.orderedAt >= settings_.reorderInterval;
        if (isDue && !bound_.contains(member.id)) {
            order(OrderKind::Leave, plan, member, now);
        }
    }
    // An order of this plan may still be on its way, so that a member reports it later.
    if (!isReported && now - plan.phaseSince > settings_.stallTime) {
        plan.members.clear();
    }
}

/// Whether no member has been listed for long. The plan ends without a verdict on its head: servers that come back with it, as
/// after a cut of their zone, are taken up anew as they report it.
bool ReplicaController::isForgotten(ReplicaPlan &plan, const ServerMap &servers, TimePoint now) const
{
    const bool isListed =
        std::any_of(plan.members.begin(), plan.members.end(), [&](const PlannedMember &member) { return findServer(servers, member) != nullptr; });
    if (isListed || plan.listedAt == TimePoint{}) {
        plan.listedAt = now;
    }
    return now - plan.listedAt > settings_.forgetTime;
}

bool ReplicaController::isHeadInert(const ReplicaPlan &plan, const ServerMap &servers) const
{
    const auto &head = plan.members.front();
    const auto found = servers.find(head.id);
    if (head.id.isEmpty() || found == servers.end()) {
        return false;
    }
    // After a cut a registration may be older than what its server did meanwhile, so that only what comes later than the plan
    // counts: a new start, a higher epoch, or the end of this one.
    const auto &server = found->second;
    if (server.startedAt > head.startedAt) {
        return true;
    }
    if (!server.membership) {
        return false;
    }
    return server.membership->epoch > plan.epoch || (reports(server, plan) && server.membership->state == MembershipState::Broken);
}

/// Ends a replica that this holder of the lease has not told to open. A former holder may have, so the head of an adopted one has to
/// leave first.
void ReplicaController::abandon(ReplicaPlan &plan, TimePoint now, std::string_view reason)
{
    enter(plan, plan.isAdopted ? PlanPhase::Ending : PlanPhase::Retired, now, reason);
}

void ReplicaController::enter(ReplicaPlan &plan, PlanPhase phase, TimePoint now, std::string_view reason)
{
    plan.phase = phase;
    plan.phaseSince = now;
    plan.orderedAt = {};
    notes_.push_back({plan.id, phase, reason});
}

void ReplicaController::orderJoin(ReplicaPlan &plan, PlannedMember &member, TimePoint now)
{
    order(OrderKind::Join, plan, member, now);
    orders_.back().model = plan.model;
    for (const auto &other : plan.members) {
        orders_.back().members.push_back(other.id);
    }
}

void ReplicaController::order(OrderKind kind, const ReplicaPlan &plan, PlannedMember &member, TimePoint now)
{
    member.orderedAt = now;
    orders_.push_back({kind, member.id, member.address, plan.id, plan.epoch, ModelId(), {}});
}

void ReplicaController::noteOutcome(const ReplicaOrder &order, OrderOutcome outcome, TimePoint now)
{
    const auto found = plans_.find(order.replica);
    if (found == plans_.end() || found->second.epoch != order.epoch || found->second.members.empty()) {
        return;
    }
    auto &plan = found->second;
    const bool isHead = plan.head().id == order.server;
    // A refused connection proves nothing: a cut between zones may reset connections to a server that lives.
    const bool isOut =
        outcome == OrderOutcome::Done || outcome == OrderOutcome::Refused || outcome == OrderOutcome::Stale || outcome == OrderOutcome::WrongServer;
    if (order.kind == OrderKind::Leave && plan.phase == PlanPhase::Ending && isOut) {
        if (isHead) {
            enter(plan, PlanPhase::Retired, now, outcome == OrderOutcome::Done ? "the head has left" : "the head is not in the replica");
        } else if (!plan.memberLeftAt) {
            plan.memberLeftAt = now;
        }
        return;
    }
    const bool isRefused = outcome == OrderOutcome::Stale || outcome == OrderOutcome::WrongServer || outcome == OrderOutcome::ConnectionRefused;
    if (order.kind == OrderKind::Join && plan.phase == PlanPhase::Joining && isRefused) {
        abandon(plan, now, "a member refused to join");
        return;
    }
}

std::vector<PlanNote> ReplicaController::takeNotes()
{
    return std::exchange(notes_, {});
}

}
