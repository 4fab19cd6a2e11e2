#pragma once

#include "idempotency/claim_store.h"

#include <deque>
#include <queue>

namespace carawaypoint
{

/// A virtual clock that runs scheduled actions in the order of their time.
class VirtualTime
{
public:
    void after(Duration delay, std::function<void()> action)
    {
        actions_.push({clock.now() + delay, ++sequence_, std::move(action)});
    }
    void runAll()
    {
        while (!actions_.empty()) {
            const auto next = actions_.top();
            actions_.pop();
            clock.setNow(next.at);
            next.action();
        }
    }
    WallTime wallTime() const
    {
        return std::chrono::duration_cast<WallTime>(clock.now().time_since_epoch()) + WallTime(1'700'000'000'000);
    }

    ManualClock clock;

private:
    struct Action {
        TimePoint at;
        std::uint64_t sequence;
        std::function<void()> action;
        bool operator<(const Action &other) const
        {
            return std::tie(at, sequence) > std::tie(other.at, other.sequence);
        }
    };
    std::priority_queue<Action> actions_;
    std::uint64_t sequence_ = 0;
};

/// Objects shared by all daemons of a test. The effect or the response of a share of the calls is lost or delayed.
class FakeObjects
{
public:
    FakeObjects(VirtualTime &time, std::uint64_t seed)
        : time_(time)
        , random_(seed)
    {
    }

    /// Applies @p effect to the store and then calls @p answer with its result. At random, either is lost or delayed, and the
    /// caller then gets @p lost.
    template<typename Result>
    void call(std::function<Result()> effect, std::function<void(Result)> answer, Result lost)
    {
        const auto delay = microseconds(500 + random_() % 3000);
        const auto randomShare = static_cast<double>(random_() % 1000) / 1000;
        if (isDown || randomShare < lossShare / 3) {
            time_.after(delay, [answer, lost] { answer(lost); });
        } else if (randomShare < lossShare * 2 / 3) {
            time_.after(delay, [answer, lost, effect] {
                effect();
                answer(lost);
            });
        } else if (randomShare < lossShare) {
            // The caller times out before the write takes effect.
            time_.after(delay, [answer, lost] { answer(lost); });
            time_.after(delay + milliseconds(random_() % 200), [effect] { effect(); });
        } else {
            time_.after(delay, [this, answer, effect, delay] {
                const auto result = effect();
                time_.after(delay, [answer, result] { answer(result); });
            });
        }
    }

    std::map<std::string, StoredObject> objects;
    std::uint64_t revision = 100;
    double lossShare = 0; // of calls, 0 to 1
    bool isDown = false;
    std::size_t removals = 0;

private:
    VirtualTime &time_;
    RandomGenerator random_;
};

/// The object store of one daemon, on top of the shared objects.
class FakeStore : public ObjectStore
{
public:
    FakeStore(FakeObjects &objects, std::function<void(std::function<void()>)> executor)
        : objects_(objects)
        , executor_(std::move(executor))
    {
    }
    void fetch(std::string_view, std::string_view name, ObjectHandler handler) override
    {
        using Result = std::pair<std::error_code, StoredObject>;
        objects_.call<Result>(
            [&objects = objects_, name = std::string(name)]() -> Result {
                const auto found = objects.objects.find(name);
                return found == objects.objects.end() ? Result(ResultCode::ObjectNotFound, {}) : Result({}, found->second);
            },
            [executor = executor_, handler](const Result &result) { executor([handler, result] { handler(result.first, result.second); }); },
            {ResultCode::PlatformUnavailable, {}});
    }
    void put(std::string_view, std::string_view name, std::string value, WriteCondition condition, VersionHandler handler) override
    {
        using Result = std::pair<std::error_code, std::uint64_t>;
        objects_.call<Result>(
            [&objects = objects_, name = std::string(name), value, condition]() -> Result {
                const auto found = objects.objects.find(name);
                const auto version = found == objects.objects.end() ? 0 : found->second.version;
                if ((condition.kind == WriteCondition::Kind::IfAbsent && version != 0)
                    || (condition.kind == WriteCondition::Kind::IfVersion && version != condition.version)) {
                    return {ResultCode::VersionConflict, version};
                }
                objects.objects[name] = {"claim", name, ++objects.revision, value};
                return {{}, objects.revision};
            },
            [executor = executor_, handler](const Result &result) { executor([handler, result] { handler(result.first, result.second); }); },
            {ResultCode::PlatformTimeout, 0});
    }
    void remove(std::string_view, std::string_view name, WriteCondition, DoneHandler handler) override
    {
        objects_.removals += objects_.objects.erase(std::string(name));
        handler({});
    }
    void list(std::string_view, ListHandler handler) override
    {
        ListResult result;
        for (const auto &[name, object] : objects_.objects) {
            result.objects.push_back(object);
        }
        handler({}, result);
    }
    void watch(std::string_view, std::uint64_t, Duration, WatchHandler) override
    {
    }
    void listVms(VmListHandler) override
    {
    }

private:
    FakeObjects &objects_;
    std::function<void(std::function<void()>)> executor_;
};

/// A UUID version 7 with the creation time @p time.
inline std::string makeKey(WallTime time, std::uint64_t number)
{
    char text[64];
    const auto ms = static_cast<unsigned long long>(time.count());
    std::snprintf(text, sizeof(text), "%08llx-%04llx-7%03llx-8000-%012llx", ms >> 16U, ms & 0xffffU, static_cast<unsigned long long>(number & 0xfffU),
                  static_cast<unsigned long long>(number));
    return text;
}

}
