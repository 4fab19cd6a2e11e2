#pragma once

#include "config/gateway_settings.h"
#include "fleet/replica_controller.h"
#include "gateway/change_feed.h"
#include "gateway/change_follower.h"
#include "gateway/fleet_platform.h"
#include "gateway/kind_watcher.h"
#include "gateway/lease_keeper.h"
#include "gateway/relay_plan.h"
#include "gateway/server_registry.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>

namespace carawaypoint
{

/// The control side of a gateway: follows configuration, servers and daemons in the store, and drives the replicas while it holds
/// the lease. Runs on the control thread; hooks are called there.
class FleetControl
{
public:
    struct Hooks {
        std::function<void(FleetSnapshotPtr)> onSnapshot;
        std::function<void(std::vector<PeerGateway>)> onPeers; // other daemons
    };

    FleetControl(boost::asio::io_context &io, const GatewaySettings &settings, const Clock &clock, std::uint64_t process, FleetPlatform &platform, Hooks hooks);

    /// Opens the address for notices of changes.
    std::error_code open(const Endpoint &changes);
    void start();
    /// Requests have come to some daemon.
    void noteTraffic();
    /// A daemon found that no stream of the server makes progress: asks the members of its replica who is there.
    void noteStalled(const VmId &head);
    /// Gives the lease up and calls @p done, also when the store does not answer in time.
    void stop(std::function<void()> done);
    /// Whether configuration and servers are known.
    bool isReady() const
    {
        return config_ != nullptr && hasServers_;
    }

private:
    KindWatcher::Hooks configHooks();
    KindWatcher::Hooks serverHooks();
    void updateWatching(TimePoint now);
    bool mustWatch(TimePoint now) const;
    void followNotice(const ChangeNotice &notice);
    void publishChanges(std::span<const ObjectEvent> events);
    void sendHeartbeat(TimePoint now);
    void applyConfig(const StoredObject &object);
    void applyServers(std::span<const StoredObject> objects);
    void applyServerEvents(std::span<const ObjectEvent> events);
    void noteStoreResult(std::string_view what, std::error_code error);
    void publishIfChanged();

    void tick();
    void pollDaemons();
    void applyDaemons(const ListResult &list);
    void registerSelf();
    Duration pollInterval() const;
    bool mayLead(TimePoint now) const;
    void driveReplicas();
    void probeUnlisted(TimePoint now);
    void probe(const VmId &server, const Endpoint &address, std::uint64_t startedAt, std::string_view reason);
    void sendOrder(const ReplicaOrder &order);

    GatewaySettings settings_;
    const Clock &clock_;
    std::uint64_t process_;
    FleetPlatform &platform_;
    Hooks hooks_;
    boost::asio::steady_timer tickTimer_;

    std::shared_ptr<KindWatcher> configWatcher_;
    std::shared_ptr<KindWatcher> serverWatcher_;
    RelayPlan plan_;
    ChangeFeed feed_;
    ChangeFollower follower_;
    std::uint64_t publishedRevision_ = 0; // up to which the gateways of the zone were told the changes
    TimePoint publishedAt_{};
    TimePoint watchedAt_{}; // last answer to a list or watch of servers
    TimePoint watchingSince_{}; // start of the present time in which this gateway watches the store itself
    ServiceConfigPtr config_;
    std::uint64_t configVersion_ = 0; // object version of the configuration
    ServerRegistry registry_;
    bool hasServers_ = false;
    bool isConfigChanged_ = false;
    bool isStoreReachable_ = true;

    LeaseKeeper lease_;
    ReplicaController controller_;
    std::uint64_t drivenTerm_ = 0; // term that the controller works in; 0 when it does not
    std::uint64_t listsAtTerm_ = 0;
    TimePoint termBegunAt_{};
    std::map<VmId, TimePoint> probedAt_; // unlisted servers
    bool isRegistered_ = false;
    bool isRegistering_ = false;
    bool isPolling_ = false;
    TimePoint polledAt_{};
    bool isStopping_ = false;
};

}
