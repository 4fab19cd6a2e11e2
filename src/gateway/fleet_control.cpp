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
/// Between reads of the lease and of the daemons' addresses.
constexpr Duration PollInterval = seconds(1);
/// Gateways that follow the store through relays use the list of daemons only to know their relays.
constexpr Duration FollowerPollInterval = seconds(15);
/// While the store does not answer; the waiting calls for changes find out when it does again.
constexpr Duration UnreachablePollInterval = seconds(3);
/// For which a gateway that is no relay watches the store before it competes for the lease: relays take it within this time.
constexpr Duration FollowerPatience = seconds(5);
/// Before the first lease of a fleet is taken. By then the gateways have registered and know which of them are relays.
constexpr Duration MinFirstLeaseDelay = milliseconds(1200);
constexpr Duration FirstLeaseSpread = milliseconds(500);
/// Changes of servers within the pause are fetched together. The holder of the lease acts on them and waits for the least time.
constexpr Duration MinServerPause = milliseconds(120);
/// Of relays: two of each zone watch the store, so that their calls do not grow with the fleet. With the way to the gateways of the
/// zone it stays well below the time in which a leaving server must get no more requests.
constexpr Duration RelayedServerPause = milliseconds(400);
/// Longest wait of a call for changes; bounds how long a connection that went silent goes unnoticed.
constexpr Duration DirectWait = milliseconds(2500);
/// Of relays, whose zone depends on them.
constexpr Duration RelayedWait = milliseconds(1000);
/// A relay without an answer for this long, the wait and the time limit of a call, no longer speaks for the store.
constexpr Duration RelayAnswerAge = milliseconds(1800);
constexpr Duration HeartbeatInterval = milliseconds(250);
/// Longest pause between calls to a store that does not answer.
constexpr Duration DirectMaxRetry = milliseconds(600);
constexpr Duration FollowerMaxRetry = milliseconds(2400);
/// A new holder of the lease waits for what its predecessor did last to be in the list.
constexpr Duration TermSettleTime = milliseconds(600);
constexpr Duration UnlistedProbeInterval = seconds(2);
constexpr Duration StopTimeout = milliseconds(600);
constexpr std::string_view DaemonPrefix = "daemon.";

Duration firstLeaseDelay(const MemberId &gateway)
{
    return MinFirstLeaseDelay + Duration(std::hash<std::string>()(gateway.str()) % static_cast<std::size_t>(FirstLeaseSpread.count()));
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
    , feed_(io)
    , lease_(platform.store(),
             clock,
             platform.daemonKind(),
             ControlLease(settings.id, process),
             LeaseKeeper::Settings{.firstDelay = firstLeaseDelay(settings.id)},
             [this](std::error_code error) { noteStoreResult("lease", error); })
    , controller_(ReplicaControllerSettings{.stallTime = settings.stallTime})
{
    configWatcher_ = std::make_shared<KindWatcher>(io.get_executor(), platform.store(), KindWatcher::Settings{.kind = platform.configKind()}, configHooks());
    serverWatcher_ = std::make_shared<KindWatcher>(io.get_executor(), platform.store(),
                                                   KindWatcher::Settings{.kind = platform.serverKind(), .pause = MinServerPause}, serverHooks());
}

KindWatcher::Hooks FleetControl::configHooks()
{
    KindWatcher::Hooks hooks;
    hooks.onList = [this](const std::vector<StoredObject> &objects) {
        noteStoreResult("configuration", {});
        for (const auto &object : objects) {
            applyConfig(object);
        }
        publishIfChanged();
    };
    hooks.onEvents = [this](std::span<const ObjectEvent> events) {
        noteStoreResult("configuration", {});
        for (const auto &event : events) {
            if (!event.isRemoved) {
                applyConfig(event.object);
            }
        }
        publishIfChanged();
    };
    hooks.onFailure = [this](std::error_code error) {
        noteStoreResult("configuration", error);
    };
    return hooks;
}

KindWatcher::Hooks FleetControl::serverHooks()
{
    KindWatcher::Hooks hooks;
    hooks.onList = [this](const std::vector<StoredObject> &objects) {
        noteStoreResult("servers", {});
        applyServers(objects);
        watchedAt_ = clock_.now();
        // What a list changed is not known one by one: the gateways of the zone see the gap and ask the store.
        publishedRevision_ = serverWatcher_->revision();
        publishChanges({});
    };
    hooks.onEvents = [this](std::span<const ObjectEvent> events) {
        noteStoreResult("servers", {});
        applyServerEvents(events);
        watchedAt_ = clock_.now();
        publishChanges(events);
    };
    hooks.onFailure = [this](std::error_code error) {
        noteStoreResult("servers", error);
    };
    return hooks;
}

std::error_code FleetControl::open(const Endpoint &changes)
{
    return feed_.open(changes, [this](const ChangeNotice &notice) { followNotice(notice); });
}

bool FleetControl::mustWatch(TimePoint now) const
{
    return plan_.isDirect() || plan_.isRelay() || lease_.isHeld() || !follower_.isFed(now);
}

/// Watches the store, or follows it through the relays of the zone.
void FleetControl::updateWatching(TimePoint now)
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
                follower_.isFed(now) ? "role of this gateway" : "no notice from a relay", {{"revision", serverWatcher_->revision()}});
}

void FleetControl::followNotice(const ChangeNotice &notice)
{
    const auto now = clock_.now();
    const auto step = follower_.note(notice, serverWatcher_->revision(), now);
    if (!serverWatcher_->isSuspended()) {
        return;
    }
    // The relay has answers from the store; what this gateway's own last call met is over.
    registry_.noteStoreAnswer(now);
    if (notice.unsettledTime.count() > 0) {
        registry_.deferUntil(now + notice.unsettledTime);
    }
    // A large configuration takes longer than the next notice: a list that is under way is not begun anew.
    if (notice.configVersion > configVersion_ && !configWatcher_->isListDue()) {
        configWatcher_->listAgain();
    }
    if (step == ChangeFollower::Step::CatchUp) {
        serverWatcher_->catchUp();
    }
    if (step == ChangeFollower::Step::Apply) {
        serverWatcher_->advance(notice.toRevision);
        applyServerEvents(notice.changes);
    }
}

/// Tells the gateways of the zone, where this one is their relay.
void FleetControl::publishChanges(std::span<const ObjectEvent> events)
{
    ChangeNotice notice;
    notice.fromRevision = std::exchange(publishedRevision_, serverWatcher_->revision());
    notice.toRevision = publishedRevision_;
    publishedAt_ = clock_.now();
    if (plan_.zonePeers().empty()) {
        return;
    }
    notice.configVersion = configVersion_;
    notice.unsettledTime = registry_.unsettledTime(clock_.now());
    notice.changes.assign(events.begin(), events.end());
    feed_.send(notice, plan_.zonePeers());
}

void FleetControl::sendHeartbeat(TimePoint now)
{
    // A relay that gets no answers from the store itself must not keep others from asking it.
    const bool isCurrent = now - watchedAt_ < RelayAnswerAge && isStoreReachable_ && !serverWatcher_->isSuspended();
    if (plan_.isRelay() && isCurrent && now - publishedAt_ >= HeartbeatInterval) {
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

void FleetControl::noteTraffic()
{
    controller_.noteTraffic();
}

void FleetControl::noteStalled(const VmId &head)
{
    if (drivenTerm_ == 0 || isStopping_) {
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
            controller_.noteSilent(server, startedAt, clock_.now());
            driveReplicas();
        }
    });
}

/// A member whose registration lapsed may be cut off from the store only. As long as it answers, its replica is left alone.
void FleetControl::probeUnlisted(TimePoint now)
{
    const auto &servers = registry_.servers();
    std::erase_if(probedAt_, [&servers](const auto &entry) {
        const auto found = servers.find(entry.first);
        return found == servers.end() || !found->second.isUnlisted;
    });
    for (const auto &[id, server] : servers) {
        if (!server.isUnlisted) {
            continue;
        }
        const auto [entry, isNew] = probedAt_.emplace(id, now);
        if (isNew || now - entry->second >= UnlistedProbeInterval) {
            entry->second = now;
            probe(id, server.address, server.startedAt, "its registration lapsed");
        }
    }
}

void FleetControl::noteStoreResult(std::string_view what, std::error_code error)
{
    const auto now = clock_.now();
    metricsRegistry().count(CounterMetric::PlatformCalls, what);
    if (error) {
        metricsRegistry().count(CounterMetric::PlatformErrors, error.message());
        registry_.noteStoreFailure();
        if (std::exchange(isStoreReachable_, false)) {
            logLine(LogLevel::Warning, "store lost", {{"call", what}, {"error", error.message()}});
        }
        return;
    }
    registry_.noteStoreAnswer(now);
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
        logLine(LogLevel::Error, "configuration cannot be read and is not applied", {{"object_version", object.version}});
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
    if (plan_.isRelay()) {
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
    driveReplicas();
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
    updateWatching(now);
    sendHeartbeat(now);
    const bool isWatching = !serverWatcher_->isSuspended();
    if (now - polledAt_ >= pollInterval() && !isPolling_) {
        pollDaemons();
    }
    if (isWatching && mayLead(now)) {
        lease_.keep();
    }
    driveReplicas();
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

/// Whether this gateway competes for the lease. Not all of a large fleet do, so that its lapse does not make all write at once.
bool FleetControl::mayLead(TimePoint now) const
{
    return plan_.isDirect() || plan_.isRelay() || lease_.isHeld() || now - watchingSince_ >= FollowerPatience;
}

void FleetControl::registerSelf()
{
    isRegistering_ = true;
    const PeerGateway self{settings_.id, settings_.zone, settings_.peer, settings_.changes};
    platform_.store().put(platform_.daemonKind(), std::string(DaemonPrefix) + settings_.id.str(), encodeGateway(self, process_), WriteCondition::always(),
                          [this](std::error_code error, std::uint64_t) {
                              isRegistering_ = false;
                              // A conflict means that another write of this daemon's own record came between; it is written again.
                              isRegistered_ = !error;
                              if (error) {
                                  logLine(LogLevel::Warning, "daemon could not register", {{"error", error.message()}});
                              }
                          });
}

void FleetControl::pollDaemons()
{
    isPolling_ = true;
    polledAt_ = clock_.now();
    platform_.store().listStale(platform_.daemonKind(), [this](std::error_code error, const ListResult &list) {
        isPolling_ = false;
        noteStoreResult("daemons", error);
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
    lease_.noteListed(lease);
    plan_ = RelayPlan(settings_.id, settings_.zone, peers);
    const bool isHolder = lease_.isHeld();
    serverWatcher_->setPause(plan_.isDirect() || isHolder ? MinServerPause : RelayedServerPause);
    serverWatcher_->setWait(plan_.isDirect() ? DirectWait : RelayedWait);
    // While the store is away, gateways whose relays will tell them of its return do not ask for it as often.
    const auto maxRetry = plan_.isDirect() || plan_.isRelay() ? DirectMaxRetry : FollowerMaxRetry;
    serverWatcher_->setMaxRetry(maxRetry);
    configWatcher_->setMaxRetry(maxRetry);
    hooks_.onPeers(std::move(peers));
}

void FleetControl::driveReplicas()
{
    const auto now = clock_.now();
    if (!lease_.isHeld() || isStopping_) {
        if (std::exchange(drivenTerm_, 0) != 0) {
            logLine(LogLevel::Warning, "lease of the replica controller lost", {{"term", lease_.term()}});
        }
        return;
    }
    if (!isReady()) {
        return;
    }
    if (drivenTerm_ != lease_.term()) {
        drivenTerm_ = lease_.term();
        termBegunAt_ = now;
        listsAtTerm_ = serverWatcher_->lists();
        // The first term of all has no predecessor whose last orders could be missing in the list.
        if (drivenTerm_ > 1) {
            serverWatcher_->listAgain();
        }
        controller_.beginTerm(drivenTerm_, now);
        logLine(LogLevel::Info, "lease of the replica controller held", {{"term", drivenTerm_}});
    }
    const bool isSettled = drivenTerm_ == 1 || (now - termBegunAt_ >= TermSettleTime && serverWatcher_->lists() > listsAtTerm_);
    if (!isSettled) {
        return;
    }
    probeUnlisted(now);
    const auto orders = controller_.decide(registry_.servers(), now);
    for (const auto &note : controller_.takeNotes()) {
        logDecision("placement", note.replica.str(), planPhaseName(note.phase), note.reason, {{"term", drivenTerm_}});
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
        controller_.noteOutcome(order, outcome, clock_.now());
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
