#include "soak/object_service.h"

#include "core/json_reader.h"

#include <boost/json/serialize.hpp>

#include <chrono>

namespace carawaypoint::soak
{

namespace
{

namespace json = boost::json;
using namespace std::chrono_literals;

constexpr std::string_view Prefix = "/v1/objects/";
constexpr std::size_t PageSize = 10;

}

ObjectService::ObjectService(const boost::asio::any_io_executor &executor, const boost::asio::ip::tcp::endpoint &endpoint, std::uint64_t seed)
    : random_(seed)
{
    listener_ = std::make_shared<standins::HttpListener>(executor, endpoint, [this](Exchange &exchange) { return handle(exchange); });
}

void ObjectService::start()
{
    listener_->start();
}

struct ObjectService::Copy {
    std::map<std::string, std::map<std::string, Object>> kinds;
    std::uint64_t revision = 0;
};

std::shared_ptr<const ObjectService::Copy> ObjectService::copy() const
{
    return std::make_shared<const Copy>(Copy{kinds_, revision_});
}

void ObjectService::restore(const Copy &copy)
{
    kinds_ = copy.kinds;
    revision_ = copy.revision;
    std::erase_if(events_, [this](const Event &event) { return event.revision > revision_; });
    historyStart_ = std::min(historyStart_, revision_);
    ++era_;
}

standins::Headers ObjectService::headers() const
{
    return {{"Store-Era", std::to_string(era_)}};
}

void ObjectService::forgetHistory()
{
    historyStart_ = ++revision_;
    events_.clear();
}

json::object ObjectService::describe(const std::string &name, const Object &object) const
{
    return {{"metadata", json::object{{"name", name}, {"revision", object.revision}}}, {"spec", object.spec}, {"status", nullptr}};
}

void ObjectService::recordEvent(const std::string &kind, const std::string &name, bool isRemoved, const Object &object)
{
    events_.push_back({revision_, kind, json::object{{"removed", isRemoved}, {"object", describe(name, object)}}});
}

void ObjectService::put(const std::string &kind, const std::string &name, json::value spec)
{
    auto &object = kinds_[kind][name];
    if (object.revision != 0 && object.spec == spec) {
        return;
    }
    object.spec = std::move(spec);
    object.revision = ++revision_;
    recordEvent(kind, name, false, object);
}

void ObjectService::remove(const std::string &kind, const std::string &name)
{
    auto &objects = kinds_[kind];
    const auto found = objects.find(name);
    if (found == objects.end()) {
        return;
    }
    ++revision_;
    recordEvent(kind, name, true, found->second);
    objects.erase(found);
}

boost::asio::awaitable<void> ObjectService::handle(Exchange &exchange)
{
    switch (fault_) {
    case StoreFault::Busy:
        co_await exchange.respond(503, "{}", headers());
        co_return;
    case StoreFault::Away:
        exchange.abort();
        co_return;
    case StoreFault::NoAnswer:
        co_await standins::sleepFor(20s);
        exchange.abort();
        co_return;
    case StoreFault::Slow:
        co_await standins::sleepFor(400ms);
        break;
    default:
        break;
    }
    co_await handleObjectRequest(exchange);
}

boost::asio::awaitable<void> ObjectService::handleObjectRequest(Exchange &exchange)
{
    const auto path = exchange.path();
    if (!path.starts_with(Prefix)) {
        co_await exchange.respond(404, "{}", headers());
        co_return;
    }
    const auto rest = path.substr(Prefix.size());
    const auto slash = rest.find('/');
    const auto kind = rest.substr(0, slash);
    const auto name = slash == std::string::npos ? std::string() : rest.substr(slash + 1);
    const bool isRead = exchange.request().method() == boost::beast::http::verb::get;
    if (isRead && !exchange.queryValue("watch").empty()) {
        co_await watch(exchange, kind);
        co_return;
    }
    std::string body = "{}";
    unsigned status = 200;
    if (!isRead) {
        status = write(exchange, kind, name, body);
        if (fault_ == StoreFault::LosesAnswers && random_() % 2 == 0) {
            exchange.abort();
            co_return;
        }
    } else if (name.empty()) {
        body = list(exchange, kind);
    } else if (const auto found = kinds_[kind].find(name); found != kinds_[kind].end()) {
        body = json::serialize(describe(name, found->second));
    } else {
        status = 404;
    }
    co_await exchange.respond(status, body, headers());
}

boost::asio::awaitable<void> ObjectService::watch(Exchange &exchange, std::string kind)
{
    const auto from = std::stoull(exchange.queryValue("watch"));
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(std::stoul(exchange.queryValue("wait_ms")));
    while (true) {
        if (fault_ == StoreFault::Away) {
            exchange.abort();
            co_return;
        }
        if (from < historyStart_ || from > revision_) {
            co_await exchange.respond(410, "{}", headers());
            co_return;
        }
        json::array found;
        for (const auto &event : events_) {
            if (event.revision > from && event.kind == kind) {
                found.push_back(event.body);
            }
        }
        if (!found.empty() || std::chrono::steady_clock::now() >= until) {
            json::object body;
            body["events"] = found;
            body["at"] = revision_;
            co_await exchange.respond(200, json::serialize(body), headers());
            co_return;
        }
        co_await standins::sleepFor(10ms);
    }
}

std::string ObjectService::list(const Exchange &exchange, const std::string &kind) const
{
    const auto after = exchange.queryValue("after");
    json::array entries;
    bool hasMore = false;
    const auto objects = kinds_.find(kind);
    if (objects != kinds_.end()) {
        for (auto entry = objects->second.upper_bound(after); entry != objects->second.end(); ++entry) {
            if (entries.size() == PageSize) {
                hasMore = true;
                break;
            }
            entries.push_back(describe(entry->first, entry->second));
        }
    }
    return json::serialize(json::object{{"entries", entries}, {"has_more", hasMore}, {"at", revision_}});
}

unsigned ObjectService::write(const Exchange &exchange, const std::string &kind, const std::string &name, std::string &body)
{
    const auto value = parseJson(exchange.request().body()).value_or(json::object());
    JsonReader reader(value);
    const auto *metadata = reader.object("metadata");
    if (metadata == nullptr) {
        return 400;
    }
    std::string objectName = name;
    std::uint64_t expected = 0;
    JsonReader fields(*metadata);
    fields.read("name", objectName, true);
    fields.read("revision", expected, true);
    const bool isCreate = exchange.request().method() == boost::beast::http::verb::post;
    const auto found = kinds_[kind].find(objectName);
    const bool exists = found != kinds_[kind].end();
    if (!isCreate && !exists) {
        return 404;
    }
    if ((isCreate && exists) || (expected != 0 && found->second.revision != expected)) {
        body = json::serialize(describe(objectName, found->second));
        return 409;
    }
    put(kind, objectName, value.as_object().at("spec"));
    body = json::serialize(describe(objectName, kinds_[kind].at(objectName)));
    return 200;
}

}
