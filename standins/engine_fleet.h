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

/// How the engines of a fleet behave.
struct EngineSettings {
    std::uint32_t slots = 8;
    std::chrono::milliseconds stepTime{10}; // of an empty batch; each running request adds a tenth
    std::chrono::milliseconds loadTime{2000};
    std::chrono::milliseconds cachedLoadTime{200}; // for weights that the VM still holds
    double parallelLoads = 8;
    std::chrono::milliseconds restartTime{1000}; // of an engine that crashed
    std::chrono::milliseconds loadReportLag{0};
    double cacheEventLoss = 0; // share of cache events that are never published
    bool isFencingChecked = true;
    std::string crashMarker = "CRASH-ENGINE"; // a prompt with this text ends the leader that runs it
};

/// One VM with a model engine.
struct EngineVm {
    std::string id;
    std::string zone;
    std::string domain;
    std::string pool;
    std::string address; // with the port
    std::shared_ptr<HttpListener> listener;

    bool isAlive = true;
    bool isPaused = false;
    bool isLeaving = false;
    bool isDraining = false;
    double slowness = 1;
    std::uint64_t process = 1;
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
    std::chrono::steady_clock::time_point cachedLoadEnds{}; // when it loads from its own cache
    std::set<std::string> cachedModels;
    std::shared_ptr<EngineBatch> batch;
    std::chrono::steady_clock::time_point nextStep{};
    std::chrono::steady_clock::time_point restartAt{};
    std::chrono::steady_clock::time_point brokenSince{}; // since a member of its replica was lost
    boost::json::object reportedLoad;
    std::chrono::steady_clock::time_point loadReportedAt{};
    std::uint64_t lastCacheSequence = 0;
    boost::json::array cacheEvents;
};

/// All engines of one zone, in one process (docs/interfaces.md), with faults that `POST /standin/faults` on the control
/// address switches: `{"action":A,"vm":ID}` or `{"action":A,"domain":D}` with A one of `kill`, `restart`, `pause`, `resume`,
/// `silence`, `drain`, `undrain`, `leave`, `slow` (with `factor`), or the keys of EngineSettings `check_fencing`, `report_lag_ms`,
/// `cache_event_loss`, `crash_marker`, `restart_ms`, `step_ms`. `GET /standin/audit` tells executions by request, requests
/// that reached a replica with a missing member, and VMs that an order moved out of a serving replica.
class EngineFleet
{
public:
    EngineFleet(boost::asio::any_io_executor executor, EngineSettings settings);

    /// Adds a VM that listens on @p endpoint. Call before start().
    void addVm(std::string id, std::string zone, std::string domain, std::string pool, const boost::asio::ip::tcp::endpoint &endpoint);
    void start(const boost::asio::ip::tcp::endpoint &control);
    /// The entries for the platform's VM list.
    boost::json::array vmList() const;
    /// Called with a change of the VM list when a VM leaves or ends for good.
    std::function<void(boost::json::object)> onVmListChange;

private:
    using Vm = std::shared_ptr<EngineVm>;

    boost::asio::awaitable<void> handle(HttpExchange &exchange, Vm vm);
    boost::asio::awaitable<void> handleOrder(HttpExchange &exchange, const Vm &vm);
    boost::asio::awaitable<void> handleState(HttpExchange &exchange, const Vm &vm);
    boost::asio::awaitable<void> handleCacheEvents(HttpExchange &exchange, const Vm &vm);
    boost::asio::awaitable<void> handleCompletion(HttpExchange &exchange, const Vm &vm);
    boost::asio::awaitable<void> streamAnswer(HttpExchange &exchange, const Vm &vm, std::shared_ptr<Generation> generation);
    boost::asio::awaitable<void> handleControl(HttpExchange &exchange);
    boost::asio::awaitable<void> runSteps();

    std::string refusal(const Vm &vm, const std::string &replica) const;
    void carryOut(const Vm &vm, const boost::json::object &order);
    void beginLoad(const Vm &vm);
    void advanceLoads();
    void stepBatches();
    void checkReplicas();
    void restartDue();
    bool isWhole(const Vm &leader) const;
    void kill(const Vm &vm, bool isRestarted);
    void applyFault(const boost::json::object &fault);
    void applyAction(const Vm &vm, const std::string &action, const boost::json::object &fault);
    void noteCacheEvent(const Vm &vm, const std::string &prompt);
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
    std::uint64_t dispatchesToBroken_ = 0;
    std::chrono::milliseconds longestBrokenDispatch_{0}; // time from the loss to the last such dispatch
    std::uint64_t movedOutOfServing_ = 0;
    std::uint64_t staleOrders_ = 0;
    std::uint64_t staleOrdersCarriedOut_ = 0;
};

}
