#include "assignment/domain_controller.h"

#include "core/result_code.h"
#include "observe/log.h"

#include <algorithm>

namespace carawaypoint
{
namespace
{

constexpr std::string_view Kind = "domain";
constexpr Duration RetryPeriod = seconds(1); // between reads, and between questions to one former controller
// An isolated holder gives incarnations to replicas without recording them. It skips those that a write of its own with a
// lost answer may have used, and its successor skips both, so that no incarnation is given twice. A domain of 16 VMs uses
// at most some tens in one write.
constexpr std::uint64_t IncarnationsOfLostWrite = 512;
constexpr std::uint64_t IncarnationsOfIsolatedHolder = 1024;

void logDecisions(const DomainRecord &record, const std::vector<Decision> &decisions)
{
    for (const auto &decision : decisions) {
        const auto &vmOrDaemon = decision.vm.isEmpty() ? decision.controller.daemon.str() : decision.vm.str();
        const auto &subject = decision.replica.isEmpty() ? vmOrDaemon : decision.replica.str();
        std::string members;
        for (const auto &member : decision.members) {
            members += (members.empty() ? "" : " ") + member.str();
        }
        logDecision(
            "placement", subject, decisionKindName(decision.kind), decision.reason,
            {{"domain", record.key.objectName()}, {"epoch", record.epoch}, {"vm", decision.vm.str()}, {"other", decision.other.str()}, {"members", members}});
    }
}

}

DomainController::DomainController(DomainKey key, ControllerRef self, ControllerPorts ports, std::shared_ptr<const ZoneView> zone, RecordCallback onRecord)
    : key_(std::move(key))
    , self_(std::move(self))
    , ports_(ports)
    , zone_(std::move(zone))
    , onRecord_(std::move(onRecord))
    , lease_(zone_->settings.leaseDuration, zone_->settings.leaseMargin)
    , orders_(zone_->settings.maxOrderLifetime)
{
}

void DomainController::tick(Duration contendDelay, bool mayContend)
{
    lease_.checkTime(now());
    orders_.expire(now());
    noteDraining();
    if (lease_.state() == LeaseState::Follower) {
        if (mayContend) {
            contend(contendDelay);
        }
        return;
    }
    if (lease_.mustRead()) {
        if (lease_.mayUseSpares()) {
            decideIsolated();
            sendOrders();
        }
        readBack();
        return;
    }
    if (lease_.mayAct(now())) {
        askFormerControllers();
        sendOrders();
    }
    decideAndWrite();
}

void DomainController::applyRecord(const DomainRecord &record, std::uint64_t version)
{
    // A holder learns of other writers by its own calls, which tell it also what became of its writes.
    if (lease_.state() != LeaseState::Follower || record.key != key_) {
        return;
    }
    if (!known_ || record.isNewerThan(known_->record)) {
        remember(record, version);
    }
}

void DomainController::remember(DomainRecord record, std::uint64_t version)
{
    known_ = KnownRecord{std::move(record), version, now()};
    if (onRecord_) {
        onRecord_(*known_);
    }
}

void DomainController::handlePause()
{
    ++callGeneration_;
    isCallUnderWay_ = false;
    lease_.handle(LeaseEvent::Paused, now());
    if (known_) {
        known_->seenAt = now(); // the time that passed unnoticed says nothing about the lease
    }
    confirmed_.clear();
    endedSince_.clear();
    drainingSince_.clear();
    surplusSince_.clear();
}

std::string DomainController::nextToken()
{
    return self_.daemon.str() + "/" + std::to_string(self_.process) + "/" + std::to_string(++tokenCount_);
}

void DomainController::contend(Duration delay)
{
    if (isCallUnderWay_ || now() < nextReadAt_) {
        return;
    }
    const bool hasHolder = known_ && known_->record.holder;
    if (known_ && now() - known_->seenAt < delay + (hasHolder ? zone_->settings.leaseDuration : Duration{})) {
        return;
    }
    isCallUnderWay_ = true;
    nextReadAt_ = now() + RetryPeriod;
    const auto version = known_ ? std::optional(known_->version) : std::nullopt;
    ports_.store->fetch(Kind, key_.objectName(),
                        [self = shared_from_this(), call = callGeneration_, version](std::error_code error, const StoredObject &object) {
                            if (call == self->callGeneration_) {
                                self->isCallUnderWay_ = false;
                                self->handleContention(error, object, version);
                            }
                        });
}

void DomainController::handleContention(std::error_code error, const StoredObject &object, std::optional<std::uint64_t> version)
{
    const bool isAbsent = error == ResultCode::ObjectNotFound;
    if (known_ && ((error && !isAbsent) || std::exchange(wasUnreachable_, false))) {
        // While the platform was out of reach the holder could not renew either. It gets the whole time again, so that a
        // return of the platform does not hand every domain to another daemon.
        known_->seenAt = now();
        wasUnreachable_ = error && !isAbsent;
        return;
    }
    if (isAbsent) {
        KnownRecord absent;
        absent.record.key = key_;
        // The record that a restored store no longer has is written back from the known one.
        claim(known_ ? KnownRecord{known_->record, 0, now()} : absent);
        return;
    }
    if (error) {
        return;
    }
    auto record = decodeDomainRecord(object.value);
    if (!record || record->key != key_) {
        logLine(LogLevel::Error, "domain record is malformed and is left alone", {{"object", object.name}, {"version", object.version}});
        return;
    }
    if (known_ && (version == object.version || known_->record.isNewerThan(*record))) {
        // The holder did not write since this process saw the version, or the platform went back to an older copy.
        claim({known_->record, object.version, now()});
        return;
    }
    remember(std::move(*record), object.version);
}

void DomainController::claim(const KnownRecord &stored)
{
    auto next = stored.record;
    if (next.holder) {
        next.unconfirmed.push_back(*next.holder);
        next.lastIncarnation += IncarnationsOfIsolatedHolder;
    }
    for (const auto &vm : next.vms) {
        // An engine that has a higher epoch was ordered by a controller whose record the platform has lost.
        if (const auto seen = zone_->observations.find(vm.id); seen != zone_->observations.end()) {
            next.epoch = std::max(next.epoch, seen->second.state.fence.epoch);
        }
    }
    ++next.epoch;
    for (auto &vm : next.vms) {
        if (vm.phase == VmPhase::Releasing) {
            vm.releaseFence = {next.epoch, ++next.lastIncarnation}; // above every order of the former holder
        }
    }
    next.holder = self_;
    next.holder->epoch = next.epoch;
    known_ = KnownRecord{stored.record, stored.version, now()};
    confirmed_.clear();
    orders_.forgetReleases();
    isolatedDecisions_.clear();
    write(std::move(next), {}, LeaseEvent::ClaimStarted);
}

void DomainController::write(DomainRecord next, std::vector<Decision> decisions, LeaseEvent start, std::function<void(bool)> whenDone)
{
    next.writerToken = nextToken();
    ++next.sequence;
    const auto condition = known_->version == 0 ? WriteCondition::ifAbsent() : WriteCondition::ifVersion(known_->version);
    auto text = encodeDomainRecord(next);
    isCallUnderWay_ = true;
    lastWriteAt_ = now();
    lease_.handle(start, now());
    auto handler = [self = shared_from_this(), call = callGeneration_, next = std::move(next), decisions = std::move(decisions),
                    whenDone = std::move(whenDone)](std::error_code error, std::uint64_t version) mutable {
        if (call == self->callGeneration_) {
            self->isCallUnderWay_ = false;
            self->nextReadAt_ = {};
            const bool isRefused = error == ResultCode::VersionConflict || error == ResultCode::ObjectTooLarge;
            self->lease_.handle(!error ? LeaseEvent::WriteDone : isRefused ? LeaseEvent::WriteRefused : LeaseEvent::WriteLost, self->now());
            if (!error) {
                if (next.unconfirmed != self->known_->record.unconfirmed) {
                    // A former controller's order may have undone a release that was answered before it was confirmed.
                    self->orders_.forgetReleases();
                }
                logDecisions(next, decisions);
                self->recordedSequence_ = next.sequence;
                self->remember(std::move(next), version);
            }
        }
        if (whenDone) {
            whenDone(!error);
        }
    };
    ports_.store->put(Kind, key_.objectName(), std::move(text), condition, std::move(handler));
}

void DomainController::readBack()
{
    if (isCallUnderWay_ || now() < nextReadAt_) {
        return;
    }
    isCallUnderWay_ = true;
    nextReadAt_ = now() + RetryPeriod;
    ports_.store->fetch(Kind, key_.objectName(), [self = shared_from_this(), call = callGeneration_](std::error_code error, const StoredObject &object) {
        if (call == self->callGeneration_) {
            self->isCallUnderWay_ = false;
            self->handleReadBack(error, object);
        }
    });
}

void DomainController::handleReadBack(std::error_code error, const StoredObject &object)
{
    if (error && error != ResultCode::ObjectNotFound) {
        return;
    }
    auto stored = error ? std::optional<DomainRecord>() : decodeDomainRecord(object.value);
    if (!error && (!stored || stored->key != key_)) {
        logLine(LogLevel::Error, "domain record is malformed and is left alone", {{"object", object.name}, {"version", object.version}});
        return;
    }
    const bool isOwn = stored && stored->holder && stored->holder->daemon == self_.daemon && stored->holder->process == self_.process;
    if (isOwn && (lease_.state() == LeaseState::ResolvingAcquire || stored->epoch == known_->record.epoch)) {
        if (stored->epoch == known_->record.epoch && stored->sequence < recordedSequence_) {
            *stored = known_->record; // the platform went back to an older copy of the own record
        }
        adoptOwn(std::move(*stored), object.version);
        return;
    }
    lease_.handle(LeaseEvent::ReadOther, now());
    isolatedDecisions_.clear();
    if (!stored) {
        known_->version = 0;
        return;
    }
    if (known_->record.isNewerThan(*stored)) {
        known_->version = object.version; // an older copy was restored; the next claim starts from the known record
        return;
    }
    remember(std::move(*stored), object.version);
}

void DomainController::adoptOwn(DomainRecord stored, std::uint64_t version)
{
    // The token tells which of the own writes took effect: the stored record is that one, or the one before.
    lease_.handle(LeaseEvent::ReadOwn, now());
    const auto sequence = std::max(stored.sequence, known_->record.sequence);
    // Incarnations given in isolation are not given again.
    const auto incarnation = std::max(stored.lastIncarnation, known_->record.lastIncarnation);
    recordedSequence_ = stored.sequence;
    remember(std::move(stored), version);
    auto next = known_->record;
    next.sequence = sequence;
    next.lastIncarnation = incarnation;
    std::vector<Decision> recorded;
    for (auto &decision : std::exchange(isolatedDecisions_, {})) {
        if (applyDecision(next, decision, zone_->settings)) {
            recorded.push_back(std::move(decision));
        }
    }
    // The lease is counted from a write that was answered, so the holder writes before it acts.
    write(std::move(next), std::move(recorded), LeaseEvent::WriteStarted);
}

RepairView DomainController::repairView() const
{
    RepairView view;
    view.inventory = zone_->inventory;
    view.isInventoryKnown = zone_->isInventoryKnown;
    view.observations = &zone_->observations;
    view.orders = &orders_;
    view.settings = &zone_->settings;
    const auto *strategy = findAssignmentStrategy(zone_->settings.strategy);
    view.strategy = strategy ? strategy : &assignmentStrategies().back();
    const auto take = [this](const auto &parts, auto &target) {
        if (const auto found = parts.find(key_.domain); found != parts.end()) {
            target = found->second;
        }
    };
    take(zone_->plan.create, view.create);
    take(zone_->plan.remove, view.remove);
    take(zone_->plan.update, view.update);
    view.drainedByOperator = zone_->drainedByOperator;
    view.confirmed = confirmed_;
    view.drainingSince = drainingSince_;
    view.surplusSince = surplusSince_;
    view.observedSince = zone_->observedSince;
    view.now = now();
    return view;
}

void DomainController::decideAndWrite()
{
    if (isCallUnderWay_ || lease_.state() != LeaseState::Held) {
        return;
    }
    auto next = known_->record;
    auto decisions = decideRepairs(next, repairView());
    if (!decisions.empty() || now() - lastWriteAt_ >= zone_->settings.renewPeriod) {
        write(std::move(next), std::move(decisions), LeaseEvent::WriteStarted);
    }
}

void DomainController::decideIsolated()
{
    auto next = known_->record;
    if (isolatedDecisions_.empty()) {
        next.lastIncarnation += IncarnationsOfLostWrite;
    }
    auto decisions = decideIsolatedRepairs(next, repairView());
    if (decisions.empty()) {
        return;
    }
    ++next.sequence; // so that peers take it for newer than the recorded copy
    known_->record = std::move(next);
    logDecisions(known_->record, decisions);
    isolatedDecisions_.insert(isolatedDecisions_.end(), decisions.begin(), decisions.end());
    if (onRecord_) {
        onRecord_(*known_);
    }
}

void DomainController::sendOrders()
{
    for (const auto &due : dueOrders(known_->record, zone_->observations, orders_, zone_->plan.admittedLoads, zone_->settings, now())) {
        const bool isRelease = due.order.role == EngineRole::None;
        // An isolated holder orders only members of replicas: a release may have been decided by a record that it does not know.
        if (isRelease && lease_.mayUseSpares()) {
            continue;
        }
        const auto number = orders_.sent(due.vm, due.order.fence, isRelease, now());
        ports_.engines->sendOrder(due.address, due.order, [self = shared_from_this(), vm = due.vm, number](std::error_code error) {
            const bool isLost = error == ResultCode::BackendTimeout || error == ResultCode::BackendBadAnswer;
            self->orders_.answered(vm, number, isLost, !error);
        });
    }
}

void DomainController::askFormerControllers()
{
    for (const auto &former : known_->record.unconfirmed) {
        if (confirmed_.contains(former)) {
            continue;
        }
        if (former.daemon == self_.daemon && former.process == self_.process) {
            if (orders_.isAllSettled()) {
                confirmed_.insert(former);
            }
            continue;
        }
        const auto isListed = [this](const ControllerRef &controller) {
            return std::any_of(zone_->inventory.begin(), zone_->inventory.end(), [&controller](const VmRecord &vm) {
                return vm.id.str() == controller.daemon.str() || vm.address.address == controller.peerAddress.address;
            });
        };
        // A list that does not have this daemon either says nothing about daemons.
        if (zone_->isInventoryKnown && isListed(self_) && !isListed(former)) {
            endedSince_.emplace(former, now());
        }
        if (const auto ended = endedSince_.find(former); ended != endedSince_.end() && now() - ended->second >= zone_->settings.maxOrderLifetime) {
            confirmed_.insert(former);
            continue;
        }
        auto &asked = askedAt_[former];
        if (now() - asked < RetryPeriod) {
            continue;
        }
        asked = now();
        const auto epoch = known_->record.epoch;
        ports_.formerControllers->confirmNoOrdersInFlight(former, key_, epoch,
                                                          [self = shared_from_this(), former, epoch](std::error_code error, FormerControllerReply reply) {
                                                              if (error || !self->known_ || self->known_->record.epoch != epoch) {
                                                                  return;
                                                              }
                                                              if (reply == FormerControllerReply::NoOrdersInFlight) {
                                                                  self->confirmed_.insert(former);
                                                              } else if (reply == FormerControllerReply::ProcessEnded) {
                                                                  self->endedSince_.emplace(former, self->now());
                                                              }
                                                          });
    }
}

void DomainController::noteDraining()
{
    const auto update = [this](std::map<ReplicaId, TimePoint> &since, const auto &holds) {
        std::erase_if(since, [&](const auto &entry) { return !holds(entry.first); });
        for (const auto &replica : known_->record.replicas) {
            if (holds(replica.id)) {
                since.emplace(replica.id, now());
            }
        }
    };
    if (!known_) {
        return;
    }
    update(drainingSince_, [this](const ReplicaId &id) {
        const auto *replica = known_->record.replica(id);
        return replica && replica->isDraining;
    });
    const auto removals = zone_->plan.remove.find(key_.domain);
    update(surplusSince_, [&](const ReplicaId &id) { return removals != zone_->plan.remove.end() && removals->second.contains(id); });
}

void DomainController::giveBack(std::function<void()> handler)
{
    const bool isQuiet = lease_.state() == LeaseState::Held && lease_.mayAct(now()) && !isCallUnderWay_;
    if (!isQuiet || !orders_.isAllSettled()) {
        handler();
        return;
    }
    auto next = known_->record;
    next.holder.reset();
    write(std::move(next), {}, LeaseEvent::GiveBackStarted, [handler = std::move(handler)](bool) { handler(); });
}

FormerControllerReply DomainController::answerConfirmation(std::uint64_t presentEpoch, std::uint64_t process)
{
    if (process != self_.process) {
        return FormerControllerReply::ProcessEnded;
    }
    if (known_ && lease_.isHolder() && known_->record.epoch < presentEpoch) {
        lease_.handle(LeaseEvent::Paused, now());
        lease_.handle(LeaseEvent::ReadOther, now());
        isolatedDecisions_.clear();
    }
    orders_.expire(now());
    return orders_.isAllSettled() ? FormerControllerReply::NoOrdersInFlight : FormerControllerReply::OrdersInFlight;
}

}
