#include "objects/http_object_store.h"

#include "core/json_reader.h"
#include "core/json_splitter.h"
#include "core/result_code.h"
#include "objects/store_answer.h"

#include <boost/asio/post.hpp>

#include <optional>

namespace carawaypoint
{
namespace
{

std::string objectTarget(std::string_view kind, std::string_view name)
{
    return "/v1/objects/" + percentEncoded(kind) + "/" + percentEncoded(name);
}

/// Maps a transport error or HTTP status to a result; empty for status 200.
std::error_code resultOf(std::error_code error, unsigned status)
{
    if (error == std::errc::timed_out) {
        return ResultCode::PlatformTimeout;
    }
    if (error == std::errc::bad_message) {
        return ResultCode::ObjectMalformed;
    }
    if (error) {
        return ResultCode::PlatformUnavailable;
    }
    switch (status) {
    case 200:
        return {};
    case 404:
        return ResultCode::ObjectNotFound;
    case 412:
        return ResultCode::VersionConflict;
    case 413:
        return ResultCode::ObjectTooLarge;
    default:
        return ResultCode::PlatformUnavailable;
    }
}

void addCondition(HttpRequest &request, const WriteCondition &condition)
{
    if (condition.kind == WriteCondition::Kind::IfAbsent) {
        request.headers.emplace_back("If-None-Match", "*");
    } else if (condition.kind == WriteCondition::Kind::IfVersion) {
        request.headers.emplace_back("If-Match", std::to_string(condition.version));
    }
}

/// Parses an object. Its kind comes from the request, because entries of lists and watches have none.
bool readObject(const boost::json::value &value, std::string_view kind, StoredObject &object, bool isValueOptional)
{
    JsonReader reader(value);
    object.kind = kind;
    reader.read("name", object.name);
    reader.read("version", object.version);
    reader.read("value", object.value, isValueOptional);
    return reader.isGood();
}

/// An object that cannot be parsed, without its value.
bool readUnreadableObject(std::string_view text, std::string_view kind, StoredObject &object)
{
    auto name = decodeJsonString(findJsonMember(text, "name"));
    const auto version = decodeJsonNumber(findJsonMember(text, "version"));
    if (!name || !version) {
        return false;
    }
    object.kind = kind;
    object.name = *std::move(name);
    object.version = *version;
    return true;
}

bool readObjectText(std::string_view text, std::string_view kind, StoredObject &object, bool isValueOptional)
{
    const auto json = parseJson(text);
    return json ? readObject(*json, kind, object, isValueOptional) : readUnreadableObject(text, kind, object);
}

std::optional<ListResult> parseList(std::string_view body, std::string_view kind)
{
    const auto answer = StoreAnswer::split(body, "objects", "revision");
    if (!answer) {
        return std::nullopt;
    }
    ListResult result;
    result.revision = answer->revision;
    for (const auto item : answer->elements) {
        if (!readObjectText(item, kind, result.objects.emplace_back(), false)) {
            return std::nullopt;
        }
    }
    return result;
}

std::optional<WatchResult> parseWatch(std::string_view body, std::string_view kind)
{
    const auto answer = StoreAnswer::split(body, "events", "revision");
    if (!answer) {
        return std::nullopt;
    }
    WatchResult result;
    result.revision = answer->revision;
    for (const auto item : answer->elements) {
        auto &event = result.events.emplace_back();
        const auto removed = findJsonMember(item, "removed");
        event.isRemoved = removed == "true";
        const bool isFlagValid = removed.empty() || removed == "true" || removed == "false";
        if (!isFlagValid || !readObjectText(item, kind, event.object, event.isRemoved)) {
            return std::nullopt;
        }
    }
    return result;
}

std::optional<std::vector<VmRecord>> parseVms(const std::string &body)
{
    const auto json = parseJson(body);
    if (!json) {
        return std::nullopt;
    }
    JsonReader reader(*json);
    const auto *items = reader.array("vms");
    if (!items) {
        return std::nullopt;
    }
    std::vector<VmRecord> vms;
    for (const auto &item : *items) {
        auto &vm = vms.emplace_back();
        std::string address;
        std::string state;
        JsonReader fields(item);
        fields.readId("id", vm.id);
        fields.read("address", address);
        fields.readId("zone", vm.zone);
        fields.readId("domain", vm.domain, true);
        fields.read("pool", vm.pool);
        fields.read("state", state);
        vm.address = Endpoint::parse(address);
        vm.isLeaving = state == "leaving";
        if (!fields.isGood() || vm.id.isEmpty() || !vm.address.isValid() || (state != "live" && state != "leaving")) {
            return std::nullopt;
        }
    }
    return vms;
}

std::optional<std::uint64_t> parseVersion(const std::string &body)
{
    const auto json = parseJson(body);
    if (!json) {
        return std::nullopt;
    }
    std::uint64_t version = 0;
    JsonReader reader(*json);
    reader.read("version", version);
    return reader.isGood() ? std::optional(version) : std::nullopt;
}

}

std::unique_ptr<HttpObjectStore> HttpObjectStore::Builder::build() const
{
    auto client = HttpClient::Builder(executor_).maxConnections(maxConnections_).build();
    return std::unique_ptr<HttpObjectStore>(new HttpObjectStore(executor_, std::move(client), platform_, timeout_));
}

HttpObjectStore::HttpObjectStore(boost::asio::any_io_executor executor, std::unique_ptr<HttpClient> client, Endpoint platform, Duration timeout)
    : executor_(std::move(executor))
    , client_(std::move(client))
    , platform_(std::move(platform))
    , timeout_(timeout)
{
}

void HttpObjectStore::send(HttpRequest request, HttpClient::Handler handler)
{
    client_->send(platform_, std::move(request), std::move(handler));
}

void HttpObjectStore::fetch(std::string_view kind, std::string_view name, ObjectHandler handler)
{
    HttpRequest request{"GET", objectTarget(kind, name), {}, {}, timeout_};
    send(std::move(request),
         [handler = std::move(handler), kind = std::string(kind), name = std::string(name)](std::error_code error, const HttpAnswer &answer) {
             if (const auto result = resultOf(error, answer.status)) {
                 handler(result, {});
                 return;
             }
             StoredObject object;
             const auto json = parseJson(answer.body);
             // With a response for another object, the caller would act on the wrong record.
             if (!json || !readObject(*json, kind, object, false) || object.name != name) {
                 handler(ResultCode::ObjectMalformed, {});
                 return;
             }
             handler({}, std::move(object));
         });
}

void HttpObjectStore::put(std::string_view kind, std::string_view name, std::string value, WriteCondition condition, VersionHandler handler)
{
    if (value.size() > MaxValueBytes) {
        boost::asio::post(executor_, [handler = std::move(handler)] { handler(ResultCode::ObjectTooLarge, 0); });
        return;
    }
    HttpRequest request{"PUT", objectTarget(kind, name), {{"Content-Type", "application/octet-stream"}}, std::move(value), timeout_};
    addCondition(request, condition);
    send(std::move(request), [handler = std::move(handler)](std::error_code error, const HttpAnswer &answer) {
        auto result = resultOf(error, answer.status);
        const auto version = parseVersion(answer.body);
        if (!result && !version) {
            result = ResultCode::ObjectMalformed;
        }
        handler(result, version.value_or(0));
    });
}

void HttpObjectStore::remove(std::string_view kind, std::string_view name, WriteCondition condition, DoneHandler handler)
{
    HttpRequest request{"DELETE", objectTarget(kind, name), {}, {}, timeout_};
    addCondition(request, condition);
    send(std::move(request), [handler = std::move(handler)](std::error_code error, const HttpAnswer &answer) { handler(resultOf(error, answer.status)); });
}

void HttpObjectStore::list(std::string_view kind, ListHandler handler)
{
    HttpRequest request{"GET", "/v1/objects/" + percentEncoded(kind), {}, {}, timeout_};
    send(std::move(request), [handler = std::move(handler), kind = std::string(kind)](std::error_code error, const HttpAnswer &answer) {
        if (const auto result = resultOf(error, answer.status)) {
            handler(result, {});
            return;
        }
        auto list = parseList(answer.body, kind);
        if (!list) {
            handler(ResultCode::ObjectMalformed, {});
            return;
        }
        handler({}, std::move(*list));
    });
}

void HttpObjectStore::watch(std::string_view kind, std::uint64_t afterRevision, Duration wait, WatchHandler handler)
{
    const auto waitMs = std::chrono::duration_cast<milliseconds>(wait).count();
    auto target = "/v1/watch?kind=" + percentEncoded(kind) + "&after=" + std::to_string(afterRevision) + "&wait_ms=" + std::to_string(waitMs);
    HttpRequest request{"GET", std::move(target), {}, {}, timeout_ + wait};
    send(std::move(request), [handler = std::move(handler), kind = std::string(kind)](std::error_code error, const HttpAnswer &answer) {
        if (!error && answer.status == 410) {
            WatchResult result;
            result.isListRequired = true;
            handler({}, std::move(result));
            return;
        }
        if (const auto result = resultOf(error, answer.status)) {
            handler(result, {});
            return;
        }
        auto changes = parseWatch(answer.body, kind);
        if (!changes) {
            handler(ResultCode::ObjectMalformed, {});
            return;
        }
        handler({}, std::move(*changes));
    });
}

void HttpObjectStore::listVms(VmListHandler handler)
{
    HttpRequest request{"GET", "/v1/vms", {}, {}, timeout_};
    send(std::move(request), [handler = std::move(handler)](std::error_code error, const HttpAnswer &answer) {
        if (const auto result = resultOf(error, answer.status)) {
            handler(result, {});
            return;
        }
        auto vms = parseVms(answer.body);
        if (!vms) {
            handler(ResultCode::ObjectMalformed, {});
            return;
        }
        handler({}, std::move(*vms));
    });
}

}
