// The control address of EngineFleet: injection of faults, and the audit counters.

#include "standins/engine_fleet.h"
#include "standins/json_fields.h"

#include <boost/json.hpp>

namespace carawaypoint::standins
{

namespace asio = boost::asio;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;

void EngineFleet::killVm(const Vm &vm, bool isRestarted)
{
    vm->isAlive = false;
    vm->isPaused = false;
    vm->listener->setPaused(false);
    vm->listener->stop();
    if (vm->batch) {
        vm->batch->abortAll();
        vm->batch.reset();
    }
    weights_.endLoad(vm->id);
    vm->isLoaded = false;
    vm->isLoading = false;
    vm->isDraining = false;
    vm->replica.clear();
    vm->role = "none";
    vm->epoch = 0;
    vm->incarnation = 0;
    vm->cachedModels.clear();
    vm->members.clear();
    vm->restartAt = isRestarted ? Clock::now() + settings_.restartTime : Clock::time_point{};
}

void EngineFleet::applyAction(const Vm &vm, const std::string &action, const json::object &fault)
{
    if (action == "kill") {
        killVm(vm, false);
    } else if (action == "restart") {
        if (vm->isAlive) {
            killVm(vm, true);
        } else {
            vm->restartAt = Clock::now();
        }
    } else if (action == "pause" || action == "resume") {
        vm->isPaused = action == "pause";
        vm->listener->setPaused(vm->isPaused);
    } else if (action == "silence") {
        vm->listener->makeOpenConnectionsUnresponsive();
    } else if (action == "drain" || action == "undrain") {
        vm->isDraining = action == "drain";
    } else if (action == "slow") {
        vm->slowdownFactor = fault.at("factor").to_number<double>();
    } else if (action == "leave") {
        vm->isLeaving = true;
    }
}

void EngineFleet::applyFault(const json::object &fault)
{
    const std::string action = textOf(fault, "action");
    for (const auto &[id, vm] : byId_) {
        const std::string domain = textOf(fault, "domain");
        if (id == textOf(fault, "vm") || (!domain.empty() && domain == vm->domain)) {
            applyAction(vm, action, fault);
        }
    }
    if (const auto *value = fault.if_contains("check_fencing")) {
        settings_.isFencingChecked = value->as_bool();
    }
    if (const auto *value = fault.if_contains("cache_event_loss")) {
        settings_.cacheEventLoss = value->to_number<double>();
    }
    if (fault.contains("crash_marker")) {
        settings_.crashMarker = textOf(fault, "crash_marker");
    }
    const auto setTime = [&fault](std::string_view key, std::chrono::milliseconds &time) {
        if (fault.contains(key)) {
            time = std::chrono::milliseconds(numberOf(fault, key));
        }
    };
    setTime("report_lag_ms", settings_.loadReportLag);
    setTime("restart_ms", settings_.restartTime);
    setTime("step_ms", settings_.stepTime);
}

json::object EngineFleet::audit() const
{
    json::object executions;
    for (const auto &[request, count] : executions_) {
        executions[request] = count;
    }
    return {{"executions", std::move(executions)},
            {"crashes", crashes_},
            {"dispatches_to_broken", dispatchesToBroken_},
            {"longest_broken_dispatch_ms", longestBrokenDispatch_.count()},
            {"moved_out_of_serving", movedOutOfServing_},
            {"stale_orders", staleOrders_},
            {"stale_orders_carried_out", staleOrdersCarriedOut_}};
}

asio::awaitable<void> EngineFleet::handleControl(HttpExchange &exchange)
{
    if (exchange.path() == "/standin/audit") {
        co_await exchange.respond(200, json::serialize(audit()));
    } else if (exchange.path() == "/standin/vms") {
        std::string text = json::serialize(json::object{{"vms", vmList()}});
        co_await exchange.respond(200, std::move(text));
    } else {
        const json::object fault = json::parse(exchange.request().body()).as_object();
        applyFault(fault);
        if (onVmListChange && textOf(fault, "action") == "leave") {
            onVmListChange(json::object{{"vms", vmList()}});
        }
        co_await exchange.respond(200, "{}");
    }
}

}
