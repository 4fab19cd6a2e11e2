#pragma once

#include "standins/engine_batch.h"
#include "standins/http_listener.h"
#include "standins/weight_store.h"

#include <boost/json/object.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace carawaypoint::standins
{

/// Timing, capacity and injected faults of the engines of a fleet.
struct EngineSettings {
    std::uint32_t slots = 8;
    std::chrono::milliseconds stepTime{10}; // of an empty batch; each running request adds 10%
    std::chrono::milliseconds loadTime{2000}; // of one VM that reads alone from the weight store
    std::chrono::milliseconds cachedLoadTime{200}; // for weights that the VM still holds
    double parallelLoads = 8; // loads that the weight store serves at full speed
    std::chrono::milliseconds restartTime{1000}; // of an engine that crashed
    std::chrono::milliseconds loadReportLag{0}; // age that a load report reaches before it is renewed
    double cacheEventLoss = 0; // fraction of cache events that are not published
    bool isFencingChecked = true; // refuse orders with an older epoch or incarnation
    std::string crashMarker = "CRASH-ENGINE"; // a prompt with this text crashes the leader that runs it
};

/// One VM with a model engine.
struct EngineVm {
    std::string id;
    std::string zone;
    std::string domain;
    std::string pool;
    std::string address; // address:port
    std::shared_ptr<HttpListener> listener;

    bool isAlive = true;
    bool isPaused = false;
    bool isLeaving = false;
    bool isDraining = false;
    double slowdownFactor = 1; // of the step time
    std::uint64_t process = 1; // rises with each restart of the engine
    std::uint64_t epoch = 0;
    std::uint64_t incarnation = 0;
    std::string replica;
    std::string role = "none";
    std::string model;
    std::string version;
    boost::json::array adapters;
    std::vector<std::string> members;
    bool isLoaded = false;
    bool isLoading = false;
    std::chrono::steady_clock::time_point cachedLoadEndsAt{}; // end of a load from the VM's cache; zero when it loads from the weight store
    std::set<std::string> cachedModels; // "model@version" of the weights that the VM holds
    std::shared_ptr<EngineBatch> batch; // of a leader; null for other roles
    std::chrono::steady_clock::time_point nextStepAt{};
    std::chrono::steady_clock::time_point restartAt{}; // zero: no restart is planned
    std::chrono::steady_clock::time_point memberLostAt{}; // of a leader: time when a member of its replica was lost; zero when it is complete
    boost::json::object reportedLoad;
    std::chrono::steady_clock::time_point loadReportedAt{};
    std::uint64_t lastCacheSequence = 0;
    boost::json::array cacheEvents;
};

/// All model engines of one zone in one process (docs/interfaces.md). `POST /standin/faults` on the control address injects
/// faults: `{"action":A,"vm":ID}` or `{"action":A,"domain":D}` with A one of `kill`, `restart`, `pause`, `resume`,
/// `silence`, `drain`, `undrain`, `leave`, `slow` (with `factor`), or the keys of EngineSettings `check_fencing`, `report_lag_ms`,
/// `cache_event_loss`, `crash_marker`, `restart_ms`, `step_ms`. `GET /standin/audit` reports executions by request,
/// requests that reached a replica with a missing member, and VMs that an order moved out of a serving replica.
class EngineFleet
{
public:
    EngineFleet(boost::asio::any_io_executor executor, EngineSettings settings);

    /// Adds a VM that listens on @p endpoint. Call before start().
    void addVm(std::string id, std::string zone, std::string domain, std::string pool, const boost::asio::ip::tcp::endpoint &endpoint);
    void start(const boost::asio::ip::tcp::endpoint &control);
    /// Returns the VMs as entries of the platform's VM list.
    boost::json::array vmList() const;
    /// Called with the VM list when a VM is set to leaving.
    std::function<void(boost::json::object)> onVmListChange;

private:
    using Vm = std::shared_ptr<EngineVm>;

    boost::asio::awaitable<void> handle(HttpExchange &exchange, Vm vm);
    boost::asio::awaitable<void> handleOrder(HttpExchange &exchange, const Vm &vm);
    boost::asio::awaitable<void> handleState(HttpExchange &exchange, const Vm &vm);
    boost::asio::awaitable<void> handleCacheEvents(HttpExchange &exchange, const Vm &vm);
    boost::asio::awaitable<void> handleCompletion(HttpExchange &exchange, const Vm &vm);
    boost::asio::awaitable<void> streamAnswer(HttpExchange &exchange, const Vm &vm, std::shared_ptr<BatchRequest> request);
    boost::asio::awaitable<void> handleControl(HttpExchange &exchange);
    boost::asio::awaitable<void> runSteps();

    std::string refusalCode(const Vm &vm, const std::string &replica) const;
    void applyOrder(const Vm &vm, const boost::json::object &order);
    void startLoad(const Vm &vm);
    void advanceLoads();
    void stepBatches();
    void checkReplicas();
    void restartDueVms();
    bool isReplicaComplete(const Vm &leader) const;
    void killVm(const Vm &vm, bool isRestarted);
    void applyFault(const boost::json::object &fault);
    void applyAction(const Vm &vm, const std::string &action, const boost::json::object &fault);
    void recordCacheEvent(const Vm &vm, const std::string &prompt);
    boost::json::object loadReport(const Vm &vm);
    boost::json::object audit() const;

    boost::asio::any_io_executor executor_;
    EngineSettings settings_;
    WeightStore weights_;
    std::map<std::string, Vm> byId_;
    std::map<std::string, Vm> byAddress_;
    std::shared_ptr<HttpListener> control_;
    std::map<std::string, std::uint64_t> executions_; // by request id
    std::uint64_t crashes_ = 0;
    std::uint64_t dispatchesToBroken_ = 0; // requests that reached a replica with a lost member
    std::chrono::milliseconds longestBrokenDispatch_{0}; // longest time from the loss of a member to such a request
    std::uint64_t movedOutOfServing_ = 0; // orders that moved a loaded VM out of a replica with requests
    std::uint64_t staleOrders_ = 0; // orders with an older fencing number
    std::uint64_t staleOrdersCarriedOut_ = 0;
};

}
