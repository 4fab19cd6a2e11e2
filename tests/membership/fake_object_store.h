#pragma once

#include "core/result_code.h"
#include "objects/object_store.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/post.hpp>

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace carawaypoint::test
{

/// An object store in memory with injected faults: outage, lost responses, dropped writes. Tests restore an older backup by setting
/// its members.
class FakeObjectStore : public ObjectStore
{
public:
    explicit FakeObjectStore(boost::asio::any_io_executor executor)
        : executor_(std::move(executor))
    {
    }

    bool isDown = false;
    int lostResponses = 0; // number of further writes that take effect but report PlatformUnavailable
    int droppedWrites = 0; // number of further writes that do not take effect and report PlatformUnavailable
    std::map<std::pair<std::string, std::string>, StoredObject> objects;
    std::uint64_t revision = 0;
    int writes = 0;

    void fetch(std::string_view kind, std::string_view name, ObjectHandler handler) override
    {
        const auto found = objects.find({std::string(kind), std::string(name)});
        if (isDown) {
            answer(std::move(handler), ResultCode::PlatformUnavailable, StoredObject{});
        } else if (found == objects.end()) {
            answer(std::move(handler), ResultCode::ObjectNotFound, StoredObject{});
        } else {
            answer(std::move(handler), std::error_code{}, found->second);
        }
    }

    void put(std::string_view kind, std::string_view name, std::string value, WriteCondition condition, VersionHandler handler) override
    {
        const std::pair key{std::string(kind), std::string(name)};
        const auto found = objects.find(key);
        const std::uint64_t version = found == objects.end() ? 0 : found->second.version;
        if (isDown || droppedWrites > 0) {
            droppedWrites -= isDown ? 0 : 1;
            answer(std::move(handler), ResultCode::PlatformUnavailable, std::uint64_t{0});
            return;
        }
        const bool isRefused = (condition.kind == WriteCondition::Kind::IfAbsent && version != 0)
            || (condition.kind == WriteCondition::Kind::IfVersion && version != condition.version);
        if (isRefused) {
            answer(std::move(handler), ResultCode::VersionConflict, version);
            return;
        }
        ++writes;
        objects[key] = {key.first, key.second, ++revision, std::move(value)};
        const bool isLost = lostResponses > 0;
        lostResponses -= isLost ? 1 : 0;
        answer(std::move(handler), isLost ? std::error_code(ResultCode::PlatformUnavailable) : std::error_code{}, revision);
        answerWatches();
    }

    void remove(std::string_view, std::string_view, WriteCondition, DoneHandler) override
    {
    }

    void list(std::string_view kind, ListHandler handler) override
    {
        ListResult result{revision, {}};
        for (const auto &[key, object] : objects) {
            if (key.first == kind) {
                result.objects.push_back(object);
            }
        }
        answer(std::move(handler), isDown ? std::error_code(ResultCode::PlatformUnavailable) : std::error_code{}, std::move(result));
    }

    void watch(std::string_view kind, std::uint64_t after, Duration, WatchHandler handler) override
    {
        watches_.push_back({std::string(kind), after, std::move(handler)});
        answerWatches();
    }

    void listVms(VmListHandler) override
    {
    }

    /// Ends the pending watches in the same way as their timeout or an outage.
    void endWatches()
    {
        for (auto &waiting : std::exchange(watches_, {})) {
            answer(std::move(waiting.handler), isDown ? std::error_code(ResultCode::PlatformUnavailable) : std::error_code{}, WatchResult{revision, false, {}});
        }
    }

private:
    struct Waiting {
        std::string kind;
        std::uint64_t after;
        WatchHandler handler;
    };

    template<typename Handler, typename Value>
    void answer(Handler handler, std::error_code error, Value value)
    {
        boost::asio::post(executor_, [handler = std::move(handler), error, value = std::move(value)] { handler(error, value); });
    }

    void answerWatches()
    {
        std::deque<Waiting> kept;
        for (auto &waiting : std::exchange(watches_, {})) {
            WatchResult result{revision, false, {}};
            for (const auto &[key, object] : objects) {
                if (key.first == waiting.kind && object.version > waiting.after) {
                    result.events.push_back({object, false});
                }
            }
            if (result.events.empty() && !isDown) {
                kept.push_back(std::move(waiting));
            } else {
                answer(std::move(waiting.handler), isDown ? std::error_code(ResultCode::PlatformUnavailable) : std::error_code{}, std::move(result));
            }
        }
        watches_ = std::move(kept);
    }

    boost::asio::any_io_executor executor_;
    std::deque<Waiting> watches_;
};

}
