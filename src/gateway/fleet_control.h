#pragma once

#include "config/gateway_settings.h"
#include "fleet/replica_controller.h"
#include "gateway/fleet_platform.h"
#include "gateway/lease_keeper.h"
#include "gateway/member_prober.h"
#include "gateway/relay_plan.h"
#include "gateway/store_mirror.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace carawaypoint
{

/// Control plane of a gateway: mirrors configuration, servers and daemons of the store, and runs the replica controller while this
/// gateway holds the lease. Runs on the control thread, on which it also calls the hooks.
class FleetControl
{
public:
    struct Hooks {
        std::function<void(FleetSnapshotPtr)> onSnapshot;
        std::function<void(std::vector<PeerGateway>)> onPeers; // called with all other daemons
        std::function<void()> requestLoad; // the replica controller runs here and needs the load: setLoad() is to be called with it
    };

    FleetControl(boost::asio::io_context &io, const GatewaySettings &settings, const Clock &clock, std::uint64_t process, FleetPlatform &platform, Hooks hooks);

    /// Starts to receive change notices at @p changes.
    std::error_code open(const Endpoint &changes);
    void start();
    /// Some daemon has received a request.
    void recordTraffic();
    void setLoad(FleetLoad load);
    /// A daemon found that no stream of @p head makes progress: probes the members of its replica.
    void onServerStalled(const VmId &head);
    /// Whether this gateway reaches the backend servers itself. While it does not, it gives no orders and leaves the lease to others.
    void setServersReachable(bool areReachable);
    /// Releases the lease and gives no more orders. Configuration and servers are followed until the process ends, since requests in progress may
    /// need another server.
    void stop();
    /// Whether configuration and servers are known and current.
    bool isReady() const
    {
        return mirror_.isReady();
    }

private:
    void recordStoreResult(std::string_view what, std::error_code error, Duration callTime);
    /// The store came back from an older copy: what was written there since is gone, the lease and the record of this daemon too.
    void onStoreRestored();
    void publishIfChanged();

    void tick();
    /// The part of a tick that ends with a planned stop: the list of daemons, the lease and the replica controller.
    void control(TimePoint now);
    void pollDaemons();
    void applyDaemons(const ListResult &list);
    PeerGateway self() const;
    void registerSelf();
    Duration pollInterval() const;
    bool mayCompeteForLease(TimePoint now) const;
    void runReplicaController();
    void sendOrder(const ReplicaOrder &order);

    GatewaySettings settings_;
    const Clock &clock_;
    std::uint64_t process_;
    FleetPlatform &platform_;
    Hooks hooks_;
    boost::asio::steady_timer tickTimer_;

    StoreMirror mirror_;
    bool isPublishPending_ = false; // a change was not published yet, since the mirror was not ready

    BootTimeClock leaseClock_; // a lease expires while this VM is suspended
    LeaseKeeper lease_;
    ReplicaController controller_;
    MemberProber prober_;
    std::uint64_t activeTerm_ = 0; // term in which the controller runs; 0 while it does not run
    std::uint64_t listCountAtTermStart_ = 0;
    TimePoint termStartedAt_{};
    bool isRegistered_ = false;
    bool isRegistering_ = false;
    bool isRecordMissing_ = false; // the list of daemons has no record of this one
    bool isPolling_ = false;
    bool isNewFleet_ = false; // no daemon has held the lease yet
    TimePoint startedAt_{};
    TimePoint polledAt_{};
    TimePoint loadRequestedAt_{};
    bool areServersReachable_ = true;
    bool isStopping_ = false;
};

}
