#pragma once

#include "alarms/alarm_tracker.h"
#include "assignment/controller.h"
#include "assignment/engine_prober.h"
#include "config/process_settings.h"
#include "daemon/config_in_force.h"
#include "daemon/rpc_former_controller_client.h"
#include "daemon/rpc_peer_claims.h"
#include "daemon/status_bodies.h"
#include "engine/http_engine_client.h"
#include "membership/membership_agent.h"
#include "objects/http_object_store.h"
#include "protocol/peer_service.h"
#include "routing/dispatcher.h"
#include "serving/server_signal.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>

namespace carawaypoint
{

class ClaimStore;

/// Control plane of a daemon: membership, configuration, engine observations, assignment and alarms. Used on the control
/// thread; only functions documented as thread-safe may be called on other threads.
class ControlPlane
{
public:
    struct Hooks {
        std::function<void(const EffectiveConfig &)> onFirstConfig; // called once, when the daemon can start its front end
        std::function<void(std::function<void(ClaimStore &)>)>
            postToClaimStore; // runs an action with the claim store on its executor; does nothing without one
    };

    /// @param process incarnation of this process; a later start has a larger one.
    ControlPlane(boost::asio::io_context &control,
                 const ProcessSettings &settings,
                 const Clock &clock,
                 Dispatcher &dispatcher,
                 std::uint64_t process,
                 Hooks hooks);
    ~ControlPlane();

    /// Listens on the peer address and starts all parts. Fails when the peer address cannot be used.
    std::error_code start();
    /// Releases the leases, announces to the peers that this daemon leaves, then calls @p done.
    void stop(std::function<void()> done);

    /// The current routing snapshot; thread-safe.
    RoutingSnapshotPtr snapshot() const;
    /// Whether this daemon can serve requests; thread-safe.
    bool isReady() const
    {
        return isReady_;
    }
    /// Handles an observation of the front end about a backend server; thread-safe.
    void handleServerSignal(const ServerSignal &signal);

    ObjectStore &store()
    {
        return *store_;
    }
    PeerClaims &peerClaims()
    {
        return peerClaims_;
    }
    const AlarmTracker &alarms() const
    {
        return alarms_;
    }
    const ConfigInForce &config() const
    {
        return config_;
    }
    ConfigurationAgent &configuration()
    {
        return configuration_;
    }
    std::span<const VmRecord> vms() const
    {
        return vms_;
    }
    DaemonStatus status();
    std::vector<MemberGeneration> memberGenerations();
    /// Finds a zone with live daemons for which @p loaded has no site. Its daemons could not put the configuration in force. Empty when
    /// there is none.
    std::string findZoneWithoutSite(const LoadedConfig &loaded);
    /// Takes a backend server out of service at all daemons; false when the platform's list has no such VM.
    bool drainVm(const VmId &vm);

private:
    struct ProbedEngine {
        TimePoint seenAt{}; // time of the last answer
        EngineState state;
    };

    /// Runs @p step after @p period.
    void scheduleNext(boost::asio::steady_timer &timer, Duration period, void (ControlPlane::*step)());
    void fetchVmList();
    /// Fetches domain records and the VM list from a live daemon of the zone while the platform is unreachable.
    void fetchAssignmentFromPeer();
    /// Domain records that are newer than @p known, and the VM list.
    SharedAssignment assignmentNewerThan(const std::vector<RecordStamp> &known) const;
    void applyInventory(std::vector<VmRecord> vms);
    void controlTick();
    void slowTick();
    void applyConfiguration(const ConfigurationText &text);
    void handleEngineReport(const EngineReport &report);
    void handlePeerSignal(const PeerSignal &signal);
    void applyRoles();
    void publishOwnObservations(TimePoint now);
    void applyPeerObservations(TimePoint now);
    void publishSnapshot(TimePoint now);
    void publishDemand();
    void publishCrashSuspects();
    void updateClaimStore();
    void updateAlarms(TimePoint now);
    /// Whether this daemon logs the alarm. All daemons of a zone see the same conditions; one of them logs each, so that one cause is
    /// reported once.
    bool isReporter(const Alarm &alarm, TimePoint now);
    void updateMetrics();
    /// Records that a server leaves: routers send it no new requests, and the holder of its domain's lease drains it.
    void recordLeaving(const VmId &vm);
    /// As recordLeaving(), and informs the other daemons.
    void announceLeaving(const VmId &vm);
    const VmRecord *findVmByAddress(const Endpoint &address) const;
    const DomainRecord *findDomainRecord(const VmId &vm) const;
    std::vector<MemberRecord> members();
    std::optional<MemberRecord> findMember(const MemberId &id);
    MembershipCallbacks membershipCallbacks();
    MembershipAgentOptions membershipOptions() const;

    boost::asio::io_context &control_;
    ProcessSettings settings_;
    const Clock &clock_;
    Dispatcher &dispatcher_;
    std::uint64_t process_;
    Hooks hooks_;

    std::unique_ptr<HttpObjectStore> store_;
    std::unique_ptr<HttpEngineClient> engines_;
    ConfigurationAgent configuration_;
    MembershipAgent membership_;
    PeerService peers_;
    RpcFormerControllerClient formerControllers_;
    RpcPeerClaims peerClaims_;
    std::unique_ptr<Controller> controller_;
    std::unique_ptr<EngineProber> prober_;
    ConfigInForce config_;
    AlarmTracker alarms_;

    boost::asio::steady_timer vmTimer_;
    boost::asio::steady_timer controlTimer_;
    boost::asio::steady_timer slowTimer_;
    boost::asio::steady_timer stopTimer_;

    std::vector<VmRecord> vms_;
    std::vector<DomainRecord> domainRecords_; // newest records of all zones, refreshed at each control tick
    std::map<VmId, const DomainRecord *> domainRecordByVm_; // points into domainRecords_
    std::map<VmId, ProbedEngine> probedEngines_; // last answers of the engines that this daemon probes
    std::set<VmId> probedVms_; // VMs whose engines this daemon probes
    std::map<VmId, TimePoint> leavingUntil_; // VMs that announced that they leave, with the time until which this counts
    std::uint64_t nextPeerIndex_ = 0; // selects the peer for the next fetchAssignment call, modulo the number of peers
    std::uint64_t crashSuspectCount_ = 0; // crash suspects reported by this process
    PeerServiceCounters lastPeerCounters_; // values at the last update of the metrics
    std::uint64_t pauseCount_ = 0; // pauses of the process that controlTick() has handled
    bool isPlatformReachable_ = false;
    TimePoint lastControlTick_{};
    TimePoint lastClaimSweep_{};
    std::atomic<bool> isReady_ = false;
    mutable std::mutex snapshotMutex_;
    RoutingSnapshotPtr snapshot_;
};

}
