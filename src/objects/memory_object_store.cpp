#include "objects/memory_object_store.h"

#include "core/result_code.h"
#include "objects/store_version.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace carawaypoint
{
namespace asio = boost::asio;

MemoryObjectStore::MemoryObjectStore(asio::any_io_executor executor)
    : executor_(std::move(executor))
{
}

template<typename Handler, typename... Results>
void MemoryObjectStore::postResponse(Handler handler, std::error_code error, Results... results)
{
    auto call = [this, isAnswer = !isUnavailable_, handler = std::move(handler), error, ... results = std::move(results)] {
        if (isAnswer) {
            showEra();
        }
        handler(error, results...);
    };
    if (delay_ == Duration{}) {
        asio::post(executor_, std::move(call));
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(executor_, delay_);
    timer->async_wait([timer, call = std::move(call)](const boost::system::error_code &) { call(); });
}

void MemoryObjectStore::showEra()
{
    const auto era = storeEraOf(revision_);
    const auto before = std::exchange(shownEra_, era);
    if (before != era && onRestoration_) {
        onRestoration_(before, era);
    }
}

void MemoryObjectStore::setRestorationHandler(const RestorationHandler &handler)
{
    onRestoration_ = handler;
}

std::error_code MemoryObjectStore::admitWrite(const std::string &kind, const std::string &name, const WriteCondition &condition, bool &isResponseLost)
{
    ++calls_;
    if (isUnavailable_) {
        return ResultCode::PlatformUnavailable;
    }
    if (remainingLostWrites_ > 0) {
        --remainingLostWrites_;
        return ResultCode::PlatformTimeout;
    }
    if (remainingLostResponses_ > 0) {
        --remainingLostResponses_;
        isResponseLost = true;
    }
    const auto found = objects_.find({kind, name});
    const bool isPresent = found != objects_.end();
    const bool isRefused = (condition.kind == WriteCondition::Kind::IfAbsent && isPresent)
        || (condition.kind == WriteCondition::Kind::IfVersion && (!isPresent || found->second.version != condition.version));
    return isRefused ? std::error_code(ResultCode::VersionConflict) : std::error_code();
}

void MemoryObjectStore::applyChange(StoredObject object, bool isRemoved)
{
    object.version = ++revision_;
    ++writes_;
    const auto kind = object.kind;
    if (isRemoved) {
        objects_.erase({object.kind, object.name});
    } else {
        objects_[{object.kind, object.name}] = object;
    }
    changes_.push_back({revision_, {std::move(object), isRemoved}});
    for (auto watch = watches_.begin(); watch != watches_.end();) {
        if (watch->kind != kind) {
            ++watch;
            continue;
        }
        postResponse(std::move(watch->handler), {}, changesAfter(kind, watch->afterRevision));
        watch = watches_.erase(watch);
    }
}

WatchResult MemoryObjectStore::changesAfter(const std::string &kind, std::uint64_t revision) const
{
    WatchResult result;
    result.revision = revision_;
    // A revision of an earlier era is below the oldest.
    if (revision < oldestWatchableRevision_ || revision > revision_) {
        result.isListRequired = true;
        return result;
    }
    for (const auto &change : changes_) {
        if (change.revision > revision && change.event.object.kind == kind) {
            result.events.push_back(change.event);
        }
    }
    return result;
}

void MemoryObjectStore::fetch(std::string_view kind, std::string_view name, ObjectHandler handler)
{
    ++calls_;
    if (isUnavailable_) {
        postResponse(std::move(handler), ResultCode::PlatformUnavailable, StoredObject{});
        return;
    }
    const auto found = objects_.find({std::string(kind), std::string(name)});
    if (found == objects_.end()) {
        postResponse(std::move(handler), ResultCode::ObjectNotFound,
                     StoredObject{.kind = {}, .name = {}, .version = storeVersion(storeEraOf(revision_), 0), .value = {}});
        return;
    }
    postResponse(std::move(handler), {}, found->second);
}

void MemoryObjectStore::put(std::string_view kind, std::string_view name, std::string value, WriteCondition condition, VersionHandler handler)
{
    if (value.size() > MaxValueBytes) {
        postResponse(std::move(handler), ResultCode::ObjectTooLarge, std::uint64_t{0});
        return;
    }
    StoredObject object{std::string(kind), std::string(name), 0, std::move(value)};
    bool isResponseLost = false;
    auto error = admitWrite(object.kind, object.name, condition, isResponseLost);
    std::uint64_t version = 0;
    if (!error) {
        applyChange(std::move(object), false);
        version = revision_;
    } else if (error == ResultCode::VersionConflict) {
        const auto found = objects_.find({object.kind, object.name});
        version = found == objects_.end() ? 0 : found->second.version;
    }
    if (isResponseLost) {
        error = ResultCode::PlatformTimeout;
        version = 0;
    }
    postResponse(std::move(handler), error, version);
}

void MemoryObjectStore::remove(std::string_view kind, std::string_view name, WriteCondition condition, DoneHandler handler)
{
    StoredObject object{std::string(kind), std::string(name), 0, {}};
    bool isResponseLost = false;
    auto error = admitWrite(object.kind, object.name, condition, isResponseLost);
    if (!error && !objects_.contains({object.kind, object.name})) {
        error = ResultCode::ObjectNotFound;
    }
    if (!error) {
        applyChange(std::move(object), true);
    }
    postResponse(std::move(handler), isResponseLost ? std::error_code(ResultCode::PlatformTimeout) : error);
}

void MemoryObjectStore::list(std::string_view kind, ListHandler handler)
{
    ++calls_;
    if (isUnavailable_) {
        postResponse(std::move(handler), ResultCode::PlatformUnavailable, ListResult{});
        return;
    }
    ListResult result;
    result.revision = revision_;
    for (const auto &[key, object] : objects_) {
        if (key.first == kind) {
            result.objects.push_back(object);
        }
    }
    postResponse(std::move(handler), {}, std::move(result));
}

void MemoryObjectStore::watch(std::string_view kind, std::uint64_t afterRevision, Duration wait, WatchHandler handler)
{
    ++calls_;
    if (isUnavailable_) {
        postResponse(std::move(handler), ResultCode::PlatformUnavailable, WatchResult{});
        return;
    }
    auto changes = changesAfter(std::string(kind), afterRevision);
    if (changes.isListRequired || !changes.events.empty() || wait == Duration{}) {
        postResponse(std::move(handler), {}, std::move(changes));
        return;
    }
    watches_.push_back({std::string(kind), afterRevision, std::move(handler)});
}

void MemoryObjectStore::listVms(VmListHandler handler)
{
    ++calls_;
    if (isUnavailable_) {
        postResponse(std::move(handler), ResultCode::PlatformUnavailable, std::vector<VmRecord>{});
        return;
    }
    postResponse(std::move(handler), {}, vms_);
}

void MemoryObjectStore::setDown(bool isDown)
{
    isUnavailable_ = isDown;
    if (!isDown) {
        return;
    }
    for (auto &watch : std::exchange(watches_, {})) {
        postResponse(std::move(watch.handler), ResultCode::PlatformUnavailable, WatchResult{});
    }
}

void MemoryObjectStore::setDelay(Duration delay)
{
    delay_ = delay;
}

void MemoryObjectStore::loseAnswers(unsigned count)
{
    remainingLostResponses_ = count;
}

void MemoryObjectStore::loseWrites(unsigned count)
{
    remainingLostWrites_ = count;
}

MemoryObjectStore::Copy MemoryObjectStore::copy() const
{
    return {objects_, revision_};
}

void MemoryObjectStore::restore(const Copy &copy)
{
    objects_ = copy.objects;
    revision_ = copy.revision;
    changes_.clear();
    oldestWatchableRevision_ = revision_;
    endWatches();
}

void MemoryObjectStore::restoreInNewEra(const Copy &copy)
{
    auto restored = copy;
    const auto era = storeEraOf(revision_) + 1;
    restored.revision = storeVersion(era, storeCounterOf(copy.revision));
    for (auto &[key, object] : restored.objects) {
        object.version = storeVersion(era, storeCounterOf(object.version));
    }
    restore(restored);
}

void MemoryObjectStore::setVms(std::vector<VmRecord> vms)
{
    vms_ = std::move(vms);
}

void MemoryObjectStore::endWatches()
{
    for (auto &watch : std::exchange(watches_, {})) {
        WatchResult result;
        result.revision = revision_;
        postResponse(std::move(watch.handler), {}, std::move(result));
    }
}

}
