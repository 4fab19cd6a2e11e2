#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace carawaypoint
{

/// One object of the platform's object API.
struct StoredObject {
    std::string kind;
    std::string name;
    std::uint64_t version = 0; // the store's revision at the object's last write; of an absent object the era without a counter
    std::string value;
};

/// A change reported by a watch.
struct ObjectEvent {
    StoredObject object;
    bool isRemoved = false;
};

struct WatchResult {
    std::uint64_t revision = 0; // to be passed as afterRevision to the next watch
    bool isListRequired = false; // the store no longer has the events after afterRevision; call list() again
    std::vector<ObjectEvent> events;
};

struct ListResult {
    std::uint64_t revision = 0;
    std::vector<StoredObject> objects;
};

/// An entry of the platform's VM list, which may be out of date.
struct VmRecord {
    VmId id;
    Endpoint address;
    ZoneId zone;
    FabricDomainId domain; // empty for VMs without accelerators
    std::string pool; // for a backend server, a model pool or the name of a plain service; "entry" for daemons
    bool isLeaving = false;
};

/// Condition of a write.
struct WriteCondition {
    enum class Kind : std::uint8_t {
        Always,
        IfAbsent,
        IfVersion,
    };
    Kind kind = Kind::Always;
    std::uint64_t version = 0;

    static WriteCondition always()
    {
        return {};
    }
    static WriteCondition ifAbsent()
    {
        return {Kind::IfAbsent, 0};
    }
    static WriteCondition ifVersion(std::uint64_t version)
    {
        return {Kind::IfVersion, version};
    }
};

/// The platform's object API. Versions and revisions are ordered pairs of era and counter, see store_version.h. Every call counts against the platform's rate
/// limits, including a pending watch.
///
/// Handlers run on the executor that the implementation was built with and are called exactly once. Errors are
/// PlatformUnavailable and PlatformTimeout (no response was received, and a write may have taken effect), VersionConflict,
/// ObjectNotFound, ObjectMalformed and ObjectTooLarge.
class ObjectStore
{
public:
    /// A larger value is rejected with ObjectTooLarge before it is sent.
    static constexpr std::size_t MaxValueBytes = 1'000'000;

    using ObjectHandler = std::function<void(std::error_code, StoredObject)>;
    using VersionHandler = std::function<void(std::error_code, std::uint64_t version)>;
    using DoneHandler = std::function<void(std::error_code)>;
    using ListHandler = std::function<void(std::error_code, ListResult)>;
    using WatchHandler = std::function<void(std::error_code, WatchResult)>;
    /// @param before, @param era the era before and the new one.
    using RestorationHandler = std::function<void(std::uint64_t before, std::uint64_t era)>;
    using VmListHandler = std::function<void(std::error_code, std::vector<VmRecord>)>;

    virtual ~ObjectStore() = default;

    virtual void fetch(std::string_view kind, std::string_view name, ObjectHandler handler) = 0;
    virtual void put(std::string_view kind, std::string_view name, std::string value, WriteCondition condition, VersionHandler handler) = 0;
    virtual void remove(std::string_view kind, std::string_view name, WriteCondition condition, DoneHandler handler) = 0;
    virtual void list(std::string_view kind, ListHandler handler) = 0;
    /// Like list(), but the result may be seconds old. Cheaper on platforms that support such reads.
    virtual void listStale(std::string_view kind, ListHandler handler)
    {
        list(kind, std::move(handler));
    }
    /// Calls @p handler when an object of @p kind has changed after @p afterRevision, or without events after @p wait.
    virtual void watch(std::string_view kind, std::uint64_t afterRevision, Duration wait, WatchHandler handler) = 0;
    virtual void listVms(VmListHandler handler) = 0;
    /// @p handler is called when an answer shows that the store came back from an older copy, before the handler of that answer. A store that states
    /// no era never calls it.
    virtual void setRestorationHandler(const RestorationHandler &handler)
    {
        static_cast<void>(handler);
    }
};

}
