#pragma once

#include "assignment/controller.h"
#include "objects/memory_object_store.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace carawaypoint
{

/// Simulates one zone on a virtual clock: engines that share a weight store, and daemons whose controllers contend for the
/// leases of its domains.
class ZoneSimulation
{
public:
    struct Engine {
        EngineState state;
        FabricDomainId domain;
        bool checksFencing = false;
        bool isAlive = true;
        double loadedShare = 0; // part of the weights that is loaded, 0 to 1
    };

    struct TimedAction {
        TimePoint at;
        std::function<void()> action;
    };

    struct Daemon;

    explicit ZoneSimulation(AssignmentSettings settings, bool checksFencing = false);
    ~ZoneSimulation();

    void addDomain(const std::string &name, int vms);
    Daemon &addDaemon(const std::string &name);
    /// Advances the simulation by @p time in steps of 250 ms.
    void run(Duration time);
    /// Runs until @p condition holds, at most for @p limit. Returns the simulated time that passed.
    template<typename Condition>
    Duration runUntil(const Condition &condition, Duration limit)
    {
        const auto start = clock.now();
        while (!condition() && clock.now() - start < limit) {
            step();
        }
        return clock.now() - start;
    }

    Engine &engine(const std::string &vm)
    {
        return engines.at(VmId(vm));
    }
    /// Ends an engine's process. Its state is lost when restart() starts it again.
    void kill(const std::string &vm);
    void restart(const std::string &vm);
    /// Kills all engines of a domain, as when it loses power, or restarts them.
    void setDomainUnreachable(const std::string &domain, bool isDark);
    /// The domain's record in the platform's store.
    DomainRecord stored(const std::string &domain);
    /// Number of replicas whose members are all alive, loaded and as recorded.
    std::size_t completeReplicas();
    /// Names of the daemons that consider themselves holder of the lease of @p domain.
    std::vector<std::string> holders(const std::string &domain);

    ManualClock clock;
    AssignmentSettings settings;
    boost::asio::io_context context;
    MemoryObjectStore store{context.get_executor()};
    std::map<VmId, Engine> engines;
    std::map<std::string, std::unique_ptr<Daemon>> daemons;
    std::vector<VmRecord> inventory;
    double loadsPerSecond = 0.2; // rate of the weight store in complete loads, shared by the engines that are loading
    /// Orders that an engine carried out although the stored record bound its VM to another replica.
    std::vector<std::string> violations;

private:
    friend struct SimulatedEngines;
    friend struct SimulatedPeers;

    void step();
    void loadWeights();
    void deliverOrder(const std::string &sender, const Endpoint &address, const EngineOrder &order, const EngineClient::OrderHandler &handler);
    std::error_code executeOrder(Engine &engine, const EngineOrder &order);
    void checkOrderAgainstRecord(const Engine &engine, const EngineOrder &order);

    std::vector<TimedAction> timedActions_;
    std::uint64_t lastProcess_ = 0;
    bool checksFencing_;
};

struct ZoneSimulation::Daemon {
    std::string name;
    bool isPaused = false; // runs no code; what it sent before the pause stays in flight
    bool isCutFromPlatform = false;
    bool delaysOrders = false; // its orders stay in flight until deliverDelayedOrders()
    bool losesOrderAnswers = false;
    std::deque<std::function<void()>> pendingAnswers; // run when the daemon is not paused
    std::vector<TimedAction> delayedOrders; // with their time of sending
    TimePoint pausedAt{};
    std::unique_ptr<ObjectStore> store;
    std::unique_ptr<EngineClient> engines;
    std::unique_ptr<FormerControllerClient> peers;
    std::unique_ptr<Controller> controller;

    void pause(TimePoint now);
    /// Delivers the delayed orders, except those whose lifetime passed while the daemon ran. The time of a pause does not
    /// count, because the order may not have left the paused daemon.
    void deliverDelayedOrders(TimePoint now, Duration lifetime);
    void resume();
};

}
