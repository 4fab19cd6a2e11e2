#include "standins/platform_standin.h"

#include <boost/beast/http/field.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace carawaypoint::standins
{

namespace asio = boost::asio;
namespace json = boost::json;
namespace http = boost::beast::http;

namespace
{

constexpr std::size_t MaxValueBytes = 1'000'000;
constexpr std::size_t MaxEvents = 4096; // a watch from an earlier revision gets 410 and has to list again
constexpr std::chrono::milliseconds MaxWatchWait{30'000};
constexpr std::chrono::milliseconds WatchPollInterval{20};

}

bool PlatformStandin::RateLimit::admit()
{
    if (perSecond <= 0) {
        return true;
    }
    const auto now = std::chrono::steady_clock::now();
    const double elapsed = std::chrono::duration<double>(now - refilledAt).count();
    refilledAt = now;
    tokens = std::min(perSecond, tokens + elapsed * perSecond);
    if (tokens < 1) {
        return false;
    }
    tokens -= 1;
    return true;
}

PlatformStandin::PlatformStandin(const asio::any_io_executor &executor, const std::vector<asio::ip::tcp::endpoint> &endpoints)
{
    for (const auto &endpoint : endpoints) {
        const std::string name = endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
        listeners_.push_back(std::make_shared<HttpListener>(executor, endpoint, [this, name](HttpExchange &exchange) { return handle(exchange, name); }));
    }
}

void PlatformStandin::start()
{
    for (const auto &listener : listeners_) {
        listener->start();
    }
}

asio::awaitable<void> PlatformStandin::handle(HttpExchange &exchange, std::string listener)
{
    const std::string path = exchange.path();
    constexpr std::string_view Control = "/standin/";
    constexpr std::string_view Objects = "/v1/objects/";
    if (path.starts_with(Control)) {
        co_await handleControl(exchange, path.substr(Control.size()));
        co_return;
    }
    while (unreachableListeners_.contains(listener) && exchange.isOpen()) {
        co_await sleepFor(std::chrono::milliseconds(20));
    }
    if (delay_.count() > 0) {
        co_await sleepFor(delay_);
    }
    if (isDown_) {
        co_await exchange.respond(503, "{}");
        co_return;
    }
    const bool isWrite = exchange.request().method() != http::verb::get;
    if (!(isWrite ? writes_ : reads_).admit()) {
        ++counts_["refused"];
        co_await exchange.respond(429, "{}");
        co_return;
    }
    ++counts_[isWrite ? "writes" : "reads"];
    if (path == "/v1/watch") {
        co_await handleWatch(exchange);
    } else if (path == "/v1/vms") {
        co_await handleVmList(exchange);
    } else if (path.starts_with(Objects)) {
        co_await handleObject(exchange, path.substr(Objects.size()));
    } else {
        co_await exchange.respond(404, "{}");
    }
}

asio::awaitable<void> PlatformStandin::handleObject(HttpExchange &exchange, const std::string &rest)
{
    const auto slash = rest.find('/');
    if (slash == std::string::npos) {
        co_await handleList(exchange, rest);
        co_return;
    }
    const Key key{rest.substr(0, slash), rest.substr(slash + 1)};
    const auto method = exchange.request().method();
    if (method == http::verb::put) {
        co_await put(exchange, key);
    } else if (method == http::verb::delete_) {
        co_await remove(exchange, key);
    } else {
        const auto found = store_.objects.find(key);
        if (found == store_.objects.end()) {
            co_await exchange.respond(404, "{}");
        } else {
            const json::object body{{"kind", key.first}, {"name", key.second}, {"version", found->second.version}, {"value", found->second.value}};
            co_await exchange.respond(200, json::serialize(body));
        }
    }
}

bool PlatformStandin::isConditionMet(const HttpExchange &exchange, const Key &key) const
{
    const auto found = store_.objects.find(key);
    if (exchange.header("If-None-Match") == "*") {
        return found == store_.objects.end();
    }
    const std::string version = exchange.header("If-Match");
    return version.empty() || (found != store_.objects.end() && std::to_string(found->second.version) == version);
}

asio::awaitable<void> PlatformStandin::put(HttpExchange &exchange, const Key &key)
{
    if (exchange.request().body().size() > MaxValueBytes) {
        co_await exchange.respond(413, "{}");
        co_return;
    }
    if (!isConditionMet(exchange, key)) {
        const auto found = store_.objects.find(key);
        const std::uint64_t version = found == store_.objects.end() ? 0 : found->second.version;
        std::string text = json::serialize(json::object{{"version", version}});
        co_await exchange.respond(412, std::move(text));
        co_return;
    }
    const Object object{store_.revision + 1, exchange.request().body()};
    store_.objects[key] = object;
    recordEvent(key, object, false);
    co_await answerWrite(exchange, object.version);
}

asio::awaitable<void> PlatformStandin::remove(HttpExchange &exchange, const Key &key)
{
    if (!store_.objects.contains(key)) {
        co_await exchange.respond(404, "{}");
        co_return;
    }
    if (!isConditionMet(exchange, key)) {
        std::string text = json::serialize(json::object{{"version", store_.objects[key].version}});
        co_await exchange.respond(412, std::move(text));
        co_return;
    }
    store_.objects.erase(key);
    recordEvent(key, Object{store_.revision + 1, {}}, true);
    co_await answerWrite(exchange, store_.revision);
}

void PlatformStandin::recordEvent(const Key &key, const Object &object, bool isRemoved)
{
    ++store_.revision;
    store_.events.push_back(Event{store_.revision, key, object, isRemoved});
    if (store_.events.size() > MaxEvents) {
        store_.events.pop_front();
    }
}

asio::awaitable<void> PlatformStandin::answerWrite(HttpExchange &exchange, std::uint64_t version)
{
    if (answersToLose_ > 0) {
        --answersToLose_;
        ++counts_["lost_answers"];
        exchange.abort();
        co_return;
    }
    std::string text = json::serialize(json::object{{"version", version}});
    co_await exchange.respond(200, std::move(text));
}

asio::awaitable<void> PlatformStandin::handleList(HttpExchange &exchange, const std::string &kind)
{
    json::array objects;
    for (auto at = store_.objects.lower_bound({kind, ""}); at != store_.objects.end() && at->first.first == kind; ++at) {
        objects.push_back(json::object{{"name", at->first.second}, {"version", at->second.version}, {"value", at->second.value}});
    }
    std::string text = json::serialize(json::object{{"revision", store_.revision}, {"objects", std::move(objects)}});
    co_await exchange.respond(200, std::move(text));
}

asio::awaitable<void> PlatformStandin::handleWatch(HttpExchange &exchange)
{
    const std::string kind = exchange.queryValue("kind");
    const std::uint64_t after = std::strtoull(exchange.queryValue("after").c_str(), nullptr, 10);
    const std::chrono::milliseconds wait{std::strtoll(exchange.queryValue("wait_ms").c_str(), nullptr, 10)};
    const auto until = std::chrono::steady_clock::now() + std::min(wait, MaxWatchWait);
    while (true) {
        const bool isHistoryDropped = !store_.events.empty() && after + 1 < store_.events.front().revision;
        if (after > store_.revision || isHistoryDropped) {
            co_await exchange.respond(410, "{}");
            co_return;
        }
        json::array events;
        for (const auto &event : store_.events) {
            if (event.revision > after && event.key.first == kind) {
                events.push_back(
                    json::object{{"name", event.key.second}, {"version", event.object.version}, {"value", event.object.value}, {"removed", event.isRemoved}});
            }
        }
        if (!events.empty() || std::chrono::steady_clock::now() >= until || isDown_) {
            std::string text = json::serialize(json::object{{"revision", store_.revision}, {"events", std::move(events)}});
            co_await exchange.respond(200, std::move(text));
            co_return;
        }
        co_await sleepFor(WatchPollInterval);
    }
}

void PlatformStandin::applyDueVmChanges()
{
    const auto now = std::chrono::steady_clock::now();
    while (!pendingVmChanges_.empty() && pendingVmChanges_.front().visibleAt <= now) {
        auto change = std::move(pendingVmChanges_.front());
        pendingVmChanges_.pop_front();
        if (change.vm.empty()) {
            vms_.erase(change.id);
        } else {
            vms_[change.id] = std::move(change.vm);
        }
    }
}

asio::awaitable<void> PlatformStandin::handleVmList(HttpExchange &exchange)
{
    applyDueVmChanges();
    json::array vms;
    for (const auto &[id, vm] : vms_) {
        vms.push_back(vm);
    }
    std::string text = json::serialize(json::object{{"vms", std::move(vms)}});
    co_await exchange.respond(200, std::move(text));
}

void PlatformStandin::changeVms(const json::object &change)
{
    const auto visibleAt = std::chrono::steady_clock::now() + vmListLag_;
    if (const auto *vms = change.if_contains("vms")) {
        for (const auto &vm : vms->as_array()) {
            pendingVmChanges_.push_back({visibleAt, std::string(vm.as_object().at("id").as_string()), vm.as_object()});
        }
    }
    if (const auto *removed = change.if_contains("remove")) {
        for (const auto &id : removed->as_array()) {
            pendingVmChanges_.push_back({visibleAt, std::string(id.as_string()), {}});
        }
    }
}

void PlatformStandin::applyFaults(const json::object &faults)
{
    const auto number = [&faults](std::string_view key, double current) {
        const auto *value = faults.if_contains(key);
        return value == nullptr ? current : value->to_number<double>();
    };
    if (const auto *outage = faults.if_contains("outage")) {
        isDown_ = outage->as_bool();
    }
    if (const auto *cut = faults.if_contains("cut")) {
        unreachableListeners_.clear();
        for (const auto &address : cut->as_array()) {
            unreachableListeners_.insert(std::string(address.as_string()));
        }
    }
    if (const auto *name = faults.if_contains("save")) {
        savedStores_[std::string(name->as_string())] = store_;
    }
    if (const auto *name = faults.if_contains("restore")) {
        store_ = savedStores_.at(std::string(name->as_string()));
    }
    delay_ = std::chrono::milliseconds(static_cast<std::int64_t>(number("delay_ms", static_cast<double>(delay_.count()))));
    vmListLag_ = std::chrono::milliseconds(static_cast<std::int64_t>(number("vm_list_lag_ms", static_cast<double>(vmListLag_.count()))));
    answersToLose_ = static_cast<std::uint64_t>(number("lose_write_answers", static_cast<double>(answersToLose_)));
    reads_.perSecond = number("reads_per_second", reads_.perSecond);
    writes_.perSecond = number("writes_per_second", writes_.perSecond);
}

asio::awaitable<void> PlatformStandin::handleControl(HttpExchange &exchange, const std::string &action)
{
    if (action == "counts") {
        json::object counts;
        for (const auto &[name, count] : counts_) {
            counts[name] = count;
        }
        co_await exchange.respond(200, json::serialize(counts));
        co_return;
    }
    const json::object body = json::parse(exchange.request().body()).as_object();
    if (action == "faults") {
        applyFaults(body);
    } else if (action == "vms") {
        changeVms(body);
    }
    co_await exchange.respond(200, "{}");
}

}
