#include "daemon/control_plane.h"

#include "daemon/admin_bodies.h"
#include "daemon/observation_exchange.h"
#include "daemon/snapshot_builder.h"
#include "idempotency/claim_store.h"
#include "membership/rendezvous.h"
#include "observe/log.h"

#include <boost/asio/post.hpp>

#include <algorithm>

namespace carawaypoint
{

namespace
{

constexpr Duration VmListInterval = seconds(2);
constexpr Duration ControlTickInterval = milliseconds(100);
constexpr Duration SlowTickInterval = seconds(1);
constexpr Duration AssignmentTickInterval = milliseconds(200);
constexpr Duration ProbeInterval = seconds(1); // probes are the largest part of control traffic; half the interval doubles their bytes
constexpr Duration LeaveBroadcastDelay = milliseconds(300); // time for the announcement that this daemon leaves to reach its peers

RelinquishOutcome toOutcome(RelinquishResult result)
{
    return result == RelinquishResult::Relinquished ? RelinquishOutcome::Relinquished : RelinquishOutcome::Dispatched;
}

}

ControlPlane::ControlPlane(boost::asio::io_context &control,
                           const ProcessSettings &settings,
                           const Clock &clock,
                           Dispatcher &dispatcher,
                           std::uint64_t process,
                           Hooks hooks)
    : control_(control)
    , settings_(settings)
    , clock_(clock)
    , dispatcher_(dispatcher)
    , process_(process)
    , hooks_(std::move(hooks))
    , store_(HttpObjectStore::Builder(control.get_executor(), settings.platform).build())
    , engines_(HttpEngineClient::Builder(control.get_executor(), clock).build())
    , configuration_(control.get_executor(), clock, *store_, {settings.id.str() + "/" + std::to_string(process)})
    , membership_(control.get_executor(), clock, *store_, configuration_, membershipOptions(), membershipCallbacks())
    , peers_(control.get_executor(), {}, membership_, process)
    , formerControllers_(peers_)
    , peerClaims_(peers_, [this](const MemberId &id) { return findMember(id); })
    , config_(settings.site)
    , vmTimer_(control)
    , controlTimer_(control)
    , slowTimer_(control)
    , stopTimer_(control)
{
    const ControllerRef self{settings.id, settings.peer, process, 0};
    controller_ = Controller::Builder(control.get_executor(), settings.zone, self, {store_.get(), engines_.get(), &formerControllers_, &clock}).build();
    prober_ = EngineProber::Builder(*engines_, clock)
                  .period(ProbeInterval)
                  .seed(process)
                  .recordOf([this](const VmId &vm) { return findDomainRecord(vm); })
                  .onReport([this](const EngineReport &report) { handleEngineReport(report); })
                  .build();
}

ControlPlane::~ControlPlane()
{
    peers_.stop();
}

MembershipAgentOptions ControlPlane::membershipOptions() const
{
    MembershipAgentOptions options;
    options.self.id = settings_.id;
    options.self.zone = settings_.zone;
    options.self.address = settings_.peer;
    options.self.process = process_;
    options.seeds = settings_.seeds;
    options.randomSeed = process_;
    return options;
}

MembershipCallbacks ControlPlane::membershipCallbacks()
{
    MembershipCallbacks callbacks;
    callbacks.onSignal = [this](const PeerSignal &signal) {
        handlePeerSignal(signal);
    };
    callbacks.onRelinquishClaim = [this](const std::string &service, const std::string &key, const std::string &token,
                                         std::function<void(RelinquishOutcome)> answer) {
        hooks_.postToClaimStore([this, service, key, token, answer = std::move(answer)](ClaimStore &claims) {
            answer(toOutcome(claims.relinquish({ServiceId(service), key, token, {settings_.id, process_}})));
        });
    };
    callbacks.onConfirmNoOrdersInFlight = [this](const DomainKey &domain, std::uint64_t epoch, const std::function<void(bool)> &answer) {
        answer(controller_->answerConfirmation(domain, epoch, process_) == FormerControllerReply::NoOrdersInFlight);
    };
    callbacks.onFetchAssignment = [this](const std::vector<RecordStamp> &known) {
        return assignmentNewerThan(known);
    };
    return callbacks;
}

std::error_code ControlPlane::start()
{
    configuration_.setChangeHandler([this](const ConfigurationText &text) { applyConfiguration(text); });
    configuration_.setRevisionHandler([this](std::uint64_t revision) { membership_.table().recordPlatformRevision(revision); });
    if (const std::error_code error = peers_.start(settings_.peer); error) {
        return error;
    }
    membership_.start(peers_);
    controller_->start(AssignmentTickInterval);
    lastControlTick_ = clock_.now();
    lastClaimSweep_ = lastControlTick_;
    fetchVmList();
    controlTick();
    slowTick();
    return {};
}

void ControlPlane::stop(std::function<void()> done)
{
    controller_->stop([this, done = std::move(done)] {
        membership_.leave();
        stopTimer_.expires_after(LeaveBroadcastDelay);
        stopTimer_.async_wait([done](const boost::system::error_code &) { done(); });
    });
}

void ControlPlane::scheduleNext(boost::asio::steady_timer &timer, Duration period, void (ControlPlane::*step)())
{
    timer.expires_after(period);
    timer.async_wait([this, step](const boost::system::error_code &error) {
        if (!error) {
            (this->*step)();
        }
    });
}

void ControlPlane::fetchVmList()
{
    store_->listVms([this](std::error_code error, std::vector<VmRecord> vms) {
        isPlatformReachable_ = !error;
        if (!error) {
            applyInventory(std::move(vms));
        } else {
            fetchAssignmentFromPeer();
        }
        scheduleNext(vmTimer_, VmListInterval, &ControlPlane::fetchVmList);
    });
}

void ControlPlane::applyInventory(std::vector<VmRecord> vms)
{
    vms_ = std::move(vms);
    controller_->setInventory(vms_);
}

void ControlPlane::controlTick()
{
    const TimePoint now = clock_.now();
    if (now - lastControlTick_ > SlowTickInterval * 3 || membership_.table().pauseCount() != pauseCount_) {
        // No decision may be based on observations from before a pause.
        pauseCount_ = membership_.table().pauseCount();
        logLine(LogLevel::Warning, "process was paused; all observations are stale", {{"ms", (now - lastControlTick_) / milliseconds(1)}});
        controller_->handlePause();
        probedEngines_.clear();
    }
    lastControlTick_ = now;
    domainRecords_ = controller_->records();
    domainRecordByVm_.clear();
    for (const auto &record : domainRecords_) {
        for (const auto &vm : record.vms) {
            domainRecordByVm_[vm.id] = &record;
        }
    }
    prober_->tick();
    publishOwnObservations(now);
    applyPeerObservations(now);
    publishSnapshot(now);
    publishCrashSuspects();
    scheduleNext(controlTimer_, ControlTickInterval, &ControlPlane::controlTick);
}

void ControlPlane::slowTick()
{
    const TimePoint now = clock_.now();
    std::erase_if(leavingUntil_, [now](const auto &entry) { return entry.second <= now; });
    applyRoles();
    publishDemand();
    updateClaimStore();
    updateAlarms(now);
    updateMetrics();
    scheduleNext(slowTimer_, SlowTickInterval, &ControlPlane::slowTick);
}

void ControlPlane::applyConfiguration(const ConfigurationText &text)
{
    const bool isFirst = config_.config() == nullptr;
    const std::string configError = config_.apply(text.text, text.generation);
    if (!configError.empty()) {
        logLine(LogLevel::Error, "configuration cannot be put in force", {{"generation", text.generation}, {"fault", configError}});
        return;
    }
    logDecision("configuration", settings_.id.str(), std::to_string(text.generation), "higher than the generation in force");
    controller_->setSettings(toAssignmentSettings(*config_.config()));
    alarms_.setTimes(toAlarmTimes(config_.config()->alarms));
    publishSnapshot(clock_.now());
    if (isFirst && hooks_.onFirstConfig) {
        hooks_.onFirstConfig(*config_.config());
    }
}

void ControlPlane::applyRoles()
{
    const TimePoint now = clock_.now();
    MemberTable &table = membership_.table();
    configuration_.setWatcher(table.isWatcher(now));
    // Daemons do not exchange domain records regularly, so that every daemon watches them on the platform.
    controller_->setWatcher(true);
    std::vector<MemberId> live;
    for (const auto &member : members()) {
        if (member.zone == settings_.zone && member.status == MemberStatus::Alive) {
            live.push_back(member.id);
        }
    }
    controller_->setLiveMembers(std::move(live));
    std::vector<VmRecord> engines;
    std::set<VmId> wanted;
    for (const auto &vm : vms_) {
        const bool isOwnZone = vm.zone == settings_.zone && !vm.domain.isEmpty();
        // The holder of a domain's lease decides by its own probes of the engines.
        if (isOwnZone && (table.isProberOf(vm.id, now) || controller_->holdsLease({vm.zone, vm.domain}))) {
            engines.push_back(vm);
            wanted.insert(vm.id);
        }
    }
    for (const auto &vm : probedVms_) {
        if (!wanted.contains(vm)) {
            table.removeObservation(vm, now);
            probedEngines_.erase(vm);
        }
    }
    probedVms_ = std::move(wanted);
    prober_->setEngines(engines);
}

void ControlPlane::handleEngineReport(const EngineReport &report)
{
    controller_->observe(report.vm, report.observation);
    probedEngines_[report.vm] = {report.observation.observedAt, report.observation.state};
    membership_.setObservation(report.vm, toServerState(report.observation.state, true));
}

void ControlPlane::publishSnapshot(TimePoint now)
{
    MemberTable &table = membership_.table();
    SnapshotInputs inputs;
    inputs.config = config_.config();
    inputs.generation = config_.generation();
    inputs.zone = settings_.zone;
    inputs.replicas = controller_->replicaViews();
    inputs.vms = vms_;
    for (const auto &[vm, until] : leavingUntil_) {
        inputs.leavingVms.insert(vm);
    }
    const auto all = members();
    inputs.liveDaemonsInZone = static_cast<std::uint32_t>(std::count_if(
        all.begin(), all.end(), [this](const MemberRecord &member) { return member.zone == settings_.zone && member.status == MemberStatus::Alive; }));
    inputs.isPeerExchangeFresh = table.isPeerExchangeFresh(now);
    inputs.isPlatformReachable = isPlatformReachable_;
    const auto valueOf = [](const std::map<std::uint32_t, std::uint32_t> &counts, std::string_view id) {
        const auto found = counts.find(keyHash(id));
        return found == counts.end() ? 0U : found->second;
    };
    inputs.peerDemand = [valueOf, counts = table.peerDemand()](const CustomerId &id) {
        return valueOf(counts, id.str());
    };
    inputs.peerInFlight = [valueOf, counts = table.peerInFlight()](const ReplicaId &id) {
        return valueOf(counts, id.str());
    };
    const RoutingSnapshotPtr built = buildRoutingSnapshot(inputs, now);
    {
        const std::scoped_lock lock(snapshotMutex_);
        snapshot_ = built;
    }
    dispatcher_.setSnapshot(built);
    isReady_ = membership_.isReady() && config_.config() != nullptr;
}

RoutingSnapshotPtr ControlPlane::snapshot() const
{
    const std::scoped_lock lock(snapshotMutex_);
    return snapshot_;
}

const VmRecord *ControlPlane::findVmByAddress(const Endpoint &address) const
{
    const auto found = std::find_if(vms_.begin(), vms_.end(), [&address](const VmRecord &vm) { return vm.address == address; });
    return found == vms_.end() ? nullptr : &*found;
}

const DomainRecord *ControlPlane::findDomainRecord(const VmId &vm) const
{
    const auto found = domainRecordByVm_.find(vm);
    return found == domainRecordByVm_.end() ? nullptr : found->second;
}

}
