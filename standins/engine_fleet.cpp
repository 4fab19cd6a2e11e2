#include "standins/engine_fleet.h"

#include "standins/json_fields.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <xxhash.h>

#include <algorithm>

namespace carawaypoint::standins
{

namespace asio = boost::asio;
namespace json = boost::json;
using Clock = std::chrono::steady_clock;

namespace
{

constexpr std::chrono::milliseconds StepCheckInterval{2};
constexpr std::size_t MaxCacheEvents = 512;
constexpr double SlowdownPerRunningRequest = 0.1; // fraction of the step time
constexpr std::size_t CachedPrefixBytes = 64;

}

EngineFleet::EngineFleet(asio::any_io_executor executor, EngineSettings settings)
    : executor_(std::move(executor))
    , settings_(std::move(settings))
    , weights_(settings_.loadTime, settings_.parallelLoads)
{
}

void EngineFleet::addVm(std::string id, std::string zone, std::string domain, std::string pool, const asio::ip::tcp::endpoint &endpoint)
{
    auto vm = std::make_shared<EngineVm>();
    vm->id = std::move(id);
    vm->zone = std::move(zone);
    vm->domain = std::move(domain);
    vm->pool = std::move(pool);
    vm->address = endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
    vm->listener = std::make_shared<HttpListener>(executor_, endpoint, [this, vm](HttpExchange &exchange) { return handle(exchange, vm); });
    byId_[vm->id] = vm;
    byAddress_[vm->address] = vm;
}

void EngineFleet::start(const asio::ip::tcp::endpoint &control)
{
    for (const auto &[id, vm] : byId_) {
        vm->listener->start();
    }
    control_ = std::make_shared<HttpListener>(executor_, control, [this](HttpExchange &exchange) { return handleControl(exchange); });
    control_->start();
    asio::co_spawn(executor_, runSteps(), asio::detached);
}

json::array EngineFleet::vmList() const
{
    json::array vms;
    for (const auto &[id, vm] : byId_) {
        vms.push_back(json::object{{"id", vm->id},
                                   {"address", vm->address},
                                   {"zone", vm->zone},
                                   {"domain", vm->domain},
                                   {"pool", vm->pool},
                                   {"state", vm->isLeaving ? "leaving" : "live"}});
    }
    return vms;
}

asio::awaitable<void> EngineFleet::handle(HttpExchange &exchange, Vm vm)
{
    const std::string path = exchange.path();
    if (path == "/v1/chat/completions") {
        co_await handleCompletion(exchange, vm);
    } else if (path == "/control/orders") {
        co_await handleOrder(exchange, vm);
    } else if (path == "/control/state") {
        co_await handleState(exchange, vm);
    } else if (path == "/control/cache-events") {
        co_await handleCacheEvents(exchange, vm);
    } else if (path == "/control/cancel") {
        const bool isFound = vm->batch && vm->batch->cancel(textOf(json::parse(exchange.request().body()).as_object(), "attempt"));
        co_await exchange.respond(isFound ? 200 : 404, "{}");
    } else if (path == "/control/drain") {
        vm->isDraining = json::parse(exchange.request().body()).as_object().at("draining").as_bool();
        co_await exchange.respond(200, "{}");
    } else {
        co_await exchange.respond(404, "{}");
    }
}

asio::awaitable<void> EngineFleet::handleOrder(HttpExchange &exchange, const Vm &vm)
{
    const json::object order = json::parse(exchange.request().body()).as_object();
    const auto fence = std::pair(numberOf(order, "epoch"), numberOf(order, "incarnation"));
    if (fence < std::pair(vm->epoch, vm->incarnation)) {
        ++staleOrders_;
        if (settings_.isFencingChecked) {
            std::string text = json::serialize(json::object{{"code", "stale"}, {"epoch", vm->epoch}, {"incarnation", vm->incarnation}});
            co_await exchange.respond(409, std::move(text));
            co_return;
        }
        ++staleOrdersCarriedOut_;
    }
    applyOrder(vm, order);
    co_await exchange.respond(200, "{}");
}

void EngineFleet::applyOrder(const Vm &vm, const json::object &order)
{
    const std::string replica = textOf(order, "replica");
    const std::string role = textOf(order, "role");
    const std::uint64_t incarnation = numberOf(order, "incarnation");
    const bool isSame = vm->replica == replica && vm->role == role && vm->incarnation == incarnation;
    vm->epoch = numberOf(order, "epoch");
    vm->incarnation = incarnation;
    if (isSame) {
        return;
    }
    if (!vm->replica.empty() && replica != vm->replica && vm->isLoaded) {
        const auto leader = std::find_if(byId_.begin(), byId_.end(), [&vm](const auto &entry) {
            return entry.second->replica == vm->replica && entry.second->role == "leader" && entry.second->batch && !entry.second->batch->isIdle();
        });
        movedOutOfServing_ += leader == byId_.end() ? 0 : 1;
    }
    if (vm->batch) {
        vm->batch->abortAll();
        vm->batch.reset();
    }
    vm->replica = replica;
    vm->role = role;
    vm->members.clear();
    if (const auto *members = order.if_contains("members")) {
        for (const auto &member : members->as_array()) {
            vm->members.emplace_back(member.as_string());
        }
    }
    vm->memberLostAt = {};
    weights_.endLoad(vm->id);
    vm->isLoading = false;
    vm->isLoaded = false;
    if (role == "none") {
        vm->replica.clear();
        return;
    }
    if (role == "leader") {
        vm->batch = std::make_shared<EngineBatch>(settings_.slots);
    }
    vm->model = textOf(order, "model");
    vm->version = textOf(order, "version");
    if (const auto *adapters = order.if_contains("adapters")) {
        vm->adapters = adapters->as_array();
    }
    startLoad(vm);
}

void EngineFleet::startLoad(const Vm &vm)
{
    vm->isLoading = true;
    if (vm->cachedModels.contains(vm->model + "@" + vm->version)) {
        vm->cachedLoadEndsAt = Clock::now() + settings_.cachedLoadTime;
        return;
    }
    vm->cachedLoadEndsAt = {};
    weights_.startLoad(vm->id);
}

void EngineFleet::advanceLoads()
{
    const auto now = Clock::now();
    for (const auto &[id, vm] : byId_) {
        if (!vm->isLoading || vm->isPaused) {
            continue;
        }
        const bool isDone = vm->cachedLoadEndsAt == Clock::time_point{} ? weights_.progress(id) >= 1 : now >= vm->cachedLoadEndsAt;
        if (isDone) {
            weights_.endLoad(id);
            vm->isLoading = false;
            vm->isLoaded = true;
            vm->cachedModels.insert(vm->model + "@" + vm->version);
        }
    }
}

bool EngineFleet::isReplicaComplete(const Vm &leader) const
{
    return std::all_of(leader->members.begin(), leader->members.end(), [this, &leader](const std::string &address) {
        const auto found = byAddress_.find(address);
        return found != byAddress_.end() && found->second->isAlive && found->second->replica == leader->replica
            && found->second->incarnation == leader->incarnation;
    });
}

void EngineFleet::checkReplicas()
{
    for (const auto &[id, vm] : byId_) {
        if (!vm->isAlive || vm->role != "leader" || !vm->batch || !vm->isLoaded) {
            continue;
        }
        if (isReplicaComplete(vm)) {
            vm->memberLostAt = {};
        } else if (vm->memberLostAt == Clock::time_point{}) {
            // The loss of any member aborts all requests of the replica.
            vm->memberLostAt = Clock::now();
            vm->batch->abortAll();
        }
    }
}

void EngineFleet::stepBatches()
{
    const auto now = Clock::now();
    for (const auto &[id, vm] : byId_) {
        if (!vm->isAlive || vm->isPaused || !vm->batch || vm->nextStepAt > now || vm->memberLostAt != Clock::time_point{}) {
            continue;
        }
        // The slowest member determines the speed of a replica, and a paused member stops it.
        double slowdownFactor = 1;
        bool isMemberPaused = false;
        for (const auto &address : vm->members) {
            const auto member = byAddress_.find(address);
            if (member != byAddress_.end()) {
                slowdownFactor = std::max(slowdownFactor, member->second->slowdownFactor);
                isMemberPaused = isMemberPaused || member->second->isPaused;
            }
        }
        if (isMemberPaused) {
            continue;
        }
        vm->batch->step();
        const double factor = slowdownFactor * (1 + SlowdownPerRunningRequest * vm->batch->running());
        const auto stepTime = std::chrono::duration_cast<Clock::duration>(settings_.stepTime * factor);
        vm->nextStepAt = std::max(vm->nextStepAt + stepTime, now - stepTime);
    }
}

void EngineFleet::restartDueVms()
{
    const auto now = Clock::now();
    for (const auto &[id, vm] : byId_) {
        if (!vm->isAlive && vm->restartAt != Clock::time_point{} && now >= vm->restartAt) {
            vm->restartAt = {};
            vm->isAlive = true;
            ++vm->process;
            vm->listener->start();
        }
    }
}

asio::awaitable<void> EngineFleet::runSteps()
{
    auto last = Clock::now();
    while (true) {
        co_await sleepFor(StepCheckInterval);
        const auto now = Clock::now();
        weights_.advance(std::chrono::duration_cast<std::chrono::microseconds>(now - last));
        last = now;
        restartDueVms();
        advanceLoads();
        checkReplicas();
        stepBatches();
    }
}

json::object EngineFleet::loadReport(const Vm &vm)
{
    const auto now = Clock::now();
    if (now - vm->loadReportedAt >= settings_.loadReportLag || vm->reportedLoad.empty()) {
        const double running = vm->batch ? vm->batch->running() : 0;
        const double perSecond =
            running * 1000 / (static_cast<double>(settings_.stepTime.count()) * vm->slowdownFactor * (1 + SlowdownPerRunningRequest * running));
        vm->reportedLoad = json::object{{"running", static_cast<std::uint64_t>(running)},
                                        {"queued", vm->batch ? vm->batch->queued() : 0},
                                        {"running_long", vm->batch ? vm->batch->runningLong() : 0},
                                        {"tokens_per_second", perSecond}};
        vm->loadReportedAt = now;
    }
    return vm->reportedLoad;
}

asio::awaitable<void> EngineFleet::handleState(HttpExchange &exchange, const Vm &vm)
{
    json::array cached;
    for (const auto &model : vm->cachedModels) {
        cached.push_back(json::string(model.substr(0, model.find('@'))));
    }
    const json::object state{{"vm", vm->id},
                             {"process", vm->process},
                             {"epoch", vm->epoch},
                             {"incarnation", vm->incarnation},
                             {"replica", vm->replica},
                             {"role", vm->role},
                             {"model", vm->model},
                             {"version", vm->version},
                             {"adapters", vm->adapters},
                             {"loaded", vm->isLoaded},
                             {"progress", vm->isLoading ? weights_.progress(vm->id) : 1.0},
                             {"draining", vm->isDraining},
                             {"slots", settings_.slots},
                             {"cached_models", cached},
                             {"load", loadReport(vm)}};
    co_await exchange.respond(200, json::serialize(state));
}

asio::awaitable<void> EngineFleet::handleCacheEvents(HttpExchange &exchange, const Vm &vm)
{
    const std::uint64_t after = std::strtoull(exchange.queryValue("after").c_str(), nullptr, 10);
    json::array events;
    for (const auto &event : vm->cacheEvents) {
        if (numberOf(event.as_object(), "sequence") > after) {
            events.push_back(event);
        }
    }
    std::string text = json::serialize(json::object{{"last", vm->lastCacheSequence}, {"events", std::move(events)}});
    co_await exchange.respond(200, std::move(text));
}

void EngineFleet::recordCacheEvent(const Vm &vm, const std::string &prompt)
{
    const std::uint64_t hash = XXH64(prompt.data(), std::min(prompt.size(), CachedPrefixBytes), 0);
    ++vm->lastCacheSequence;
    const double draw = static_cast<double>(XXH64(&vm->lastCacheSequence, sizeof vm->lastCacheSequence, hash) % 1000) / 1000;
    if (draw < settings_.cacheEventLoss) {
        return;
    }
    vm->cacheEvents.push_back(json::object{{"sequence", vm->lastCacheSequence}, {"prefix", std::to_string(hash)}, {"evicted", false}});
    if (vm->cacheEvents.size() > MaxCacheEvents) {
        vm->cacheEvents.erase(vm->cacheEvents.begin());
    }
}

std::string EngineFleet::refusalCode(const Vm &vm, const std::string &replica) const
{
    if (vm->role != "leader" || !vm->batch || replica != vm->replica + "/" + std::to_string(vm->incarnation)) {
        return "wrong_replica";
    }
    if (vm->isDraining) {
        return "draining";
    }
    return vm->isLoaded ? std::string() : "not_loaded";
}

asio::awaitable<void> EngineFleet::handleCompletion(HttpExchange &exchange, const Vm &vm)
{
    const std::string code = refusalCode(vm, exchange.header("X-Replica"));
    if (!code.empty()) {
        std::string text = json::serialize(json::object{{"code", code}});
        const Headers headers{{"X-Not-Run", "1"}};
        co_await exchange.respond(code == "wrong_replica" ? 409 : 503, std::move(text), headers);
        co_return;
    }
    if (vm->memberLostAt != Clock::time_point{}) {
        ++dispatchesToBroken_;
        longestBrokenDispatch_ = std::max(longestBrokenDispatch_, std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - vm->memberLostAt));
        const Headers headers{{"X-Not-Run", "1"}};
        co_await exchange.respond(503, R"({"code":"not_loaded"})", headers);
        co_return;
    }
    const json::object body = json::parse(exchange.request().body()).as_object();
    const auto &messages = body.at("messages").as_array();
    auto request = std::make_shared<BatchRequest>(textOf(messages.at(messages.size() - 1).as_object(), "content"),
                                                  static_cast<std::uint32_t>(numberOf(body, "max_tokens")));
    request->attempt = exchange.header("X-Attempt-Id");
    request->replica = exchange.header("X-Replica");
    request->priority = static_cast<unsigned>(std::strtoul(exchange.header("X-Priority").c_str(), nullptr, 10));
    request->isLongWork = exchange.header("X-Long-Work") == "1";
    request->nextToken = static_cast<std::uint32_t>(std::strtoul(exchange.header("X-Resume-From").c_str(), nullptr, 10));
    request->pendingPrefillTokens = static_cast<std::uint32_t>(request->prompt.size() / 4);
    ++executions_[exchange.header("X-Request-Id")];
    recordCacheEvent(vm, request->prompt);
    vm->batch->add(request);
    co_await streamAnswer(exchange, vm, request);
}

asio::awaitable<void> EngineFleet::streamAnswer(HttpExchange &exchange, const Vm &vm, std::shared_ptr<BatchRequest> request)
{
    const Headers headers{{"X-Attempt-Id", request->attempt}, {"X-Replica", request->replica}};
    co_await exchange.startStream(headers);
    const bool isCrashRequest = request->prompt.find(settings_.crashMarker) != std::string::npos;
    while (!request->isAborted && !(request->isFinished && request->unsentTokens.empty())) {
        if (isCrashRequest && !request->unsentTokens.empty()) {
            ++crashes_;
            killVm(vm, true);
            co_return;
        }
        std::string events;
        while (!request->unsentTokens.empty()) {
            const std::uint32_t index = request->unsentTokens.front();
            request->unsentTokens.pop_front();
            const json::object delta{{"content", request->answer.token(index)}};
            const json::object event{{"id", request->attempt}, {"index", index}, {"choices", json::array{json::object{{"index", 0}, {"delta", delta}}}}};
            events += "data: " + json::serialize(event) + "\n\n";
        }
        if (!events.empty()) {
            co_await exchange.sendChunk(std::move(events));
        }
        co_await sleepFor(StepCheckInterval);
    }
    if (request->isAborted) {
        exchange.abort();
        co_return;
    }
    const json::object usage{{"prompt_tokens", request->prompt.size() / 4}, {"completion_tokens", request->answer.length()}};
    const json::object choice{{"index", 0}, {"delta", json::object{}}, {"finish_reason", "stop"}};
    const json::object last{{"id", request->attempt}, {"choices", json::array{choice}}, {"usage", usage}};
    co_await exchange.sendChunk("data: " + json::serialize(last) + "\n\ndata: [DONE]\n\n");
    co_await exchange.endStream();
}

}
