#include "gateway/fleet_control.h"

#include "core/result_code.h"
#include "gateway/fleet_records.h"
#include "objects/store_version.h"
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
/// Same before the first answer, without which a gateway serves nothing.
constexpr Duration FirstPollInterval = milliseconds(600);
/// Same just after the start of a new fleet, while other gateways register.
constexpr Duration NewFleetPollInterval = milliseconds(450);
constexpr Duration NewFleetPollTime = milliseconds(1500);
/// Same for a follower that has started recently, whose first list may have been some seconds old.
constexpr Duration StartPollInterval = seconds(3);
constexpr Duration StartPollTime = seconds(5);
/// Same while the store does not answer; the watch calls detect when it does again.
constexpr Duration UnreachablePollInterval = seconds(3);
/// Time for which a gateway that is not a relay watches the store before it competes for the lease; relays take it sooner.
constexpr Duration FollowerLeaseDelay = seconds(5);
/// Delay before the first lease of a fleet is taken. By then the gateways have registered and know which of them are relays.
constexpr Duration MinFirstLeaseDelay = milliseconds(1200);
constexpr Duration FirstLeaseJitter = milliseconds(500);
/// A new holder of the lease waits this long, so that the list shows the effects of its predecessor's last orders.
constexpr Duration TermStartDelay = milliseconds(600);
/// Interval at which the holder of the lease takes over the load of the models from the traffic thread.
constexpr Duration LoadInterval = milliseconds(300);
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
    , mirror_(io,
              clock,
              platform,
              {.onChange = [this] { publishIfChanged(); },
               .onStoreResult = [this](std::string_view what, std::error_code error, Duration callTime) { recordStoreResult(what, error, callTime); },
               .onRelayedRestoration =
                   [this] {
                       onStoreRestored();
                   }})
    , lease_(platform.store(),
             leaseClock_,
             platform.daemonKind(),
             ControlLease(settings.id, process),
             LeaseKeeper::Settings{.firstTakeDelay = firstLeaseDelay(settings.id)},
             [this](std::error_code error, Duration callTime) { recordStoreResult("lease", error, callTime); })
    , controller_(ReplicaControllerSettings{.stallTime = settings.stallTime})
    , prober_(platform.orders(), [this](const VmId &server, std::uint64_t startedAt) {
        controller_.recordUnresponsive(server, startedAt, clock_.now());
        runReplicaController();
    })
{
    platform.store().setRestorationHandler([this](std::uint64_t, std::uint64_t) { onStoreRestored(); });
}

std::error_code FleetControl::open(const Endpoint &changes)
{
    return mirror_.open(changes);
}

void FleetControl::start()
{
    startedAt_ = clock_.now();
    tick();
}

void FleetControl::recordTraffic()
{
    controller_.recordTraffic();
}

void FleetControl::setLoad(FleetLoad load)
{
    for (const auto &model : load.models) {
        metricsRegistry().set(GaugeMetric::ModelRequests, model.model.str(), model.requests);
        metricsRegistry().set(GaugeMetric::ModelUnmetRequests, model.model.str(), model.unmetRequests);
    }
    controller_.setLoad(std::move(load));
}

void FleetControl::onServerStalled(const VmId &head)
{
    if (activeTerm_ == 0 || isStopping_) {
        return;
    }
    for (const auto &member : controller_.membersOf(head)) {
        prober_.probe(member.id, member.address, member.startedAt, "its replica is stalled");
    }
}

void FleetControl::recordStoreResult(std::string_view what, std::error_code error, Duration callTime)
{
    metricsRegistry().count(CounterMetric::PlatformCalls, what);
    if (error) {
        metricsRegistry().count(CounterMetric::PlatformErrors, error.message());
    }
    const bool wasAnswering = mirror_.isStoreAnswering();
    mirror_.recordStoreResult(error, callTime);
    if (wasAnswering && !mirror_.isStoreAnswering()) {
        logLine(LogLevel::Warning, "store lost",
                {{"call", what},
                 {"error", error.message()},
                 {"era", storeEraOf(mirror_.configRevision())},
                 {"config_revision", storeCounterOf(mirror_.configRevision())},
                 {"server_revision", storeCounterOf(mirror_.serverRevision())}});
    } else if (!wasAnswering && mirror_.isStoreAnswering()) {
        logLine(LogLevel::Info, "store regained",
                {{"call", what},
                 {"era", storeEraOf(mirror_.configRevision())},
                 {"config_revision", storeCounterOf(mirror_.configRevision())},
                 {"server_revision", storeCounterOf(mirror_.serverRevision())}});
        polledAt_ = {};
    }
}

void FleetControl::onStoreRestored()
{
    lease_.onStoreRestored();
    mirror_.onStoreRestored();
    isRegistered_ = false;
    polledAt_ = {};
}

void FleetControl::publishIfChanged()
{
    isPublishPending_ = mirror_.takeChange() || isPublishPending_;
    if (!isPublishPending_ || !isReady()) {
        return;
    }
    isPublishPending_ = false;
    controller_.setConfig(mirror_.config());
    hooks_.onSnapshot(std::make_shared<const FleetSnapshot>(mirror_.config(), mirror_.servers()));
    if (!isStopping_) {
        runReplicaController();
    }
}

void FleetControl::tick()
{
    publishIfChanged();
    mirror_.tick(lease_.isHeld());
    if (!isStopping_) {
        control(clock_.now());
    }
    tickTimer_.expires_after(TickInterval);
    tickTimer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            tick();
        }
    });
}

void FleetControl::control(TimePoint now)
{
    if (now - polledAt_ >= pollInterval() && !isPolling_) {
        pollDaemons();
    }
    if (mirror_.isWatching() && areServersReachable_ && mayCompeteForLease(now)) {
        lease_.update();
    }
    runReplicaController();
}

Duration FleetControl::pollInterval() const
{
    const auto age = clock_.now() - startedAt_;
    if (!mirror_.isStarted()) {
        return FirstPollInterval;
    }
    if (isNewFleet_ && age < NewFleetPollTime) {
        return NewFleetPollInterval;
    }
    // While the store is unavailable, a follower probes it for the configuration; its relays do not change meanwhile.
    const bool isFollower = mirror_.isStarted() && !mirror_.isWatching() && !mirror_.plan().isRelay();
    if (isFollower) {
        return age < StartPollTime ? StartPollInterval : FollowerPollInterval;
    }
    return mirror_.isStoreAnswering() ? PollInterval : UnreachablePollInterval;
}

/// Whether this gateway competes for the lease. In a large fleet only some do, so that not all write at the same time when it lapses.
bool FleetControl::mayCompeteForLease(TimePoint now) const
{
    return mirror_.plan().isDirect() || mirror_.plan().isRelay() || lease_.isHeld() || now - mirror_.watchingSince() >= FollowerLeaseDelay;
}

PeerGateway FleetControl::self() const
{
    return {settings_.id, settings_.zone, settings_.peer, settings_.changes, settings_.linkMbps};
}

/// Writes the record of this daemon, if the list has none or an outdated one.
void FleetControl::registerSelf()
{
    if (isRegistered_ || isRegistering_) {
        return;
    }
    isRegistering_ = true;
    const auto condition = isRecordMissing_ ? WriteCondition::ifAbsent() : WriteCondition::always();
    platform_.store().put(platform_.daemonKind(), std::string(DaemonPrefix) + settings_.id.str(), encodeGateway(self(), process_), condition,
                          [this](std::error_code error, std::uint64_t) {
                              isRegistering_ = false;
                              // A conflict is caused by a record that the list did not show yet; it is replaced after the next list.
                              isRegistered_ = !error;
                              isRecordMissing_ = false;
                              if (error) {
                                  logLine(LogLevel::Warning, "cannot register this daemon in the store", {{"error", error.message()}});
                              }
                          });
}

void FleetControl::pollDaemons()
{
    isPolling_ = true;
    const auto sentAt = clock_.now();
    polledAt_ = sentAt;
    platform_.store().listStale(platform_.daemonKind(), [this, sentAt](std::error_code error, const ListResult &list) {
        isPolling_ = false;
        recordStoreResult("daemons", error, clock_.now() - sentAt);
        if (!error) {
            applyDaemons(list);
        }
    });
}

void FleetControl::applyDaemons(const ListResult &list)
{
    std::vector<PeerGateway> peers;
    const StoredObject *lease = nullptr;
    const auto ownName = std::string(DaemonPrefix) + settings_.id.str();
    bool isListed = false;
    for (const auto &object : list.objects) {
        if (object.name == LeaseKeeper::ObjectName) {
            lease = &object;
            continue;
        }
        auto peer = decodeGateway(object.value);
        if (!peer) {
            continue;
        }
        peer->id = MemberId(object.name.substr(std::min(DaemonPrefix.size(), object.name.size())));
        if (object.name == ownName) {
            isListed = true;
            isRegistered_ = isRegistered_ || *peer == self();
        } else if (peer->address != settings_.peer) {
            peers.push_back(*std::move(peer));
        }
    }
    isRecordMissing_ = !isListed;
    registerSelf();
    lease_.onLeaseRead(lease, list.revision);
    isNewFleet_ = lease == nullptr;
    mirror_.setPlan(RelayPlan(self(), peers), lease_.isHeld());
    if (!mirror_.isStarted()) {
        mirror_.start(isNewFleet_);
    }
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
    if (!lease_.mayAct() || !isReady()) {
        return;
    }
    if (activeTerm_ != lease_.term()) {
        activeTerm_ = lease_.term();
        termStartedAt_ = now;
        listCountAtTermStart_ = mirror_.serverListCount();
        // The first term has no predecessor whose last orders could be missing from the list.
        if (lease_.hasPredecessor()) {
            mirror_.relistServers();
        }
        controller_.startTerm(activeTerm_, now);
        logLine(LogLevel::Info, "lease of the replica controller held", {{"term", activeTerm_}});
    }
    const bool isSettled = !lease_.hasPredecessor() || (now - termStartedAt_ >= TermStartDelay && mirror_.serverListCount() > listCountAtTermStart_);
    if (!isSettled) {
        return;
    }
    prober_.probeLapsed(mirror_.servers(), now);
    if (now - loadRequestedAt_ >= LoadInterval) {
        loadRequestedAt_ = now;
        hooks_.requestLoad();
    }
    const auto orders = controller_.decide(mirror_.servers(), now);
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
        if (outcome == OrderOutcome::Stale) {
            logDecision("lease", settings_.id.str(), "in doubt", "a server has seen a higher term or epoch",
                        {{"server", order.server.str()}, {"term", order.term}});
            lease_.onOrderRefused();
        }
    });
}

void FleetControl::setServersReachable(bool areReachable)
{
    areServersReachable_ = areReachable;
    if (!areReachable && !isStopping_) {
        lease_.release([] {});
    }
}

void FleetControl::stop()
{
    if (!std::exchange(isStopping_, true)) {
        lease_.release([] {});
    }
}

}
