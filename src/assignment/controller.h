#pragma once

#include "assignment/domain_controller.h"
#include "core/routing_snapshot.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace carawaypoint
{

/// A VM as shown to operators.
struct VmStatus {
    VmId vm;
    VmPhase phase = VmPhase::Free;
    ReplicaId replica;
    bool isSpare = false;
    bool isMissing = false;
    bool isDraining = false;
    double loadProgress = 0;
};

struct ReplicaStatus {
    ReplicaId id;
    DomainKey key;
    ModelId model;
    std::string version;
    std::uint64_t incarnation = 0;
    std::string state; // whole, loading, incomplete or draining
    std::vector<VmId> members;
    VmId spare;
};

struct DomainStatus {
    DomainKey key;
    MemberId holder;
    std::uint64_t epoch = 0;
    std::string ownLeaseState; // of this daemon
    std::uint32_t unconfirmedControllers = 0;
    std::vector<VmStatus> vms;
    std::uint32_t spares = 0; // bound to whole replicas
    std::uint32_t stranded = 0; // VMs that are there, belong to no whole replica and are no spare
    std::uint32_t strandedByConfirmation = 0; // of these, VMs whose release waits for former controllers
};

struct AssignmentStatus {
    std::vector<DomainStatus> domains;
    std::vector<ReplicaStatus> replicas;
    std::uint32_t stranded = 0;
};

/// Assignment in the daemon's zone: contends for the lease of each fabric domain and drives the domains that it holds.
///
/// All methods are called on the control thread. The ports must outlive the calls under way.
class Controller
{
public:
    using RecordCallback = DomainController::RecordCallback;

    class Builder
    {
    public:
        Builder(boost::asio::any_io_executor executor, ZoneId zone, ControllerRef self, ControllerPorts ports)
            : executor_(std::move(executor))
            , zone_(std::move(zone))
            , self_(std::move(self))
            , ports_(ports)
        {
        }
        Builder &settings(AssignmentSettings settings)
        {
            settings_ = std::move(settings);
            return *this;
        }
        /// Called when a record of this or another zone became known; newer than all before it. Daemons that do not watch
        /// get it from those that do.
        Builder &onRecord(RecordCallback callback)
        {
            onRecord_ = std::move(callback);
            return *this;
        }
        std::unique_ptr<Controller> build() const;

    private:
        friend class Controller;
        boost::asio::any_io_executor executor_;
        ZoneId zone_;
        ControllerRef self_;
        ControllerPorts ports_;
        AssignmentSettings settings_;
        RecordCallback onRecord_;
    };

    ~Controller();
    Controller(const Controller &) = delete;
    Controller &operator=(const Controller &) = delete;

    /// Ticks every @p period until stop().
    void start(Duration period);
    /// Takes no more leases and gives back those that have no order in flight, then calls @p handler.
    void stop(std::function<void()> handler);
    /// Does what is due now. start() calls it; tests on a virtual clock call it themselves.
    void tick();

    void setSettings(AssignmentSettings settings);
    /// Watchers follow the platform's records by a long poll; other daemons get them by applyRecord().
    void setWatcher(bool isWatcher);
    /// Record of any zone, from a peer.
    void applyRecord(const DomainKey &key, std::string_view text, std::uint64_t version);
    /// The platform's list of VMs of all zones.
    void setInventory(std::vector<VmRecord> vms);
    /// A read-back of an engine, own or from a peer. An older one than the known one is ignored.
    void observe(const VmId &vm, const VmObservation &observation);
    /// Live daemons of the zone, this one included. They take the leases in an order that differs by domain.
    void setLiveMembers(std::vector<MemberId> members);
    /// Takes a backend VM out of service without interrupting requests.
    void drainVm(const VmId &vm);
    /// The process did not run for a while, or lost touch with its peers: everything that it saw is stale.
    void handlePause();
    /// Answers the peer protocol's `confirmNoOrdersInFlight`.
    FormerControllerReply answerConfirmation(const DomainKey &domain, std::uint64_t presentEpoch, std::uint64_t process);

    /// Domains of the zone that have VMs or a record.
    std::vector<DomainKey> domains() const;
    /// Newest known records of all zones.
    std::vector<DomainRecord> records() const;
    const VmObservations &observations() const
    {
        return zoneView_->observations;
    }
    /// Replicas for the routing snapshot. One with a member that differs from the record has no members that count as seen.
    std::vector<ReplicaView> replicaViews() const;
    AssignmentStatus status() const;
    bool holdsLease(const DomainKey &domain) const;

private:
    explicit Controller(const Builder &settings);
    DomainController &domainController(const DomainKey &key);
    void planZone();
    Duration contendDelay(const DomainKey &key) const;
    void watch();
    void listRecords();
    void handleWatch(std::error_code error, const WatchResult &result);
    void applyObject(const StoredObject &object);
    void scheduleTick(Duration period);
    DomainStatus domainStatus(const DomainRecord &record) const;

    boost::asio::any_io_executor executor_;
    ZoneId zone_;
    ControllerRef self_;
    ControllerPorts ports_;
    RecordCallback onRecord_;
    std::shared_ptr<ZoneView> zoneView_ = std::make_shared<ZoneView>(); // shared with the domains' controllers, whose calls may outlive this object
    std::map<DomainKey, std::shared_ptr<DomainController>> controllers_;
    std::map<DomainKey, KnownRecord> remote_; // records of other zones
    std::vector<MemberId> liveMembers_;
    std::unique_ptr<boost::asio::steady_timer> timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); // false after the destructor, for answers that come later
    std::uint64_t watchRevision_ = 0;
    TimePoint nextWatchAt_{};
    bool isWatcher_ = false;
    bool isWatchUnderWay_ = false;
    bool hasListed_ = false;
    bool isStopping_ = false;
};

}
