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

/// State of a VM for operators.
struct VmStatus {
    VmId vm;
    VmPhase phase = VmPhase::Free;
    ReplicaId replica;
    bool isSpare = false;
    bool isMissing = false; // not observed for missingTimeout
    bool isDraining = false;
    double loadProgress = 0; // 0 to 1
};

/// State of a replica for operators.
struct ReplicaStatus {
    ReplicaId id;
    DomainKey key;
    ModelId model;
    std::string version;
    std::uint64_t incarnation = 0;
    std::string state; // whole, loading, incomplete or draining
    std::vector<VmId> members;
    VmId spare; // empty when none is bound
};

/// State of a fabric domain for operators.
struct DomainStatus {
    DomainKey key;
    MemberId holder; // of the lease; empty when released
    std::uint64_t epoch = 0;
    std::string ownLeaseState; // of this daemon as a contender for the lease
    std::uint32_t unconfirmedControllers = 0;
    std::vector<VmStatus> vms;
    std::uint32_t spares = 0; // VMs bound to a replica as its spare
    std::uint32_t stranded = 0; // VMs that are observed, belong to no complete replica and are not a spare
    std::uint32_t strandedByConfirmation = 0; // stranded VMs whose release waits for the confirmation of former controllers
};

struct AssignmentStatus {
    std::vector<DomainStatus> domains;
    std::vector<ReplicaStatus> replicas;
    std::uint32_t stranded = 0;
};

/// Controls the assignment of VMs to replicas in the daemon's zone: contends for the lease of each fabric domain and repairs
/// the domains whose lease it holds.
///
/// All methods are called on the control thread. The ports must outlive the calls in flight.
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
        /// Called with each record of this or another zone that is newer than all known ones of its domain. Watchers use it
        /// to send the records to daemons that do not watch.
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
    /// Stops contending for leases, releases those of domains without orders in flight, then calls @p handler.
    void stop(std::function<void()> handler);
    /// Performs all actions that are due. start() schedules it; tests on a virtual clock call it directly.
    void tick();

    void setSettings(AssignmentSettings settings);
    /// Sets whether this daemon follows the platform's records by a long poll; other daemons get them by applyRecord().
    void setWatcher(bool isWatcher);
    /// Applies a record of any zone that a peer sent.
    void applyRecord(const DomainKey &key, std::string_view text, std::uint64_t version);
    /// Sets the platform's list of VMs of all zones.
    void setInventory(std::vector<VmRecord> vms);
    /// Applies an engine's state, observed by this daemon or a peer. An observation older than the known one is ignored.
    void observe(const VmId &vm, const VmObservation &observation);
    /// Sets the live daemons of the zone, this one included. Their order in contending for a lease differs by domain.
    void setLiveMembers(std::vector<MemberId> members);
    /// Takes a backend VM out of service without interrupting requests.
    void drainVm(const VmId &vm);
    /// Invalidates all observations after the process was paused or lost the connections to its peers.
    void handlePause();
    /// Answers the peer protocol's `confirmNoOrdersInFlight`.
    FormerControllerReply answerConfirmation(const DomainKey &domain, std::uint64_t presentEpoch, std::uint64_t process);

    /// Fabric domains of the zone that have VMs or a record.
    std::vector<DomainKey> domains() const;
    /// Newest known record of each domain of all zones.
    std::vector<DomainRecord> records() const;
    const VmObservations &observations() const
    {
        return zoneState_->observations;
    }
    /// Replicas for the routing snapshot. In a replica with a member that differs from the record no member counts as loaded.
    std::vector<ReplicaView> replicaViews() const;
    AssignmentStatus status() const;
    /// Whether this daemon holds the lease of @p domain and has access to the platform.
    bool holdsLease(const DomainKey &domain) const;

private:
    explicit Controller(const Builder &settings);
    DomainController &domainController(const DomainKey &key);
    void planZone();
    /// Additional time for which this daemon waits before it takes an expired lease, by its rank among the live daemons.
    Duration contentionDelay(const DomainKey &key) const;
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
    std::shared_ptr<ZoneState> zoneState_ = std::make_shared<ZoneState>(); // shared with the domain controllers, whose calls may outlive this object
    std::map<DomainKey, std::shared_ptr<DomainController>> controllers_;
    std::map<DomainKey, KnownRecord> recordsOfOtherZones_;
    std::vector<MemberId> liveMembers_;
    std::unique_ptr<boost::asio::steady_timer> timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true); // set to false by the destructor, for handlers that run later
    std::uint64_t watchRevision_ = 0;
    TimePoint nextWatchAt_{};
    bool isWatcher_ = false;
    bool isWatchInFlight_ = false;
    bool hasListedRecords_ = false; // whether watchRevision_ is valid
    bool isStopping_ = false;
};

}
