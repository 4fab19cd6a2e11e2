#pragma once

#include "gateway/change_relay.h"
#include "gateway/fleet_platform.h"
#include "gateway/kind_watcher.h"
#include "gateway/server_registry.h"
#include "gateway/store_reachability.h"
#include "gateway/store_watch_state.h"
#include "gateway/unreadable_objects.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string_view>
#include <system_error>

namespace carawaypoint
{

/// A gateway's copy of the configuration and of the registered servers. Used on the control thread only.
///
/// In a small fleet every gateway watches the store. In a larger one, one relay of each availability zone and the holder of the lease do; the
/// others follow them, and watch the store themselves when they receive nothing.
class StoreMirror
{
public:
    struct Hooks {
        std::function<void()> onChange;
        /// Called after each call to the store with its error, if any, and for a failed call the time since it was sent.
        std::function<void(std::string_view what, std::error_code error, Duration callTime)> onStoreResult;
        /// Called when a relay, rather than an answer of the store, shows that the store came back from an older copy.
        std::function<void()> onRelayedRestoration;
    };

    StoreMirror(boost::asio::io_context &io, const Clock &clock, FleetPlatform &platform, Hooks hooks);
    StoreMirror(const StoreMirror &) = delete;
    StoreMirror &operator=(const StoreMirror &) = delete;
    ~StoreMirror();

    /// Starts to receive change notices at @p changes.
    std::error_code open(const Endpoint &changes);
    /// Reads configuration and servers. The plan has to be set before.
    /// @param isNewFleet no gateway has held the lease yet, so that the other gateways may not be known.
    void start(bool isNewFleet);
    /// Whether start() was called.
    bool isStarted() const
    {
        return isStarted_;
    }
    void setPlan(const RelayPlan &plan, bool isLeaseHolder);
    /// Starts and ends watching the store, sends heartbeats, and asks for missing changes.
    void tick(bool isLeaseHolder);
    /// A call of this gateway to the store, for whatever purpose, was answered, or failed with @p error @p callTime after it was sent. When the
    /// store answers again, all that is followed is confirmed at once.
    void recordStoreResult(std::error_code error, Duration callTime);
    bool isStoreAnswering() const
    {
        return reachability_.isAnswering();
    }
    /// The store came back from an older copy: what is followed is listed again, and what the copy says of servers that left shortly before is
    /// not trusted for a while.
    void onStoreRestored();
    /// Lists the servers again.
    void relistServers();
    std::uint64_t serverListCount() const
    {
        return serverWatcher_->listCount();
    }

    /// Whether configuration and servers are known and were confirmed since the start.
    bool isReady() const
    {
        return config_ && isConfigConfirmed_ && isServersConfirmed_;
    }
    /// Whether this gateway watches the store itself.
    bool isWatching() const
    {
        return isStarted_ && !serverWatcher_->isSuspended();
    }
    /// Since when it does.
    TimePoint watchingSince() const
    {
        return watchingSince_;
    }
    /// Whether the configuration or the servers changed since the last call.
    bool takeChange();
    const ServiceConfigPtr &config() const
    {
        return config_;
    }
    const ServerMap &servers() const
    {
        return registry_.servers();
    }
    /// Store revision up to which the configuration is followed.
    std::uint64_t configRevision() const
    {
        return configWatcher_->revision();
    }
    /// Same for the servers.
    std::uint64_t serverRevision() const
    {
        return serverWatcher_->revision();
    }
    const RelayPlan &plan() const
    {
        return relay_.plan();
    }

private:
    KindWatcher::Hooks configHooks();
    KindWatcher::Hooks serverHooks();
    ChangeRelay::Hooks relayHooks();
    bool mustWatch(bool isLeaseHolder, TimePoint now) const;
    void updateWatchMode(bool isLeaseHolder, TimePoint now);
    void startWatching(bool isLeaseHolder, TimePoint now);
    void stopWatching(TimePoint now);
    /// The store answered a call for the configuration: a gateway that probed it watches the servers too.
    void onConfigAnswer();
    void confirmIfCurrent();
    void recordStoreAnswer();
    void fetchMissing();
    /// Decodes a configuration and applies it if it is newer than the known one, which the store of a later era may hold again at a later time.
    /// Returns whether the object is a newer one.
    bool applyConfig(std::uint64_t objectVersion, const StoredObject &object);
    void applyServers(std::span<const StoredObject> objects);
    void leaveOut(const StoredObject &object);
    void applyServerEvents(std::span<const ObjectEvent> events);

    const Clock &clock_;
    FleetPlatform &platform_;
    Hooks hooks_;
    std::shared_ptr<KindWatcher> configWatcher_;
    std::shared_ptr<KindWatcher> serverWatcher_;
    ChangeRelay relay_;
    ServerRegistry registry_;
    UnreadableObjects unreadableConfigs_;
    UnreadableObjects unreadableServers_;
    StoreReachability reachability_;
    ServiceConfigPtr config_;
    std::uint64_t configVersion_ = 0; // object version of the configuration
    std::uint64_t appliedRevision_ = 0; // all changes of servers up to it are applied
    bool isConfigChanged_ = false;
    bool isConfigConfirmed_ = false;
    bool isServersConfirmed_ = false;
    bool isStarted_ = false;
    bool isProbing_ = false; // asks the store for the configuration only, until it answers
    TimePoint watchingSince_{};
    TimePoint followingSince_{};
    TimePoint heldUntil_{}; // in a new fleet: until then only relays watch, since the others may not be known yet
    StoreWatchState configState_;
    StoreWatchState serverState_;
};

}
