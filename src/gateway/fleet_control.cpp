#include "gateway/fleet_control.h"

#include "core/result_code.h"
#include "gateway/fleet_records.h"
#include "observe/log.h"
#include "observe/metrics.h"

#include <algorithm>
#include <chrono>

namespace carawaypoint
{

namespace
{

constexpr Duration TickInterval = milliseconds(150);
/// Interval between reads of the lease and of the daemons' addresses.
constexpr Duration PollInterval = seconds(1);
/// Same for gateways that follow the store through relays and use the list of daemons only to find their relays.
constexpr Duration FollowerPollInterval = seconds(15);
/// Same while the store does not answer; the watch calls detect when it does again.
constexpr Duration UnreachablePollInterval = seconds(3);
/// Time for which a gateway that is not a relay watches the store before it competes for the lease; relays take it sooner.
constexpr Duration FollowerLeaseDelay = seconds(5);
/// Delay before the first lease of a fleet is taken. By then the gateways have registered and know which of them are relays.
constexpr Duration MinFirstLeaseDelay = milliseconds(1200);
constexpr Duration FirstLeaseJitter = milliseconds(500);
/// Pause after a change of servers; changes within it are fetched together. The holder of the lease, which acts on them, uses the
/// shortest pause.
constexpr Duration DirectServerPause = milliseconds(120);
/// Same for relays, of which two per zone watch the store, so that the calls do not grow with the fleet. Including the delay to the
/// gateways of the zone, it stays well below the time after which a leaving server must get no more requests.
constexpr Duration RelayedServerPause = milliseconds(400);
/// Maximum duration of a watch call; limits the time until a dead connection is detected.
constexpr Duration DirectWait = milliseconds(2500);
/// Same for relays, on which the gateways of their zone depend.
constexpr Duration RelayedWait = milliseconds(1000);
/// A relay stops sending heartbeats when the store has not answered for this long, which covers the watch and the timeout of a call.
constexpr Duration MaxRelayAnswerAge = milliseconds(1800);
/// Interval between notices of a relay when nothing changes.
constexpr Duration HeartbeatInterval = milliseconds(250);
/// Maximum delay between calls to a store that does not answer.
constexpr Duration DirectMaxRetryDelay = milliseconds(600);
constexpr Duration FollowerMaxRetryDelay = milliseconds(2400);
/// A new holder of the lease waits this long, so that the list shows the effects of its predecessor's last orders.
constexpr Duration TermStartDelay = milliseconds(600);
constexpr Duration LapsedMemberProbeInterval = seconds(2);
constexpr Duration StopTimeout = milliseconds(600);
constexpr std::string_view DaemonPrefix = "daemon.";

Duration firstLeaseDelay(const MemberId &gateway)
{
    return MinFirstLeaseDelay + Duration(std::hash<std::string>()(gateway.str()) % static_cast<std::size_t>(FirstLeaseJitter.count()));
}

}

FleetControl::FleetControl(boost::asio::io_context &io,
                           const GatewaySettings &settings,
                           const Clock &clock,
                           std::uint64_t process,
                           FleetPlatform &platform,
                           Hooks hooks)
    : settings_(settings)
    , clock_(clock)
    , process_(process)
    , platform_(platform)
    , hooks_(std::move(hooks))
    , tickTimer_(io)
    , changeFeed_(io)
    , lease_(platform.store(),
             clock,
             platform.daemonKind(),
             ControlLease(settings.id, process),
             LeaseKeeper::Settings{.firstTakeDelay = firstLeaseDelay(settings.id)},
             [this](std::error_code error) { recordStoreResult("lease", error); })
    , controller_(ReplicaControllerSettings{.stallTime = settings.stallTime})
{
    configWatcher_ = std::make_shared<KindWatcher>(io.get_executor(), platform.store(), KindWatcher::Settings{.kind = platform.configKind()}, configHooks());
    serverWatcher_ = std::make_shared<KindWatcher>(io.get_executor(), platform.store(),
                                                   KindWatcher::Settings{.kind = platform.serverKind(), .pause = DirectServerPause}, serverHooks());
}

KindWatcher::Hooks FleetControl::configHooks()
{
    KindWatcher::Hooks hooks;
    hooks.onList = [this](const std::vector<StoredObject> &objects) {
        recordStoreResult("configuration", {});
        for (const auto &object : objects) {
            applyConfig(object);
        }
        publishIfChanged();
    };
    hooks.onEvents = [this](std::span<const ObjectEvent> events) {
        recordStoreResult("configuration", {});
        for (const auto &event : events) {
            if (!event.isRemoved) {
                applyConfig(event.object);
            }
        }
        publishIfChanged();
    };
    hooks.onFailure = [this](std::error_code error) {
        recordStoreResult("configuration", error);
    };
    return hooks;
}

KindWatcher::Hooks FleetControl::serverHooks()
{
    KindWatcher::Hooks hooks;
    hooks.onList = [this](const std::vector<StoredObject> &objects) {
        recordStoreResult("servers", {});
        applyServers(objects);
        serversAnsweredAt_ = clock_.now();
        // A list does not contain individual changes, so the gateways of the zone detect a gap and fetch the changes from the store.
        publishedRevision_ = serverWatcher_->revision();
        publishChanges({});
    };
    hooks.onEvents = [this](std::span<const ObjectEvent> events) {
        recordStoreResult("servers", {});
        applyServerEvents(events);
        serversAnsweredAt_ = clock_.now();
        publishChanges(events);
    };
    hooks.onFailure = [this](std::error_code error) {
        recordStoreResult("servers", error);
    };
    return hooks;
}

std::error_code FleetControl::open(const Endpoint &changes)
{
    return changeFeed_.open(changes, [this](const ChangeNotice &notice) { handleNotice(notice); });
}

bool FleetControl::mustWatch(TimePoint now) const
{
    return relayPlan_.isDirect() || relayPlan_.isRelay() || lease_.isHeld() || !changeFollower_.receivesNotices(now);
}

/// Switches between watching the store and following it through the relays of the zone.
void FleetControl::updateWatchMode(TimePoint now)
{
    const bool isWatching = !serverWatcher_->isSuspended();
    if (mustWatch(now) == isWatching || !isReady() || isStopping_) {
        return;
    }
    if (isWatching) {
        if (configWatcher_->suspend() && !serverWatcher_->suspend()) {
            configWatcher_->resume();
        }
    } else {
        watchingSince_ = now;
        configWatcher_->resume();
        serverWatcher_->resume();
    }
    logDecision("store", "changes", serverWatcher_->isSuspended() ? "followed through relays" : "watched",
                changeFollower_.receivesNotices(now) ? "role of this gateway" : "no notice from a relay", {{"revision", serverWatcher_->revision()}});
}

void FleetControl::handleNotice(const ChangeNotice &notice)
{
    const auto now = clock_.now();
    const auto step = changeFollower_.applyNotice(notice, serverWatcher_->revision(), now);
    if (!serverWatcher_->isSuspended()) {
        return;
    }
    // The relay receives answers from the store, so an earlier failure of this gateway's own calls no longer counts.
    registry_.recordStoreAnswer(now);
    if (notice.remainingDeferral.count() > 0) {
        registry_.deferRemovalsUntil(now + notice.remainingDeferral);
    }
    // Loading a large configuration may take longer than the interval between notices, so a list in progress is not restarted.
    if (notice.configVersion > configVersion_ && !configWatcher_->isListDue()) {
        configWatcher_->relist();
    }
    if (step == ChangeFollower::Step::CatchUp) {
        serverWatcher_->catchUp();
    }
    if (step == ChangeFollower::Step::Apply) {
        serverWatcher_->advance(notice.toRevision);
        applyServerEvents(notice.changes);
    }
}

/// Sends changes to the gateways of the zone if this gateway is their relay.
void FleetControl::publishChanges(std::span<const ObjectEvent> events)
{
    ChangeNotice notice;
    notice.fromRevision = std::exchange(publishedRevision_, serverWatcher_->revision());
    notice.toRevision = publishedRevision_;
    publishedAt_ = clock_.now();
    if (relayPlan_.zonePeers().empty()) {
        return;
    }
    notice.configVersion = configVersion_;
    notice.remainingDeferral = registry_.remainingDeferral(clock_.now());
    notice.changes.assign(events.begin(), events.end());
    changeFeed_.send(notice, relayPlan_.zonePeers());
}

void FleetControl::sendHeartbeat(TimePoint now)
{
    // A relay without answers from the store must not send notices, which would keep other gateways from calling the store.
    const bool isCurrent = now - serversAnsweredAt_ < MaxRelayAnswerAge && isStoreReachable_ && !serverWatcher_->isSuspended();
    if (relayPlan_.isRelay() && isCurrent && now - publishedAt_ >= HeartbeatInterval) {
        publishChanges({});
    }
}

void FleetControl::start()
{
    watchingSince_ = clock_.now();
    configWatcher_->start();
    serverWatcher_->start();
    tick();
}

void FleetControl::recordTraffic()
{
    controller_.recordTraffic();
}

void FleetControl::onServerStalled(const VmId &head)
{
    if (activeTerm_ == 0 || isStopping_) {
        return;
    }
    for (const auto &member : controller_.membersOf(head)) {
        probe(member.id, member.address, member.startedAt, "its replica is stalled");
    }
}

void FleetControl::probe(const VmId &server, const Endpoint &address, std::uint64_t startedAt, std::string_view reason)
{
    platform_.orders().probe(server, address, [this, server, startedAt, reason](const ProbeAnswer &answer) {
        logDecision("placement", server.str(), answer.isAnswered ? "answered" : "silent", reason, {{"pace", answer.pace}});
        if (!answer.isAnswered) {
            controller_.recordUnresponsive(server, startedAt, clock_.now());
            runReplicaController();
        }
    });
}

/// A member whose registration lapsed may only have lost the connection to the store. Its replica is kept as long as it answers.
void FleetControl::probeLapsedMembers(TimePoint now)
{
    const auto &servers = registry_.servers();
    std::erase_if(lastProbeAt_, [&servers](const auto &entry) {
        const auto found = servers.find(entry.first);
        return found == servers.end() || !found->second.isRegistrationLapsed;
    });
    for (const auto &[id, server] : servers) {
        if (!server.isRegistrationLapsed) {
            continue;
        }
        const auto [entry, isNew] = lastProbeAt_.emplace(id, now);
        if (isNew || now - entry->second >= LapsedMemberProbeInterval) {
            entry->second = now;
            probe(id, server.address, server.startedAt, "its registration lapsed");
        }
    }
}

void FleetControl::recordStoreResult(std::string_view what, std::error_code error)
{
    const auto now = clock_.now();
    metricsRegistry().count(CounterMetric::PlatformCalls, what);
    if (error) {
        metricsRegistry().count(CounterMetric::PlatformErrors, error.message());
        registry_.recordStoreFailure();
        if (std::exchange(isStoreReachable_, false)) {
            logLine(LogLevel::Warning, "store lost", {{"call", what}, {"error", error.message()}});
        }
        return;
    }
    registry_.recordStoreAnswer(now);
    if (!std::exchange(isStoreReachable_, true)) {
        logLine(LogLevel::Info, "store regained", {{"call", what}});
        polledAt_ = {};
    }
}

void FleetControl::applyConfig(const StoredObject &object)
{
    if (object.name != platform_.configName()) {
        return;
    }
    auto config = platform_.decodeConfig(object);
    if (!config) {
        logLine(LogLevel::Error, "cannot decode the configuration; not applied", {{"object_version", object.version}});
        return;
    }
    if (config_ && config->version <= config_->version) {
        return;
    }
    logDecision("configuration", "fleet", "applied", "the store holds a newer version",
                {{"version", config->version}, {"object_version", object.version}, {"routes", static_cast<std::uint64_t>(config->routeCount())}});
    metricsRegistry().set(GaugeMetric::ConfigGeneration, {}, static_cast<double>(config->version));
    config_ = std::move(config);
    configVersion_ = object.version;
    controller_.setConfig(config_);
    isConfigChanged_ = true;
    if (relayPlan_.isRelay()) {
        publishChanges({});
    }
}

void FleetControl::applyServers(std::span<const StoredObject> objects)
{
    ServerMap servers;
    for (const auto &object : objects) {
        if (auto server = platform_.decodeServer(object)) {
            const auto id = server->id;
            servers.insert_or_assign(id, *std::move(server));
        } else {
            logLine(LogLevel::Warning, "registration of a server cannot be read and is left out",
                    {{"server", object.name}, {"object_version", object.version}});
        }
    }
    logLine(LogLevel::Info, "servers listed", {{"servers", static_cast<std::uint64_t>(servers.size())}});
    registry_.replaceAll(std::move(servers), clock_.now());
    hasServers_ = true;
    publishIfChanged();
}

void FleetControl::applyServerEvents(std::span<const ObjectEvent> events)
{
    for (const auto &event : events) {
        const VmId id(event.object.name);
        if (event.isRemoved) {
            logLine(LogLevel::Info, "server removed from the list", {{"server", id.str()}, {"object_version", event.object.version}});
            registry_.remove(id, clock_.now());
            continue;
        }
        auto server = platform_.decodeServer(event.object);
        if (!server) {
            logLine(LogLevel::Warning, "registration of a server cannot be read and is left out",
                    {{"server", id.str()}, {"object_version", event.object.version}});
            registry_.remove(id, clock_.now());
            continue;
        }
        if (server->isLeaving) {
            logLine(LogLevel::Info, "server is leaving", {{"server", id.str()}, {"object_version", event.object.version}});
        }
        registry_.set(*std::move(server));
    }
    publishIfChanged();
}

void FleetControl::publishIfChanged()
{
    const bool isServersChanged = registry_.takeChange(clock_.now());
    const bool isChanged = std::exchange(isConfigChanged_, false) || isServersChanged;
    if (!isChanged || !isReady()) {
        isConfigChanged_ = isConfigChanged_ || (isChanged && !isReady());
        return;
    }
    hooks_.onSnapshot(std::make_shared<const FleetSnapshot>(config_, registry_.servers()));
    runReplicaController();
}

void FleetControl::tick()
{
    if (isStopping_) {
        return;
    }
    const auto now = clock_.now();
    publishIfChanged();
    if (!isRegistered_ && !isRegistering_) {
        registerSelf();
    }
    updateWatchMode(now);
    sendHeartbeat(now);
    const bool isWatching = !serverWatcher_->isSuspended();
    if (now - polledAt_ >= pollInterval() && !isPolling_) {
        pollDaemons();
    }
    if (isWatching && mayCompeteForLease(now)) {
        lease_.update();
    }
    runReplicaController();
    tickTimer_.expires_after(TickInterval);
    tickTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

Duration FleetControl::pollInterval() const
{
    if (serverWatcher_->isSuspended()) {
        return FollowerPollInterval;
    }
    return isStoreReachable_ ? PollInterval : UnreachablePollInterval;
}

/// Whether this gateway competes for the lease. In a large fleet only some do, so that not all write at the same time when it lapses.
bool FleetControl::mayCompeteForLease(TimePoint now) const
{
    return relayPlan_.isDirect() || relayPlan_.isRelay() || lease_.isHeld() || now - watchingSince_ >= FollowerLeaseDelay;
}

void FleetControl::registerSelf()
{
    isRegistering_ = true;
    const PeerGateway self{settings_.id, settings_.zone, settings_.peer, settings_.changes};
    platform_.store().put(platform_.daemonKind(), std::string(DaemonPrefix) + settings_.id.str(), encodeGateway(self, process_), WriteCondition::always(),
                          [this](std::error_code error, std::uint64_t) {
                              isRegistering_ = false;
                              // A conflict is caused by an earlier write of this daemon's own record; tick() writes it again.
                              isRegistered_ = !error;
                              if (error) {
                                  logLine(LogLevel::Warning, "cannot register this daemon in the store", {{"error", error.message()}});
                              }
                          });
}

void FleetControl::pollDaemons()
{
    isPolling_ = true;
    polledAt_ = clock_.now();
    platform_.store().listStale(platform_.daemonKind(), [this](std::error_code error, const ListResult &list) {
        isPolling_ = false;
        recordStoreResult("daemons", error);
        if (!error) {
            applyDaemons(list);
        }
    });
}

void FleetControl::applyDaemons(const ListResult &list)
{
    std::vector<PeerGateway> peers;
    const StoredObject *lease = nullptr;
    for (const auto &object : list.objects) {
        if (object.name == LeaseKeeper::ObjectName) {
            lease = &object;
            continue;
        }
        auto peer = decodeGateway(object.value);
        if (peer && peer->address != settings_.peer) {
            peer->id = MemberId(object.name.substr(std::min(DaemonPrefix.size(), object.name.size())));
            peers.push_back(*std::move(peer));
        }
    }
    lease_.onLeaseRead(lease);
    relayPlan_ = RelayPlan(settings_.id, settings_.zone, peers);
    const bool isHolder = lease_.isHeld();
    serverWatcher_->setPause(relayPlan_.isDirect() || isHolder ? DirectServerPause : RelayedServerPause);
    serverWatcher_->setWait(relayPlan_.isDirect() ? DirectWait : RelayedWait);
    // While the store is unavailable, gateways that learn of its recovery from relays call it less often.
    const auto maxRetryDelay = relayPlan_.isDirect() || relayPlan_.isRelay() ? DirectMaxRetryDelay : FollowerMaxRetryDelay;
    serverWatcher_->setMaxRetryDelay(maxRetryDelay);
    configWatcher_->setMaxRetryDelay(maxRetryDelay);
    hooks_.onPeers(std::move(peers));
}

void FleetControl::runReplicaController()
{
    const auto now = clock_.now();
    if (!lease_.isHeld() || isStopping_) {
        if (std::exchange(activeTerm_, 0) != 0) {
            logLine(LogLevel::Warning, "lease of the replica controller lost", {{"term", lease_.term()}});
        }
        return;
    }
    if (!isReady()) {
        return;
    }
    if (activeTerm_ != lease_.term()) {
        activeTerm_ = lease_.term();
        termStartedAt_ = now;
        listCountAtTermStart_ = serverWatcher_->listCount();
        // The first term has no predecessor whose last orders could be missing from the list.
        if (activeTerm_ > 1) {
            serverWatcher_->relist();
        }
        controller_.startTerm(activeTerm_, now);
        logLine(LogLevel::Info, "lease of the replica controller held", {{"term", activeTerm_}});
    }
    const bool isSettled = activeTerm_ == 1 || (now - termStartedAt_ >= TermStartDelay && serverWatcher_->listCount() > listCountAtTermStart_);
    if (!isSettled) {
        return;
    }
    probeLapsedMembers(now);
    const auto orders = controller_.decide(registry_.servers(), now);
    for (const auto &change : controller_.takePlanChanges()) {
        logDecision("placement", change.replica.str(), planPhaseName(change.phase), change.reason, {{"term", activeTerm_}});
    }
    for (const auto &order : orders) {
        sendOrder(order);
    }
}

void FleetControl::sendOrder(const ReplicaOrder &order)
{
    platform_.orders().send(order, [this, order](OrderOutcome outcome) {
        metricsRegistry().count(CounterMetric::EngineOrders, outcomeName(outcome));
        logDecision("order", order.server.str(), orderName(order.kind), outcomeName(outcome),
                    {{"replica", order.replica.str()}, {"epoch", order.epoch}, {"model", order.model.str()}});
        controller_.recordOutcome(order, outcome, clock_.now());
    });
}

void FleetControl::stop(std::function<void()> done)
{
    if (std::exchange(isStopping_, true)) {
        return;
    }
    configWatcher_->stop();
    serverWatcher_->stop();
    tickTimer_.expires_after(StopTimeout);
    tickTimer_.async_wait([done = std::move(done)](const boost::system::error_code &) { done(); });
    lease_.release([this] { tickTimer_.cancel(); });
}

}
