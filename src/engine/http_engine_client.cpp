#include "engine/http_engine_client.h"

#include "core/json_reader.h"
#include "core/result_code.h"

#include <boost/json/serialize.hpp>

#include <charconv>
#include <optional>

namespace carawaypoint
{
namespace json = boost::json;
namespace
{

// Answers of the control API are short; a longer one is treated as an error.
constexpr std::size_t MaxAnswerBytes = std::size_t{1024} * 1024;

constexpr std::string_view RoleNames[] = {"none", "leader", "worker"};

std::optional<EngineRole> parseRole(std::string_view name)
{
    for (std::size_t index = 0; index < std::size(RoleNames); ++index) {
        if (RoleNames[index] == name) {
            return static_cast<EngineRole>(index);
        }
    }
    return std::nullopt;
}

std::error_code toResultCode(std::error_code error, unsigned status)
{
    if (error == std::errc::bad_message) {
        return ResultCode::BackendBadAnswer;
    }
    if (error == std::errc::no_buffer_space) {
        return ResultCode::BackendRefused;
    }
    if (error) {
        return ResultCode::BackendTimeout;
    }
    switch (status) {
    case 200:
        return {};
    case 409:
        return ResultCode::OrderStale;
    case 422:
    case 503:
        return ResultCode::BackendRefused;
    default:
        return ResultCode::BackendBadAnswer;
    }
}

std::string orderBody(const EngineOrder &order)
{
    json::array adapters(order.adapters.begin(), order.adapters.end());
    json::array members;
    for (const auto &member : order.members) {
        members.emplace_back(member.toString());
    }
    const json::object body{{"epoch", order.fence.epoch},      {"incarnation", order.fence.incarnation},
                            {"replica", order.replica.str()},  {"role", json::string_view(RoleNames[static_cast<std::size_t>(order.role)].data())},
                            {"model", order.model.str()},      {"version", order.version},
                            {"adapters", std::move(adapters)}, {"members", std::move(members)}};
    return json::serialize(body);
}

bool readLoad(JsonReader &reader, EngineLoad &load)
{
    const auto *object = reader.object("load");
    if (!object) {
        return false;
    }
    JsonReader fields(*object);
    fields.read("running", load.running);
    fields.read("queued", load.queued);
    fields.read("running_long", load.runningLong);
    fields.read("tokens_per_second", load.tokensPerSecond);
    return fields.isGood();
}

std::optional<EngineState> parseState(const std::string &body)
{
    const auto value = parseJson(body);
    if (!value) {
        return std::nullopt;
    }
    EngineState state;
    std::string role;
    std::vector<std::string> cached;
    JsonReader reader(*value);
    reader.readId("vm", state.vm);
    reader.read("process", state.processIncarnation);
    reader.read("epoch", state.fence.epoch);
    reader.read("incarnation", state.fence.incarnation);
    reader.readId("replica", state.replica);
    reader.read("role", role);
    reader.readId("model", state.model);
    reader.read("version", state.version);
    reader.read("adapters", state.adapters);
    reader.read("loaded", state.isLoaded);
    reader.read("progress", state.loadProgress);
    reader.read("draining", state.isDraining);
    reader.read("slots", state.slots);
    reader.read("cached_models", cached);
    const auto roleValue = parseRole(role);
    if (!reader.isGood() || !roleValue || !readLoad(reader, state.load) || state.vm.isEmpty()) {
        return std::nullopt;
    }
    state.role = *roleValue;
    for (auto &model : cached) {
        state.cachedModels.emplace_back(std::move(model));
    }
    return state;
}

std::optional<CacheEvents> parseCacheEvents(const std::string &body)
{
    const auto value = parseJson(body);
    if (!value) {
        return std::nullopt;
    }
    CacheEvents result;
    JsonReader reader(*value);
    reader.read("last", result.lastSequence);
    const auto *items = reader.array("events");
    if (!reader.isGood()) {
        return std::nullopt;
    }
    for (const auto &item : *items) {
        auto &event = result.events.emplace_back();
        std::string prefix;
        JsonReader fields(item);
        fields.read("sequence", event.sequence);
        fields.read("prefix", prefix);
        fields.read("evicted", event.isEvicted);
        const auto *end = prefix.data() + prefix.size();
        const auto [parsed, error] = std::from_chars(prefix.data(), end, event.prefixHash);
        if (!fields.isGood() || error != std::errc{} || parsed != end) {
            return std::nullopt;
        }
    }
    return result;
}

}

std::unique_ptr<HttpEngineClient> HttpEngineClient::Builder::build() const
{
    // Two connections, so that a slow answer to one call does not delay the next probe.
    auto client = HttpClient::Builder(executor_).maxConnections(2).maxAnswerBytes(MaxAnswerBytes).build();
    return std::unique_ptr<HttpEngineClient>(new HttpEngineClient(std::move(client), *clock_, timeout_));
}

HttpEngineClient::HttpEngineClient(std::unique_ptr<HttpClient> client, const Clock &clock, Duration timeout)
    : client_(std::move(client))
    , clock_(&clock)
    , timeout_(timeout)
{
}

void HttpEngineClient::sendOrder(const Endpoint &engine, const EngineOrder &order, OrderHandler handler)
{
    HttpRequest request{"POST", "/control/orders", {{"Content-Type", "application/json"}}, orderBody(order), timeout_};
    client_->send(engine, std::move(request),
                  [handler = std::move(handler)](std::error_code error, const HttpAnswer &answer) { handler(toResultCode(error, answer.status)); });
}

void HttpEngineClient::fetchState(const Endpoint &engine, StateHandler handler)
{
    HttpRequest request{"GET", "/control/state", {}, {}, timeout_};
    client_->send(engine, std::move(request), [handler = std::move(handler), clock = clock_](std::error_code error, const HttpAnswer &answer) {
        if (const auto result = toResultCode(error, answer.status)) {
            handler(result, {});
            return;
        }
        auto state = parseState(answer.body);
        if (!state) {
            handler(ResultCode::BackendBadAnswer, {});
            return;
        }
        state->load.reportedAt = clock->now();
        handler({}, std::move(*state));
    });
}

void HttpEngineClient::fetchCacheEvents(const Endpoint &engine, std::uint64_t afterSequence, CacheHandler handler)
{
    HttpRequest request{"GET", "/control/cache-events?after=" + std::to_string(afterSequence), {}, {}, timeout_};
    client_->send(engine, std::move(request), [handler = std::move(handler)](std::error_code error, const HttpAnswer &answer) {
        if (const auto result = toResultCode(error, answer.status)) {
            handler(result, {});
            return;
        }
        auto events = parseCacheEvents(answer.body);
        if (!events) {
            handler(ResultCode::BackendBadAnswer, {});
            return;
        }
        handler({}, std::move(*events));
    });
}

void HttpEngineClient::setDraining(const Endpoint &engine, bool isDraining, OrderHandler handler)
{
    HttpRequest request{"POST", "/control/drain", {{"Content-Type", "application/json"}}, json::serialize(json::object{{"draining", isDraining}}), timeout_};
    client_->send(engine, std::move(request),
                  [handler = std::move(handler)](std::error_code error, const HttpAnswer &answer) { handler(toResultCode(error, answer.status)); });
}

}
