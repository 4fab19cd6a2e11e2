#include "gateway/store_mirror.h"

#include "objects/store_version.h"
#include "observe/log.h"
#include "observe/metrics.h"

#include <algorithm>
#include <utility>

namespace carawaypoint
{

namespace
{

/// Pause after a change of servers; changes within it are fetched together. The holder of the lease, which acts on them, uses the
/// shortest pause.
constexpr Duration DirectServerPause = milliseconds(120);
/// Same for relays, so that their calls do not grow with the fleet. Including the delay to the gateways of the zone, it stays well below the
/// time after which a leaving server must get no more requests.
constexpr Duration RelayedServerPause = milliseconds(400);
/// Maximum duration of a watch call; limits the time until a dead connection is detected.
constexpr Duration DirectWait = milliseconds(2500);
/// Same for relays, on which the gateways of their zone depend.
constexpr Duration RelayedServerWait = milliseconds(500);
constexpr Duration RelayedConfigWait = milliseconds(1000);
/// Maximum delay between calls to a store that does not answer.
constexpr Duration DirectMaxRetryDelay = milliseconds(600);
constexpr Duration FollowerMaxRetryDelay = milliseconds(3200);
/// First delay after a failed call. When the store is unavailable to all, the calls of all followers come at once.
constexpr Duration DirectRetryDelay = milliseconds(150);
constexpr Duration FollowerRetryDelay = milliseconds(1600);
/// In a new fleet, the gateways have registered by then and know which of them are relays.
constexpr Duration NewFleetHold = milliseconds(1500);

}

StoreMirror::StoreMirror(boost::asio::io_context &io, const Clock &clock, FleetPlatform &platform, Hooks hooks)
    : clock_(clock)
    , platform_(platform)
    , hooks_(std::move(hooks))
    , relay_(io, relayHooks())
    , unreadableConfigs_(platform.configKind(), LogLevel::Error)
    , unreadableServers_(platform.serverKind(), LogLevel::Warning)
{
    configWatcher_ = std::make_shared<KindWatcher>(io.get_executor(), platform.store(), KindWatcher::Settings{.kind = platform.configKind()}, configHooks());
    serverWatcher_ = std::make_shared<KindWatcher>(io.get_executor(), platform.store(),
                                                   KindWatcher::Settings{.kind = platform.serverKind(), .pause = DirectServerPause}, serverHooks());
}

KindWatcher::Hooks StoreMirror::configHooks()
{
    const auto apply = [this](const StoredObject &object) {
        if (applyConfig(object.version, object)) {
            relay_.publishConfig(object.value, clock_.now());
        }
    };
    KindWatcher::Hooks hooks;
    hooks.onList = [this, apply](const std::vector<StoredObject> &objects) {
        onConfigAnswer();
        std::for_each(objects.begin(), objects.end(), apply);
        isConfigConfirmed_ = isConfigConfirmed_ || !configWatcher_->isListStale();
        hooks_.onChange();
    };
    hooks.onEvents = [this, apply](std::span<const ObjectEvent> events) {
        onConfigAnswer();
        for (const auto &event : events) {
            if (!event.isRemoved) {
                apply(event.object);
            }
        }
        isConfigConfirmed_ = true;
        hooks_.onChange();
    };
    hooks.onFailure = [this](std::error_code error, Duration callTime) {
        hooks_.onStoreResult("configuration", error, callTime);
        configState_.recordFailure();
    };
    return hooks;
}

KindWatcher::Hooks StoreMirror::serverHooks()
{
    KindWatcher::Hooks hooks;
    hooks.onList = [this](const std::vector<StoredObject> &objects) {
        hooks_.onStoreResult("servers", {}, {});
        applyServers(objects);
        appliedRevision_ = serverWatcher_->revision();
        serverState_.recordAnswer(clock_.now());
        isServersConfirmed_ = isServersConfirmed_ || !serverWatcher_->isListStale();
        relay_.publishList(objects, clock_.now());
        hooks_.onChange();
    };
    hooks.onEvents = [this](std::span<const ObjectEvent> events) {
        hooks_.onStoreResult("servers", {}, {});
        applyServerEvents(events);
        const auto from = std::exchange(appliedRevision_, serverWatcher_->revision());
        serverState_.recordAnswer(clock_.now());
        isServersConfirmed_ = true;
        relay_.publishChanges(from, events, clock_.now());
        hooks_.onChange();
    };
    hooks.onFailure = [this](std::error_code error, Duration callTime) {
        hooks_.onStoreResult("servers", error, callTime);
        serverState_.recordFailure();
    };
    return hooks;
}

ChangeRelay::Hooks StoreMirror::relayHooks()
{
    ChangeRelay::Hooks hooks;
    hooks.known = [this] {
        return ChangeRelay::Known{appliedRevision_, configVersion_, registry_.remainingDeferral(clock_.now()), isReady()};
    };
    hooks.isFollowing = [this] {
        return serverWatcher_->isSuspended();
    };
    hooks.onNotice = [this](const ChangeNotice &notice) {
        // The relay receives answers from the store, so an earlier failure of this gateway's own calls no longer counts.
        recordStoreAnswer();
        if (notice.remainingDeferral.count() > 0) {
            registry_.deferRemovalsUntil(clock_.now() + notice.remainingDeferral);
        }
    };
    hooks.onChanges = [this](const ChangeNotice &notice) {
        if (serverWatcher_->listCount() == 0) {
            return;
        }
        serverWatcher_->advance(notice.toRevision);
        appliedRevision_ = std::max(appliedRevision_, notice.toRevision);
        applyServerEvents(notice.changes);
        hooks_.onChange();
    };
    hooks.onList = [this](std::span<const StoredObject> objects, std::uint64_t revision) {
        const bool isRestored = appliedRevision_ != 0 && storeEraOf(revision) > storeEraOf(appliedRevision_);
        serverWatcher_->adoptList(revision);
        appliedRevision_ = revision;
        if (isRestored) {
            hooks_.onRelayedRestoration();
        }
        applyServers(objects);
        confirmIfCurrent();
        hooks_.onChange();
    };
    hooks.onConfig = [this](std::uint64_t version, std::string text) {
        if (configWatcher_->isSuspended() && !configWatcher_->isListDue()) {
            configWatcher_->adoptList(version);
        }
        applyConfig(version, {.kind = platform_.configKind(), .name = platform_.configName(), .version = version, .value = std::move(text)});
        confirmIfCurrent();
        hooks_.onChange();
    };
    hooks.askStore = [this] {
        fetchMissing();
    };
    return hooks;
}

StoreMirror::~StoreMirror()
{
    // Calls to the store that are in flight keep the watchers, whose hooks use this object.
    configWatcher_->stop();
    serverWatcher_->stop();
}

std::error_code StoreMirror::open(const Endpoint &changes)
{
    return relay_.open(changes);
}

void StoreMirror::start(bool isNewFleet)
{
    const auto now = clock_.now();
    isStarted_ = true;
    watchingSince_ = now;
    followingSince_ = now;
    // The other gateways of its zone wait for the first relay, so its lists must be current without a further call.
    const bool isFirstRelay = plan().isRelay() && plan().relayRank() == 0;
    if ((plan().isDirect() || isFirstRelay) && !isNewFleet) {
        configWatcher_->start();
        serverWatcher_->start();
        return;
    }
    heldUntil_ = isNewFleet ? now + NewFleetHold : now;
    relay_.requireNotice();
    const bool hasRelays = !isNewFleet && !plan().isRelay() && !plan().reportReceivers().empty();
    if (hasRelays) {
        configWatcher_->startFollowing();
        serverWatcher_->startFollowing();
        relay_.askForMissing(now);
        return;
    }
    configWatcher_->startSuspended();
    serverWatcher_->startSuspended();
}

void StoreMirror::relistServers()
{
    serverWatcher_->relist();
}

void StoreMirror::onStoreRestored()
{
    registry_.recordRestoration(clock_.now());
    for (const auto &watcher : {configWatcher_, serverWatcher_}) {
        if (isStarted_ && !watcher->isSuspended()) {
            watcher->relist();
        }
    }
}

void StoreMirror::recordStoreResult(std::error_code error, Duration callTime)
{
    if (!error) {
        recordStoreAnswer();
    } else if (reachability_.recordFailure(clock_.now() - callTime)) {
        registry_.recordStoreFailure();
    }
}

void StoreMirror::recordStoreAnswer()
{
    const auto now = clock_.now();
    registry_.recordStoreAnswer(now);
    if (reachability_.recordAnswer(now)) {
        configWatcher_->confirm();
        serverWatcher_->confirm();
    }
}

void StoreMirror::setPlan(const RelayPlan &plan, bool isLeaseHolder)
{
    relay_.setPlan(plan);
    serverWatcher_->setPause(plan.isDirect() || isLeaseHolder ? DirectServerPause : RelayedServerPause);
    serverWatcher_->setWait(plan.isDirect() ? DirectWait : RelayedServerWait);
    configWatcher_->setWait(plan.isDirect() ? DirectWait : RelayedConfigWait);
    // While the store is unavailable, gateways that learn of its recovery from relays call it less often.
    const bool isFollower = !plan.isDirect() && !plan.isRelay();
    for (const auto &watcher : {configWatcher_, serverWatcher_}) {
        watcher->setRetryDelays(isFollower ? FollowerRetryDelay : DirectRetryDelay, isFollower ? FollowerMaxRetryDelay : DirectMaxRetryDelay);
    }
}

bool StoreMirror::mustWatch(bool isLeaseHolder, TimePoint now) const
{
    const bool isFirstRelay = plan().isRelay() && plan().relayRank() == 0;
    if (isFirstRelay || isLeaseHolder) {
        return true;
    }
    if (now < heldUntil_) {
        return false;
    }
    const auto timeout = plan().isRelay() ? ChangeFollower::NoticeTimeout : ChangeFollower::SecondRelayTimeout;
    const bool isPatient = !plan().isDirect() && now - std::max(followingSince_, heldUntil_) < timeout;
    return plan().isDirect() || !(isPatient || relay_.follower().receivesNotices(now, timeout));
}

/// Switches between watching the store and following it through the relays of the zone.
void StoreMirror::updateWatchMode(bool isLeaseHolder, TimePoint now)
{
    const bool isActive = isWatching() || isProbing_;
    if (mustWatch(isLeaseHolder, now) == isActive) {
        return;
    }
    if (isActive) {
        stopWatching(now);
    } else {
        startWatching(isLeaseHolder, now);
    }
}

/// When the store is unavailable, the relays fall silent and all gateways come here at once. Those that are not relays then make calls for one
/// kind of objects only.
void StoreMirror::startWatching(bool isLeaseHolder, TimePoint now)
{
    watchingSince_ = now;
    configWatcher_->resume();
    isProbing_ = !plan().isDirect() && !plan().isRelay() && !isLeaseHolder;
    if (!isProbing_) {
        serverWatcher_->resume();
    }
    logDecision("store", "changes", isProbing_ ? "probed" : "watched",
                relay_.follower().receivesNotices(now) ? "role of this gateway" : "no notice from a relay", {{"revision", appliedRevision_}});
}

void StoreMirror::stopWatching(TimePoint now)
{
    if (isProbing_ ? !configWatcher_->suspend() : !isReady()) {
        return;
    }
    if (!std::exchange(isProbing_, false) && configWatcher_->suspend() && !serverWatcher_->suspend()) {
        configWatcher_->resume();
    }
    followingSince_ = now;
    logDecision("store", "changes", "followed through relays", "a relay sends notices", {{"revision", appliedRevision_}});
}

void StoreMirror::onConfigAnswer()
{
    hooks_.onStoreResult("configuration", {}, {});
    configState_.recordAnswer(clock_.now());
    if (std::exchange(isProbing_, false)) {
        serverWatcher_->resume();
    }
}

void StoreMirror::tick(bool isLeaseHolder)
{
    if (!isStarted_) {
        return;
    }
    const auto now = clock_.now();
    updateWatchMode(isLeaseHolder, now);
    // A relay without answers from the store must not send notices, which would keep other gateways from calling the store.
    if (isWatching() && configState_.isCurrent(now) && serverState_.isCurrent(now)) {
        relay_.sendHeartbeat(now);
    }
    if (!serverWatcher_->isListDue() && now >= heldUntil_) {
        relay_.askForMissing(now);
    }
    confirmIfCurrent();
}

/// A follower that knows all that the relays have named is as current as they are.
void StoreMirror::confirmIfCurrent()
{
    const bool isCurrent = !isWatching() && serverWatcher_->listCount() > 0 && relay_.follower().isCurrent(appliedRevision_, configVersion_);
    if (isCurrent && !isReady()) {
        isConfigConfirmed_ = true;
        isServersConfirmed_ = true;
        hooks_.onChange();
    }
}

void StoreMirror::fetchMissing()
{
    logDecision("store", "changes", "fetched", "the relays did not send them", {{"revision", appliedRevision_}, {"object_version", configVersion_}});
    const auto &follower = relay_.follower();
    if (serverWatcher_->listCount() == 0) {
        serverWatcher_->relist();
    } else if (follower.areChangesMissing(appliedRevision_)) {
        serverWatcher_->catchUp();
    }
    // Loading a large configuration may take longer than the time between requests, so a list in progress is not restarted.
    if (follower.isConfigMissing(configVersion_) && !configWatcher_->isListDue()) {
        configWatcher_->relist();
    }
}

bool StoreMirror::takeChange()
{
    const bool isServersChanged = registry_.takeChange(clock_.now());
    return std::exchange(isConfigChanged_, false) || isServersChanged;
}

bool StoreMirror::applyConfig(std::uint64_t objectVersion, const StoredObject &object)
{
    if (object.name != platform_.configName()) {
        return false;
    }
    auto config = platform_.decodeConfig(object);
    if (!config) {
        unreadableConfigs_.report(object);
        return false;
    }
    const bool isNewObject = objectVersion > configVersion_;
    configVersion_ = std::max(configVersion_, objectVersion);
    if (config_ && config->version <= config_->version) {
        return isNewObject;
    }
    logDecision("configuration", "fleet", "applied", "the store holds a newer version",
                {{"version", config->version},
                 {"era", storeEraOf(objectVersion)},
                 {"object_version", storeCounterOf(objectVersion)},
                 {"routes", static_cast<std::uint64_t>(config->routeCount())}});
    metricsRegistry().set(GaugeMetric::ConfigGeneration, {}, static_cast<double>(config->version));
    config_ = std::move(config);
    isConfigChanged_ = true;
    return isNewObject;
}

void StoreMirror::applyServers(std::span<const StoredObject> objects)
{
    ServerMap servers;
    for (const auto &object : objects) {
        if (auto server = platform_.decodeServer(object)) {
            const auto id = server->id;
            servers.insert_or_assign(id, *std::move(server));
        } else {
            leaveOut(object);
        }
    }
    logLine(LogLevel::Info, "servers listed", {{"servers", static_cast<std::uint64_t>(servers.size())}});
    registry_.replaceAll(std::move(servers), clock_.now());
}

/// The registration @p object names no server that can be used.
void StoreMirror::leaveOut(const StoredObject &object)
{
    unreadableServers_.report(object);
    registry_.discard(VmId(object.name));
}

void StoreMirror::applyServerEvents(std::span<const ObjectEvent> events)
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
            leaveOut(event.object);
            continue;
        }
        if (server->isLeaving) {
            logLine(LogLevel::Info, "server is leaving", {{"server", id.str()}, {"object_version", event.object.version}});
        }
        registry_.set(*std::move(server));
    }
}

}
