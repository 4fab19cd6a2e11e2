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

/// Control plane of a gateway: follows configuration, servers and daemons in the store, and runs the replica controller while this
/// gateway holds the lease. Runs on the control thread, on which it also calls the hooks.
class FleetControl
{
public:
    struct Hooks {
        std::function<void(FleetSnapshotPtr)> onSnapshot;
        std::function<void(std::vector<PeerGateway>)> onPeers; // called with all other daemons
    };

    FleetControl(boost::asio::io_context &io, const GatewaySettings &settings, const Clock &clock, std::uint64_t process, FleetPlatform &platform, Hooks hooks);

    /// Starts to receive change notices at @p changes.
    std::error_code open(const Endpoint &changes);
    void start();
    /// Some daemon has received a request.
    void recordTraffic();
    /// A daemon found that no stream of @p head makes progress: probes the members of its replica.
    void onServerStalled(const VmId &head);
    /// Releases the lease and calls @p done, also when the store does not answer within the timeout.
    void stop(std::function<void()> done);
    /// Whether configuration and servers are known.
    bool isReady() const
    {
        return config_ != nullptr && hasServers_;
    }

private:
    KindWatcher::Hooks configHooks();
    KindWatcher::Hooks serverHooks();
    void updateWatchMode(TimePoint now);
    bool mustWatch(TimePoint now) const;
    void handleNotice(const ChangeNotice &notice);
    void publishChanges(std::span<const ObjectEvent> events);
    void sendHeartbeat(TimePoint now);
    void applyConfig(const StoredObject &object);
    void applyServers(std::span<const StoredObject> objects);
    void applyServerEvents(std::span<const ObjectEvent> events);
    void recordStoreResult(std::string_view what, std::error_code error);
    void publishIfChanged();

    void tick();
    void pollDaemons();
    void applyDaemons(const ListResult &list);
    void registerSelf();
    Duration pollInterval() const;
    bool mayCompeteForLease(TimePoint now) const;
    void runReplicaController();
    void probeLapsedMembers(TimePoint now);
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
    RelayPlan relayPlan_;
    ChangeFeed changeFeed_;
    ChangeFollower changeFollower_;
    std::uint64_t publishedRevision_ = 0; // changes up to it were sent to the gateways of the zone
    TimePoint publishedAt_{};
    TimePoint serversAnsweredAt_{}; // when the store last answered a list or watch of servers
    TimePoint watchingSince_{}; // since when this gateway watches the store itself
    ServiceConfigPtr config_;
    std::uint64_t configVersion_ = 0; // object version of the configuration
    ServerRegistry registry_;
    bool hasServers_ = false;
    bool isConfigChanged_ = false;
    bool isStoreReachable_ = true;

    LeaseKeeper lease_;
    ReplicaController controller_;
    std::uint64_t activeTerm_ = 0; // term in which the controller runs; 0 while it does not run
    std::uint64_t listCountAtTermStart_ = 0;
    TimePoint termStartedAt_{};
    std::map<VmId, TimePoint> lastProbeAt_; // last probe of each server whose registration has lapsed
    bool isRegistered_ = false;
    bool isRegistering_ = false;
    bool isPolling_ = false;
    TimePoint polledAt_{};
    bool isStopping_ = false;
};

}
