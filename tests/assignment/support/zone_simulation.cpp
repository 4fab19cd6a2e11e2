#include "support/zone_simulation.h"

#include "assignment/replica_check.h"
#include "core/result_code.h"

#include <algorithm>

namespace carawaypoint
{
namespace
{

constexpr Duration StepInterval = milliseconds(250);
constexpr Duration OrderTimeout = seconds(1);

/// One daemon's access to the object store; answers are queued while the daemon is paused.
struct SimulatedStore : public ObjectStore {
    SimulatedStore(MemoryObjectStore &platform, ZoneSimulation::Daemon &owner)
        : store(platform)
        , daemon(owner)
    {
    }

    template<typename... Results>
    auto enqueueAnswer(std::function<void(std::error_code, Results...)> handler)
    {
        return [this, handler](std::error_code error, Results... results) {
            daemon.pendingAnswers.push_back([=] { handler(error, results...); });
        };
    }

    template<typename... Results>
    bool refuseIfCutOff(const std::function<void(std::error_code, Results...)> &handler)
    {
        if (daemon.isCutFromPlatform) {
            daemon.pendingAnswers.push_back([=] { handler(ResultCode::PlatformUnavailable, std::decay_t<Results>{}...); });
        }
        return daemon.isCutFromPlatform;
    }

    void fetch(std::string_view kind, std::string_view name, ObjectHandler handler) override
    {
        if (!refuseIfCutOff(handler)) {
            store.fetch(kind, name, enqueueAnswer(handler));
        }
    }
    void put(std::string_view kind, std::string_view name, std::string value, WriteCondition condition, VersionHandler handler) override
    {
        if (!refuseIfCutOff(handler)) {
            store.put(kind, name, std::move(value), condition, enqueueAnswer(handler));
        }
    }
    void remove(std::string_view kind, std::string_view name, WriteCondition condition, DoneHandler handler) override
    {
        if (!refuseIfCutOff(handler)) {
            store.remove(kind, name, condition, enqueueAnswer(handler));
        }
    }
    void list(std::string_view kind, ListHandler handler) override
    {
        if (!refuseIfCutOff(handler)) {
            store.list(kind, enqueueAnswer(handler));
        }
    }
    void watch(std::string_view kind, std::uint64_t afterRevision, Duration wait, WatchHandler handler) override
    {
        if (!refuseIfCutOff(handler)) {
            store.watch(kind, afterRevision, wait, enqueueAnswer(handler));
        }
    }
    void listVms(VmListHandler handler) override
    {
        if (!refuseIfCutOff(handler)) {
            store.listVms(enqueueAnswer(handler));
        }
    }

    MemoryObjectStore &store;
    ZoneSimulation::Daemon &daemon;
};

}

struct SimulatedEngines : public EngineClient {
    SimulatedEngines(ZoneSimulation &zone, std::string daemon)
        : simulation(zone)
        , sender(std::move(daemon))
    {
    }
    void sendOrder(const Endpoint &engine, const EngineOrder &order, OrderHandler handler) override
    {
        simulation.deliverOrder(sender, engine, order, handler);
    }
    void fetchState(const Endpoint &, StateHandler) override
    {
    }
    void fetchCacheEvents(const Endpoint &, std::uint64_t, CacheHandler) override
    {
    }

    ZoneSimulation &simulation;
    std::string sender;
};

struct SimulatedPeers : public FormerControllerClient {
    SimulatedPeers(ZoneSimulation &zone, std::string daemon)
        : simulation(zone)
        , sender(std::move(daemon))
    {
    }
    void confirmNoOrdersInFlight(const ControllerRef &former, const DomainKey &domain, std::uint64_t presentEpoch, ReplyHandler handler) override
    {
        auto &asker = *simulation.daemons.at(sender);
        const auto asked = simulation.daemons.find(former.daemon.str());
        if (asked == simulation.daemons.end() || asked->second->isPaused) {
            asker.pendingAnswers.push_back([handler] { handler(ResultCode::PeerUnavailable, {}); });
            return;
        }
        const auto reply = asked->second->controller->answerConfirmation(domain, presentEpoch, former.process);
        asker.pendingAnswers.push_back([handler, reply] { handler({}, reply); });
    }

    ZoneSimulation &simulation;
    std::string sender;
};

void ZoneSimulation::Daemon::pause(TimePoint now)
{
    isPaused = true;
    pausedAt = now;
}

void ZoneSimulation::Daemon::deliverDelayedOrders(TimePoint now, Duration lifetime)
{
    delaysOrders = false;
    const auto ranUntil = isPaused ? pausedAt : now;
    for (const auto &order : std::exchange(delayedOrders, {})) {
        if (ranUntil - order.at < lifetime) {
            order.action();
        }
    }
}

void ZoneSimulation::Daemon::resume()
{
    isPaused = false;
    controller->handlePause();
}

ZoneSimulation::ZoneSimulation(AssignmentSettings zoneSettings, bool checksFencing)
    : settings(std::move(zoneSettings))
    , checksFencing_(checksFencing)
{
    settings.enginesCheckFencing["pool"] = checksFencing;
}

ZoneSimulation::~ZoneSimulation() = default;

void ZoneSimulation::addDomain(const std::string &name, int vms)
{
    for (int index = 0; index < vms; ++index) {
        const VmId id(name + "-" + std::to_string(100 + index));
        const Endpoint address{"10.0.0.1", static_cast<std::uint16_t>(engines.size() + 1)};
        auto &engine = engines[id];
        engine.domain = FabricDomainId(name);
        engine.checksFencing = checksFencing_;
        engine.state.vm = id;
        engine.state.processIncarnation = ++lastProcess_;
        inventory.push_back({id, address, ZoneId("z"), engine.domain, "pool", false});
    }
}

ZoneSimulation::Daemon &ZoneSimulation::addDaemon(const std::string &name)
{
    auto &daemon = daemons[name];
    daemon = std::make_unique<Daemon>();
    daemon->name = name;
    daemon->store = std::make_unique<SimulatedStore>(store, *daemon);
    daemon->engines = std::make_unique<SimulatedEngines>(*this, name);
    daemon->peers = std::make_unique<SimulatedPeers>(*this, name);
    const ControllerRef self{MemberId(name), {"10.1.0.1", 1}, ++lastProcess_, 0};
    const ControllerPorts ports{daemon->store.get(), daemon->engines.get(), daemon->peers.get(), &clock};
    daemon->controller = Controller::Builder(context.get_executor(), ZoneId("z"), self, ports).settings(settings).build();
    daemon->controller->setWatcher(true);
    std::vector<MemberId> members;
    for (const auto &[other, entry] : daemons) {
        members.emplace_back(other);
    }
    for (const auto &[other, entry] : daemons) {
        entry->controller->setLiveMembers(members);
    }
    return *daemon;
}

void ZoneSimulation::run(Duration time)
{
    runUntil([] { return false; }, time);
}

void ZoneSimulation::step()
{
    clock.advance(StepInterval);
    std::vector<TimedAction> due;
    std::erase_if(timedActions_, [&](const TimedAction &timed) {
        if (timed.at <= clock.now()) {
            due.push_back(timed);
        }
        return timed.at <= clock.now();
    });
    for (const auto &timed : due) {
        timed.action();
    }
    loadWeights();
    for (auto &[name, daemon] : daemons) {
        if (daemon->isPaused) {
            continue;
        }
        if (!daemon->isCutFromPlatform) {
            daemon->controller->setInventory(inventory);
        }
        for (const auto &[id, engine] : engines) {
            if (engine.isAlive) {
                daemon->controller->observe(id, {clock.now(), engine.state});
            }
        }
        daemon->controller->tick();
    }
    for (int round = 0; round < 4; ++round) {
        context.restart();
        context.poll();
        for (auto &[name, daemon] : daemons) {
            while (!daemon->isPaused && !daemon->pendingAnswers.empty()) {
                const auto action = std::move(daemon->pendingAnswers.front());
                daemon->pendingAnswers.pop_front();
                action();
            }
        }
    }
}

void ZoneSimulation::loadWeights()
{
    std::vector<Engine *> loading;
    for (auto &[id, engine] : engines) {
        if (engine.isAlive && engine.state.role != EngineRole::None && !engine.state.isLoaded) {
            loading.push_back(&engine);
        }
    }
    const double share = loading.empty() ? 0 : loadsPerSecond * std::chrono::duration<double>(StepInterval).count() / static_cast<double>(loading.size());
    for (auto *engine : loading) {
        engine->loadedShare += share;
        engine->state.loadProgress = std::min(1.0, engine->loadedShare);
        if (engine->loadedShare >= 1 - 1e-9) {
            engine->state.isLoaded = true;
            engine->state.cachedModels = {engine->state.model};
        }
    }
}

void ZoneSimulation::deliverOrder(const std::string &sender, const Endpoint &address, const EngineOrder &order, const EngineClient::OrderHandler &handler)
{
    auto &daemon = *daemons.at(sender);
    auto arriveAtEngine = [this, &daemon, address, order, handler] {
        const auto record = std::find_if(inventory.begin(), inventory.end(), [&](const VmRecord &vm) { return vm.address == address; });
        const auto found = record == inventory.end() ? engines.end() : engines.find(record->id);
        const bool isAnswered = found != engines.end() && found->second.isAlive && !daemon.losesOrderAnswers;
        const auto result = found != engines.end() && found->second.isAlive ? executeOrder(found->second, order) : std::error_code();
        if (isAnswered) {
            daemon.pendingAnswers.push_back([handler, result] { handler(result); });
        }
        return isAnswered;
    };
    if (daemon.delaysOrders) {
        // The connection times out while the order itself stays in flight.
        daemon.delayedOrders.push_back({clock.now(), [arriveAtEngine] {
                                            arriveAtEngine();
                                        }});
        timedActions_.push_back({clock.now() + OrderTimeout, [&daemon, handler] {
                                     daemon.pendingAnswers.push_back([handler] { handler(ResultCode::BackendTimeout); });
                                 }});
        return;
    }
    timedActions_.push_back({clock.now(), [this, arriveAtEngine, handler, &daemon] {
                                 if (!arriveAtEngine()) {
                                     timedActions_.push_back({clock.now() + OrderTimeout, [&daemon, handler] {
                                                                  daemon.pendingAnswers.push_back([handler] { handler(ResultCode::BackendTimeout); });
                                                              }});
                                 }
                             }});
}

std::error_code ZoneSimulation::executeOrder(Engine &engine, const EngineOrder &order)
{
    auto &state = engine.state;
    if (engine.checksFencing && order.fence < state.fence) {
        return ResultCode::OrderStale;
    }
    checkOrderAgainstRecord(engine, order);
    const bool hasModel = order.role != EngineRole::None
        && std::find(state.cachedModels.begin(), state.cachedModels.end(), order.model) != state.cachedModels.end() && state.version == order.version;
    const bool isSame = state.replica == order.replica && state.fence == order.fence && state.role == order.role;
    state.fence = order.fence;
    state.replica = order.replica;
    state.role = order.role;
    state.model = order.model;
    if (!isSame) {
        engine.loadedShare = hasModel ? 1 : state.version == order.version ? engine.loadedShare : 0;
        state.isLoaded = hasModel;
    }
    state.version = order.role == EngineRole::None ? state.version : order.version;
    return {};
}

void ZoneSimulation::checkOrderAgainstRecord(const Engine &engine, const EngineOrder &order)
{
    const auto record = stored(engine.domain.str());
    const auto *vm = record.vm(engine.state.vm);
    const bool isAllowed = vm && (order.replica.isEmpty() || vm->replica == order.replica);
    if (!isAllowed) {
        violations.push_back(engine.state.vm.str() + " ordered into " + order.replica.str() + " while recorded in '" + (vm ? vm->replica.str() : "?") + "'");
    }
}

void ZoneSimulation::kill(const std::string &vm)
{
    engine(vm).isAlive = false;
}

void ZoneSimulation::restart(const std::string &vm)
{
    auto &target = engine(vm);
    target.isAlive = true;
    target.loadedShare = 0;
    target.state = {};
    target.state.vm = VmId(vm);
    target.state.processIncarnation = ++lastProcess_;
}

void ZoneSimulation::setDomainUnreachable(const std::string &domain, bool isDark)
{
    for (auto &[id, engine] : engines) {
        if (engine.domain.str() == domain && isDark) {
            kill(id.str());
        } else if (engine.domain.str() == domain) {
            restart(id.str());
        }
    }
}

DomainRecord ZoneSimulation::stored(const std::string &domain)
{
    const auto copy = store.copy();
    const auto found = copy.objects.find({"domain", "z." + domain});
    return found == copy.objects.end() ? DomainRecord{} : decodeDomainRecord(found->second.value).value_or(DomainRecord{});
}

std::size_t ZoneSimulation::completeReplicas()
{
    std::size_t whole = 0;
    const auto copy = store.copy();
    for (const auto &[key, object] : copy.objects) {
        const auto record = decodeDomainRecord(object.value);
        if (!record) {
            continue;
        }
        whole += static_cast<std::size_t>(std::count_if(record->replicas.begin(), record->replicas.end(), [&](const ReplicaEntry &replica) {
            return replica.members.size() == replica.expectedMembers && std::all_of(replica.members.begin(), replica.members.end(), [&](const VmId &id) {
                       const auto &engine = engines.at(id);
                       return engine.isAlive && engine.state.isLoaded && checkPlacement(*record, id, engine.state) == PlacementCheck::Matches;
                   });
        }));
    }
    return whole;
}

std::vector<std::string> ZoneSimulation::holders(const std::string &domain)
{
    std::vector<std::string> names;
    for (const auto &[name, daemon] : daemons) {
        if (daemon->controller->holdsLease({ZoneId("z"), FabricDomainId(domain)})) {
            names.push_back(name);
        }
    }
    return names;
}

}
