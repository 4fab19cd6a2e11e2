#include "assignment/domain_controller.h"

#include "core/result_code.h"
#include "observe/log.h"

#include <algorithm>

namespace carawaypoint
{
namespace
{

constexpr std::string_view Kind = "domain";
constexpr Duration RetryInterval = seconds(1); // between reads of the record, and between requests to one former controller
// An isolated holder assigns incarnations to replicas without storing them. It skips the range that a write of its own with
// a lost answer may have used, and its successor skips both ranges, so that no incarnation is assigned twice. One write for a
// domain of 16 VMs uses at most some tens.
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

DomainController::DomainController(DomainKey key, ControllerRef self, ControllerPorts ports, std::shared_ptr<const ZoneState> zone, RecordCallback onRecord)
    : key_(std::move(key))
    , self_(std::move(self))
    , ports_(ports)
    , zone_(std::move(zone))
    , onRecord_(std::move(onRecord))
    , lease_(zone_->settings.leaseDuration, zone_->settings.leaseMargin)
    , orders_(zone_->settings.maxOrderLifetime)
{
}

void DomainController::tick(Duration contentionDelay, bool mayContend)
{
    lease_.checkExpiry(now());
    orders_.expireOrders(now());
    trackDrainingAndSurplus();
    if (lease_.state() == LeaseState::Follower) {
        if (mayContend) {
            contendForLease(contentionDelay);
        }
        return;
    }
    if (lease_.mustRead()) {
        if (lease_.mayUseSpares()) {
            decideIsolated();
            sendOrders();
        }
        readBackRecord();
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
    // A holder detects other writers by the results of its own store calls, which also show whether its writes took effect.
    if (lease_.state() != LeaseState::Follower || record.key != key_) {
        return;
    }
    if (!known_ || record.isNewerThan(known_->record)) {
        setKnownRecord(record, version);
    }
}

void DomainController::setKnownRecord(DomainRecord record, std::uint64_t version)
{
    known_ = KnownRecord{std::move(record), version, now()};
    if (onRecord_) {
        onRecord_(*known_);
    }
}

void DomainController::handlePause()
{
    ++callGeneration_;
    isStoreCallUnderWay_ = false;
    lease_.handle(LeaseEvent::Paused, now());
    if (known_) {
        known_->seenAt = now(); // the holder may have renewed the lease during the pause
    }
    confirmedControllers_.clear();
    processEndedSince_.clear();
    drainingSince_.clear();
    surplusSince_.clear();
}

std::string DomainController::nextToken()
{
    return self_.daemon.str() + "/" + std::to_string(self_.process) + "/" + std::to_string(++tokenCount_);
}

void DomainController::contendForLease(Duration delay)
{
    if (isStoreCallUnderWay_ || now() < nextReadAt_) {
        return;
    }
    const bool hasHolder = known_ && known_->record.holder;
    if (known_ && now() - known_->seenAt < delay + (hasHolder ? zone_->settings.leaseDuration : Duration{})) {
        return;
    }
    isStoreCallUnderWay_ = true;
    nextReadAt_ = now() + RetryInterval;
    const auto version = known_ ? std::optional(known_->version) : std::nullopt;
    ports_.store->fetch(Kind, key_.objectName(),
                        [self = shared_from_this(), call = callGeneration_, version](std::error_code error, const StoredObject &object) {
                            if (call == self->callGeneration_) {
                                self->isStoreCallUnderWay_ = false;
                                self->handleContentionRead(error, object, version);
                            }
                        });
}

void DomainController::handleContentionRead(std::error_code error, const StoredObject &object, std::optional<std::uint64_t> version)
{
    const bool isAbsent = error == ResultCode::ObjectNotFound;
    if (known_ && ((error && !isAbsent) || std::exchange(wasStoreUnreachable_, false))) {
        // While the platform was unreachable, the holder could not renew its lease either. The lease time starts again, so
        // that the holders keep their domains when the platform becomes reachable again.
        known_->seenAt = now();
        wasStoreUnreachable_ = error && !isAbsent;
        return;
    }
    if (isAbsent) {
        KnownRecord absent;
        absent.record.key = key_;
        // When a restored store no longer has the record, the known record is written again.
        claimLease(known_ ? KnownRecord{known_->record, 0, now()} : absent);
        return;
    }
    if (error) {
        return;
    }
    auto record = decodeDomainRecord(object.value);
    if (!record || record->key != key_) {
        logLine(LogLevel::Error, "domain record is malformed and will not be overwritten", {{"object", object.name}, {"version", object.version}});
        return;
    }
    if (known_ && (version == object.version || known_->record.isNewerThan(*record))) {
        // The holder has not written since this process received the known version, or the store was restored from an older copy.
        claimLease({known_->record, object.version, now()});
        return;
    }
    setKnownRecord(std::move(*record), object.version);
}

void DomainController::claimLease(const KnownRecord &stored)
{
    auto next = stored.record;
    if (next.holder) {
        next.unconfirmed.push_back(*next.holder);
        next.lastIncarnation += IncarnationsOfIsolatedHolder;
    }
    for (const auto &vm : next.vms) {
        // An engine with a higher epoch got an order from a controller whose record the platform has lost.
        if (const auto seen = zone_->observations.find(vm.id); seen != zone_->observations.end()) {
            next.epoch = std::max(next.epoch, seen->second.state.fence.epoch);
        }
    }
    ++next.epoch;
    for (auto &vm : next.vms) {
        if (vm.phase == VmPhase::Releasing) {
            vm.releaseFence = {next.epoch, ++next.lastIncarnation}; // higher than in any order of the former holder
        }
    }
    next.holder = self_;
    next.holder->epoch = next.epoch;
    known_ = KnownRecord{stored.record, stored.version, now()};
    confirmedControllers_.clear();
    orders_.clearReleases();
    isolatedDecisions_.clear();
    writeRecord(std::move(next), {}, LeaseEvent::ClaimStarted);
}

void DomainController::writeRecord(DomainRecord next, std::vector<Decision> decisions, LeaseEvent start, std::function<void(bool)> whenDone)
{
    next.writerToken = nextToken();
    ++next.sequence;
    const auto condition = known_->version == 0 ? WriteCondition::ifAbsent() : WriteCondition::ifVersion(known_->version);
    auto text = encodeDomainRecord(next);
    isStoreCallUnderWay_ = true;
    lastWriteAt_ = now();
    lease_.handle(start, now());
    auto handler = [self = shared_from_this(), call = callGeneration_, next = std::move(next), decisions = std::move(decisions),
                    whenDone = std::move(whenDone)](std::error_code error, std::uint64_t version) mutable {
        if (call == self->callGeneration_) {
            self->isStoreCallUnderWay_ = false;
            self->nextReadAt_ = {};
            const bool isRefused = error == ResultCode::VersionConflict || error == ResultCode::ObjectTooLarge;
            self->lease_.handle(!error ? LeaseEvent::WriteDone : isRefused ? LeaseEvent::WriteRefused : LeaseEvent::WriteLost, self->now());
            if (!error) {
                if (next.unconfirmed != self->known_->record.unconfirmed) {
                    // Before a former controller was confirmed, its late orders may have undone releases that were carried out.
                    self->orders_.clearReleases();
                }
                logDecisions(next, decisions);
                self->lastStoredSequence_ = next.sequence;
                self->setKnownRecord(std::move(next), version);
            }
        }
        if (whenDone) {
            whenDone(!error);
        }
    };
    ports_.store->put(Kind, key_.objectName(), std::move(text), condition, std::move(handler));
}

void DomainController::readBackRecord()
{
    if (isStoreCallUnderWay_ || now() < nextReadAt_) {
        return;
    }
    isStoreCallUnderWay_ = true;
    nextReadAt_ = now() + RetryInterval;
    ports_.store->fetch(Kind, key_.objectName(), [self = shared_from_this(), call = callGeneration_](std::error_code error, const StoredObject &object) {
        if (call == self->callGeneration_) {
            self->isStoreCallUnderWay_ = false;
            self->handleRecordReadBack(error, object);
        }
    });
}

void DomainController::handleRecordReadBack(std::error_code error, const StoredObject &object)
{
    if (error && error != ResultCode::ObjectNotFound) {
        return;
    }
    auto stored = error ? std::optional<DomainRecord>() : decodeDomainRecord(object.value);
    if (!error && (!stored || stored->key != key_)) {
        logLine(LogLevel::Error, "domain record is malformed and will not be overwritten", {{"object", object.name}, {"version", object.version}});
        return;
    }
    const bool isOwn = stored && stored->holder && stored->holder->daemon == self_.daemon && stored->holder->process == self_.process;
    if (isOwn && (lease_.state() == LeaseState::ResolvingAcquire || stored->epoch == known_->record.epoch)) {
        if (stored->epoch == known_->record.epoch && stored->sequence < lastStoredSequence_) {
            *stored = known_->record; // the store was restored from an older copy of this process's record
        }
        adoptOwnRecord(std::move(*stored), object.version);
        return;
    }
    lease_.handle(LeaseEvent::ReadOther, now());
    isolatedDecisions_.clear();
    if (!stored) {
        known_->version = 0;
        return;
    }
    if (known_->record.isNewerThan(*stored)) {
        known_->version = object.version; // the store was restored from an older copy; the next claim writes the known record
        return;
    }
    setKnownRecord(std::move(*stored), object.version);
}

void DomainController::adoptOwnRecord(DomainRecord stored, std::uint64_t version)
{
    // The stored record shows whether the last write of this process took effect.
    lease_.handle(LeaseEvent::ReadOwn, now());
    const auto sequence = std::max(stored.sequence, known_->record.sequence);
    // Incarnations that were assigned in isolation must not be assigned again.
    const auto incarnation = std::max(stored.lastIncarnation, known_->record.lastIncarnation);
    lastStoredSequence_ = stored.sequence;
    setKnownRecord(std::move(stored), version);
    auto next = known_->record;
    next.sequence = sequence;
    next.lastIncarnation = incarnation;
    std::vector<Decision> recorded;
    for (auto &decision : std::exchange(isolatedDecisions_, {})) {
        if (applyDecision(next, decision, zone_->settings)) {
            recorded.push_back(std::move(decision));
        }
    }
    // Only an answered write starts the lease time, so the holder writes before it acts.
    writeRecord(std::move(next), std::move(recorded), LeaseEvent::WriteStarted);
}

RepairInput DomainController::repairInput() const
{
    RepairInput input;
    input.inventory = zone_->inventory;
    input.isInventoryKnown = zone_->isInventoryKnown;
    input.observations = &zone_->observations;
    input.orders = &orders_;
    input.settings = &zone_->settings;
    const auto *strategy = findAssignmentStrategy(zone_->settings.strategy);
    input.strategy = strategy ? strategy : &assignmentStrategies().back();
    const auto copyOwnPart = [this](const auto &parts, auto &target) {
        if (const auto found = parts.find(key_.domain); found != parts.end()) {
            target = found->second;
        }
    };
    copyOwnPart(zone_->plan.replicasToCreate, input.replicasToCreate);
    copyOwnPart(zone_->plan.replicasToRemove, input.replicasToRemove);
    copyOwnPart(zone_->plan.replicasToUpdate, input.replicasToUpdate);
    input.drainedByOperator = zone_->drainedByOperator;
    input.confirmedControllers = confirmedControllers_;
    input.drainingSince = drainingSince_;
    input.surplusSince = surplusSince_;
    input.observedSince = zone_->observedSince;
    input.now = now();
    return input;
}

void DomainController::decideAndWrite()
{
    if (isStoreCallUnderWay_ || lease_.state() != LeaseState::Held) {
        return;
    }
    auto next = known_->record;
    auto decisions = decideRepairs(next, repairInput());
    if (!decisions.empty() || now() - lastWriteAt_ >= zone_->settings.leaseRenewInterval) {
        writeRecord(std::move(next), std::move(decisions), LeaseEvent::WriteStarted);
    }
}

void DomainController::decideIsolated()
{
    auto next = known_->record;
    if (isolatedDecisions_.empty()) {
        next.lastIncarnation += IncarnationsOfLostWrite;
    }
    auto decisions = decideIsolatedRepairs(next, repairInput());
    if (decisions.empty()) {
        return;
    }
    ++next.sequence; // makes the record newer than the stored copy for peers
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
        // An isolated holder sends no releases, because the stored record may have changed without its knowledge.
        if (isRelease && lease_.mayUseSpares()) {
            continue;
        }
        const auto number = orders_.recordSent(due.vm, due.order.fence, isRelease, now());
        ports_.engines->sendOrder(due.address, due.order, [self = shared_from_this(), vm = due.vm, number](std::error_code error) {
            const bool isLost = error == ResultCode::BackendTimeout || error == ResultCode::BackendBadAnswer;
            self->orders_.recordAnswer(vm, number, isLost, !error);
        });
    }
}

void DomainController::askFormerControllers()
{
    for (const auto &former : known_->record.unconfirmed) {
        if (confirmedControllers_.contains(former)) {
            continue;
        }
        if (former.daemon == self_.daemon && former.process == self_.process) {
            if (orders_.isAllSettled()) {
                confirmedControllers_.insert(former);
            }
            continue;
        }
        const auto isListed = [this](const ControllerRef &controller) {
            return std::any_of(zone_->inventory.begin(), zone_->inventory.end(), [&controller](const VmRecord &vm) {
                return vm.id.str() == controller.daemon.str() || vm.address.address == controller.peerAddress.address;
            });
        };
        // A VM list without this daemon does not contain daemons at all, so it shows nothing about former controllers.
        if (zone_->isInventoryKnown && isListed(self_) && !isListed(former)) {
            processEndedSince_.emplace(former, now());
        }
        if (const auto ended = processEndedSince_.find(former);
            ended != processEndedSince_.end() && now() - ended->second >= zone_->settings.maxOrderLifetime) {
            confirmedControllers_.insert(former);
            continue;
        }
        auto &asked = lastAskedAt_[former];
        if (now() - asked < RetryInterval) {
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
                                                                  self->confirmedControllers_.insert(former);
                                                              } else if (reply == FormerControllerReply::ProcessEnded) {
                                                                  self->processEndedSince_.emplace(former, self->now());
                                                              }
                                                          });
    }
}

void DomainController::trackDrainingAndSurplus()
{
    const auto update = [this](std::map<ReplicaId, TimePoint> &since, const auto &hasState) {
        std::erase_if(since, [&](const auto &entry) { return !hasState(entry.first); });
        for (const auto &replica : known_->record.replicas) {
            if (hasState(replica.id)) {
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
    const auto removals = zone_->plan.replicasToRemove.find(key_.domain);
    update(surplusSince_, [&](const ReplicaId &id) { return removals != zone_->plan.replicasToRemove.end() && removals->second.contains(id); });
}

void DomainController::releaseLease(std::function<void()> handler)
{
    const bool isIdle = lease_.state() == LeaseState::Held && lease_.mayAct(now()) && !isStoreCallUnderWay_;
    if (!isIdle || !orders_.isAllSettled()) {
        handler();
        return;
    }
    auto next = known_->record;
    next.holder.reset();
    writeRecord(std::move(next), {}, LeaseEvent::ReleaseStarted, [handler = std::move(handler)](bool) { handler(); });
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
    orders_.expireOrders(now());
    return orders_.isAllSettled() ? FormerControllerReply::NoOrdersInFlight : FormerControllerReply::OrdersInFlight;
}

}
