#include "assignment/controller.h"

#include "assignment/replica_check.h"
#include "core/result_code.h"
#include "observe/log.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>

namespace carawaypoint
{
namespace
{

constexpr std::string_view Kind = "domain";
constexpr Duration WatchTimeout = seconds(20);
constexpr Duration WatchRetryDelay = seconds(1);
// The first daemon in a domain's order takes an expired lease immediately; each following one waits this much longer, which
// is enough for a write and its watch event. Without the delay all daemons of the zone would write at the same moment.
constexpr Duration ContentionStep = milliseconds(500);
constexpr std::size_t MaxContentionSteps = 10;

}

std::unique_ptr<Controller> Controller::Builder::build() const
{
    return std::unique_ptr<Controller>(new Controller(*this));
}

Controller::Controller(const Builder &settings)
    : executor_(settings.executor_)
    , zone_(settings.zone_)
    , self_(settings.self_)
    , ports_(settings.ports_)
    , onRecord_(settings.onRecord_)
{
    zoneState_->settings = settings.settings_;
    zoneState_->observedSince = ports_.clock->now();
}

Controller::~Controller()
{
    *alive_ = false;
}

void Controller::start(Duration period)
{
    isStopping_ = false;
    timer_ = std::make_unique<boost::asio::steady_timer>(executor_);
    scheduleTick(period);
}

void Controller::scheduleTick(Duration period)
{
    timer_->expires_after(period);
    timer_->async_wait([this, period, alive = alive_](const boost::system::error_code &error) {
        if (error || !*alive || !timer_) {
            return;
        }
        tick();
        scheduleTick(period);
    });
}

void Controller::stop(std::function<void()> handler)
{
    isStopping_ = true;
    isWatcher_ = false;
    timer_.reset();
    auto remaining = std::make_shared<std::size_t>(controllers_.size() + 1);
    const auto done = [remaining, handler = std::move(handler)] {
        if (--*remaining == 0) {
            handler();
        }
    };
    for (const auto &[key, controller] : controllers_) {
        controller->releaseLease(done);
    }
    done();
}

void Controller::tick()
{
    if (isWatcher_ && !isWatchInFlight_ && ports_.clock->now() >= nextWatchAt_) {
        watch();
    }
    planZone();
    for (const auto &[key, controller] : controllers_) {
        controller->tick(contentionDelay(key), !isStopping_);
    }
}

void Controller::setSettings(AssignmentSettings settings)
{
    zoneState_->settings = std::move(settings);
}

void Controller::setWatcher(bool isWatcher)
{
    isWatcher_ = isWatcher;
}

void Controller::setInventory(std::vector<VmRecord> vms)
{
    zoneState_->inventory.clear();
    for (auto &vm : vms) {
        if (vm.zone != zone_) {
            continue;
        }
        if (!vm.domain.isEmpty()) {
            domainController({zone_, vm.domain});
        }
        zoneState_->inventory.push_back(std::move(vm));
    }
    zoneState_->isInventoryKnown = true;
}

void Controller::observe(const VmId &vm, const VmObservation &observation)
{
    auto &known = zoneState_->observations[vm];
    if (known.observedAt <= observation.observedAt) {
        known = observation;
    }
}

void Controller::setLiveMembers(std::vector<MemberId> members)
{
    liveMembers_ = std::move(members);
}

void Controller::drainVm(const VmId &vm)
{
    zoneState_->drainedByOperator.insert(vm);
}

void Controller::handlePause()
{
    zoneState_->observedSince = ports_.clock->now();
    for (const auto &[key, controller] : controllers_) {
        controller->handlePause();
    }
}

FormerControllerReply Controller::answerConfirmation(const DomainKey &domain, std::uint64_t presentEpoch, std::uint64_t process)
{
    if (process != self_.process) {
        return FormerControllerReply::ProcessEnded;
    }
    return domainController(domain).answerConfirmation(presentEpoch, process);
}

DomainController &Controller::domainController(const DomainKey &key)
{
    auto &controller = controllers_[key];
    if (!controller) {
        auto callback = [this, alive = alive_](const KnownRecord &known) {
            if (*alive && onRecord_) {
                onRecord_(known);
            }
        };
        controller = std::make_shared<DomainController>(key, self_, ports_, zoneState_, std::move(callback));
    }
    return *controller;
}

Duration Controller::contentionDelay(const DomainKey &key) const
{
    const auto rank = [&key](const MemberId &member) {
        const auto text = key.objectName() + "/" + member.str();
        return std::pair(XXH3_64bits(text.data(), text.size()), member);
    };
    const auto own = rank(self_.daemon);
    const auto earlierMembers = std::count_if(liveMembers_.begin(), liveMembers_.end(), [&](const MemberId &member) { return rank(member) < own; });
    return ContentionStep * std::min(static_cast<std::size_t>(earlierMembers), MaxContentionSteps);
}

void Controller::planZone()
{
    const bool isNeeded =
        std::any_of(controllers_.begin(), controllers_.end(), [](const auto &entry) { return entry.second->leaseState() != LeaseState::Follower; });
    if (!isNeeded) {
        return;
    }
    std::vector<DomainSummary> domains;
    for (const auto &[key, controller] : controllers_) {
        DomainRecord absent;
        absent.key = key;
        const auto *record = controller->record();
        const auto &zone = *zoneState_;
        domains.push_back(
            summarizeDomain(record ? *record : absent, zone.inventory, zone.observations, zone.settings, zone.observedSince, ports_.clock->now()));
    }
    const auto *strategy = findAssignmentStrategy(zoneState_->settings.strategy);
    zoneState_->plan = carawaypoint::planZone(domains, zoneState_->settings, strategy ? *strategy : assignmentStrategies().back());
}

void Controller::watch()
{
    isWatchInFlight_ = true;
    if (!hasListedRecords_) {
        listRecords();
        return;
    }
    ports_.store->watch(Kind, watchRevision_, WatchTimeout, [this, alive = alive_](std::error_code error, const WatchResult &result) {
        if (*alive) {
            handleWatch(error, result);
        }
    });
}

void Controller::listRecords()
{
    ports_.store->list(Kind, [this, alive = alive_](std::error_code error, const ListResult &result) {
        if (!*alive) {
            return;
        }
        isWatchInFlight_ = false;
        if (error) {
            nextWatchAt_ = ports_.clock->now() + WatchRetryDelay;
            return;
        }
        hasListedRecords_ = true;
        watchRevision_ = result.revision;
        for (const auto &object : result.objects) {
            applyObject(object);
        }
    });
}

void Controller::handleWatch(std::error_code error, const WatchResult &result)
{
    isWatchInFlight_ = false;
    if (error) {
        nextWatchAt_ = ports_.clock->now() + WatchRetryDelay;
        return;
    }
    if (result.isListRequired) {
        hasListedRecords_ = false;
        return;
    }
    watchRevision_ = result.revision;
    for (const auto &event : result.events) {
        if (!event.isRemoved) {
            applyObject(event.object);
        }
    }
}

void Controller::applyObject(const StoredObject &object)
{
    auto record = decodeDomainRecord(object.value);
    if (!record || record->key.objectName() != object.name) {
        logLine(LogLevel::Error, "domain record is malformed and will not be overwritten", {{"object", object.name}, {"version", object.version}});
        return;
    }
    if (record->key.zone == zone_) {
        domainController(record->key).applyRecord(*record, object.version);
        return;
    }
    auto &known = recordsOfOtherZones_[record->key];
    if (known.version == 0 || record->isNewerThan(known.record)) {
        known = {std::move(*record), object.version, ports_.clock->now()};
        if (onRecord_) {
            onRecord_(known);
        }
    }
}

void Controller::applyRecord(const DomainKey &key, std::string_view text, std::uint64_t version)
{
    applyObject({std::string(Kind), key.objectName(), version, std::string(text)});
}

std::vector<DomainKey> Controller::domains() const
{
    std::vector<DomainKey> keys;
    for (const auto &[key, controller] : controllers_) {
        keys.push_back(key);
    }
    return keys;
}

std::vector<DomainRecord> Controller::records() const
{
    std::vector<DomainRecord> records;
    for (const auto &[key, controller] : controllers_) {
        if (const auto *record = controller->record()) {
            records.push_back(*record);
        }
    }
    for (const auto &[key, known] : recordsOfOtherZones_) {
        records.push_back(known.record);
    }
    return records;
}

std::vector<ReplicaView> Controller::replicaViews() const
{
    std::vector<ReplicaView> views;
    for (const auto &record : records()) {
        for (const auto &replica : record.replicas) {
            views.push_back(replicaView(record, replica, zoneState_->observations));
        }
    }
    return views;
}

bool Controller::holdsLease(const DomainKey &domain) const
{
    const auto found = controllers_.find(domain);
    return found != controllers_.end() && (found->second->leaseState() == LeaseState::Held || found->second->leaseState() == LeaseState::Writing);
}

DomainStatus Controller::domainStatus(const DomainRecord &record) const
{
    const auto now = ports_.clock->now();
    const auto &zone = *zoneState_;
    const auto summary = summarizeDomain(record, {}, zone.observations, zone.settings, zone.observedSince, now);
    DomainStatus status;
    status.key = record.key;
    status.holder = record.holder ? record.holder->daemon : MemberId();
    status.epoch = record.epoch;
    const auto own = controllers_.find(record.key);
    status.ownLeaseState = own == controllers_.end() ? "" : leaseStateName(own->second->leaseState());
    status.unconfirmedControllers = static_cast<std::uint32_t>(record.unconfirmed.size());
    for (const auto &vm : record.vms) {
        const auto *replica = record.replica(vm.replica);
        const auto isReplicaComplete =
            std::any_of(summary.replicas.begin(), summary.replicas.end(), [&](const auto &entry) { return entry.id == vm.replica && entry.isComplete; });
        const auto seen = zone.observations.find(vm.id);
        VmStatus entry{vm.id, vm.phase, vm.replica, replica && replica->spare == vm.id, false, vm.isDraining, 0};
        entry.isMissing = isMissing(vm.id, zone.observations, zone.settings, zone.observedSince, now);
        entry.loadProgress = seen == zone.observations.end() ? 0 : seen->second.state.loadProgress;
        const bool isInUse = vm.phase == VmPhase::Bound && (isReplicaComplete || entry.isSpare);
        status.spares += entry.isSpare ? 1 : 0;
        if (!entry.isMissing && !isInUse) {
            ++status.stranded;
            status.strandedByConfirmation += vm.phase == VmPhase::Releasing && !record.unconfirmed.empty() ? 1 : 0;
        }
        status.vms.push_back(std::move(entry));
    }
    return status;
}

AssignmentStatus Controller::status() const
{
    AssignmentStatus status;
    const auto now = ports_.clock->now();
    const auto &zone = *zoneState_;
    for (const auto &record : records()) {
        const auto summary = summarizeDomain(record, {}, zone.observations, zone.settings, zone.observedSince, now);
        status.domains.push_back(domainStatus(record));
        status.stranded += status.domains.back().stranded;
        for (std::size_t index = 0; index < record.replicas.size(); ++index) {
            const auto &replica = record.replicas[index];
            const auto &entry = summary.replicas[index];
            std::string state = entry.liveMembers < entry.expectedMembers ? "incomplete" : "loading";
            if (replica.isDraining) {
                state = "draining";
            } else if (entry.isComplete) {
                state = "whole";
            }
            status.replicas.push_back(
                {replica.id, record.key, replica.model, replica.version, replica.fence.incarnation, std::move(state), replica.members, replica.spare});
        }
    }
    return status;
}

}
