#pragma once

#include "objects/object_store.h"

#include <boost/asio/any_io_executor.hpp>

#include <list>
#include <map>
#include <utility>

namespace carawaypoint
{

/// Fake object store in memory for tests and experiments, with injected faults.
///
/// Calls take effect at once, unless the store is unavailable. Responses are posted to the executor, after the delay if one is
/// set. A pending watch is answered by the next change or by endWatches(); the fake has no clock, so a watch does not time out.
class MemoryObjectStore : public ObjectStore
{
public:
    using Contents = std::map<std::pair<std::string, std::string>, StoredObject>;

    /// A backup of the contents for restore().
    struct Copy {
        Contents objects;
        std::uint64_t revision = 0;
    };

    explicit MemoryObjectStore(boost::asio::any_io_executor executor);

    void fetch(std::string_view kind, std::string_view name, ObjectHandler handler) override;
    void put(std::string_view kind, std::string_view name, std::string value, WriteCondition condition, VersionHandler handler) override;
    void remove(std::string_view kind, std::string_view name, WriteCondition condition, DoneHandler handler) override;
    void list(std::string_view kind, ListHandler handler) override;
    void watch(std::string_view kind, std::uint64_t afterRevision, Duration wait, WatchHandler handler) override;
    void listVms(VmListHandler handler) override;
    void setRestorationHandler(const RestorationHandler &handler) override;

    /// While down, every call fails with PlatformUnavailable and has no effect.
    void setDown(bool isDown);
    /// Delays every response, but not the effect of the call, by real time.
    void setDelay(Duration delay);
    /// The next @p count writes take effect but report PlatformTimeout.
    void loseAnswers(unsigned count);
    /// The next @p count writes have no effect and report PlatformTimeout.
    void loseWrites(unsigned count);
    Copy copy() const;
    /// Replaces the contents and the revision by those of @p copy, and ends pending watches.
    void restore(const Copy &copy);
    /// Same, and starts a new era, which the next answer shows.
    void restoreInNewEra(const Copy &copy);
    void setVms(std::vector<VmRecord> vms);
    /// Answers all pending watches without events.
    void endWatches();
    /// Number of calls so far.
    std::uint64_t calls() const
    {
        return calls_;
    }
    /// Number of writes so far that took effect.
    std::uint64_t writes() const
    {
        return writes_;
    }

private:
    struct Change {
        std::uint64_t revision = 0;
        ObjectEvent event;
    };
    struct Watch {
        std::string kind;
        std::uint64_t afterRevision = 0;
        WatchHandler handler;
    };

    template<typename Handler, typename... Results>
    void postResponse(Handler handler, std::error_code error, Results... results);
    void showEra();
    std::error_code admitWrite(const std::string &kind, const std::string &name, const WriteCondition &condition, bool &isResponseLost);
    void applyChange(StoredObject object, bool isRemoved);
    WatchResult changesAfter(const std::string &kind, std::uint64_t revision) const;

    boost::asio::any_io_executor executor_;
    Contents objects_;
    std::vector<Change> changes_;
    std::uint64_t oldestWatchableRevision_ = 0;
    std::list<Watch> watches_;
    std::vector<VmRecord> vms_;
    std::uint64_t revision_ = 0;
    std::uint64_t shownEra_ = 0;
    RestorationHandler onRestoration_;
    std::uint64_t calls_ = 0;
    std::uint64_t writes_ = 0;
    Duration delay_{};
    unsigned remainingLostResponses_ = 0;
    unsigned remainingLostWrites_ = 0;
    bool isUnavailable_ = false;
};

}
