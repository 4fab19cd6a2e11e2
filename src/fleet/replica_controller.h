#pragma once

#include "fleet/capacity_balancer.h"
#include "fleet/model_demand.h"
#include "fleet/order_client.h"
#include "fleet/peak_load.h"
#include "fleet/replica_composer.h"
#include "fleet/replica_plan.h"
#include "fleet/replica_view.h"
#include "fleet/spare_preloader.h"
#include "fleet/weight_load_limiter.h"

#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace carawaypoint
{

struct ReplicaControllerSettings {
    Duration stallTime{seconds(6)}; // a head that has lost a member breaks after this time
    Duration stallMargin{milliseconds(700)}; // added to stallTime before members of an unresponsive head are used again
    Duration orderRetryInterval{milliseconds(1500)}; // before an order is repeated whose effect the registrations do not show

    /// Servers register again within this time after the store or their zone was unreachable.
    Duration reregistrationGracePeriod{milliseconds(2200)};
    /// A server must have been registered for this long before it is used: its first registration after a network partition may be
    /// older than its state, until the next heartbeat corrects it.
    Duration minRegistrationAge{milliseconds(1400)};
    Duration unregisteredPlanTimeout{seconds(10)}; // an ending plan without registered members is dropped after this time
    Duration unresponsiveBackoff{seconds(8)}; // a server that did not answer a probe is not used for this time, unless it restarts
    Duration drainTime{milliseconds(3500)}; // limit for requests in progress at a replica with a leaving member
    /// Same for a replica whose servers move to another model. None of its members is leaving, so its requests get more time.
    Duration moveDrainTime{seconds(9)};
    Duration minServingTime{seconds(3)}; // a replica serves at least this long before its servers move to another model
    Duration minObservationTime{seconds(4)}; // of the load, before the first move of a term
    Duration moveInterval{seconds(1)}; // between moves, so that the load reports show the effect of the last one
    Duration releaseDelay{seconds(1)}; // before members of an ended replica that no other replica uses are ordered to leave
    Duration joinMargin{seconds(4)}; // added to the expected duration of a join

    /// Before the first request, replicas are formed when no new server has registered for formationQuietPeriod, but at the latest
    /// maxFormationDelay after the first server.
    Duration formationQuietPeriod{milliseconds(600)};
    Duration maxFormationDelay{seconds(4)};
    unsigned maxLoadsBeforeTraffic = 10000; // concurrent loads before the first request, when the weight store does not slow down
};

/// A phase change of a replica plan, for the decision log.
struct PlanChange {
    ReplicaId replica;
    PlanPhase phase = PlanPhase::Joining;
    std::string_view reason;
};

/// Decides which replicas exist and which orders create and end them. Does no I/O; the time is passed in.
///
/// The servers' reports are authoritative; the controller only stores orders whose effect is not reported yet. Servers may execute
/// orders late, so every join carries a higher epoch than all before it, and members of a replica are used again only once its
/// head cannot serve under the old epoch: it left, closed, broke, restarted or is confirmed to be gone.
class ReplicaController
{
public:
    explicit ReplicaController(ReplicaControllerSettings settings = {});

    void setConfig(ServiceConfigPtr config);
    /// Starts a term of the lease: drops all plans, which are then rebuilt from the servers' reports.
    void startTerm(std::uint64_t term, TimePoint now);
    /// The fleet has received requests; from then on the limits of the weight store apply.
    void recordTraffic()
    {
        hasTraffic_ = true;
    }
    /// Sets the load of the fleet as seen by its gateways. Until it is known, the configured shares count as the demand.
    void setLoad(FleetLoad load)
    {
        load_ = std::move(load);
    }
    /// Returns the orders that are due. @p servers is the current list.
    std::vector<ReplicaOrder> decide(const ServerMap &servers, TimePoint now);
    /// The server did not answer a probe: it counts as lost although it is still registered.
    void recordUnresponsive(const VmId &server, std::uint64_t startedAt, TimePoint now);
    /// Members of the serving replica whose head is @p head; empty when there is none.
    std::vector<PlannedMember> membersOf(const VmId &head) const;
    void recordOutcome(const ReplicaOrder &order, OrderOutcome outcome, TimePoint now);

    std::vector<PlanChange> takePlanChanges();

private:
    using Plans = std::map<ReplicaId, ReplicaPlan>;
    struct Staging {
        ModelId model;
        std::uint64_t serverStartedAt = 0;
        TimePoint since{};
        bool isOnMember = false; // of a serving replica, which may be repaired meanwhile
    };
    /// Free servers of a domain that wait for those of draining replicas, to form a replica of this model with them.
    struct Reservation {
        ModelId model;
        unsigned servers = 0;
        TimePoint until{};
    };

    struct Unresponsive {
        std::uint64_t serverStartedAt = 0;
        TimePoint until{};
    };

    ServerMap withoutUnresponsive(const ServerMap &servers, TimePoint now);
    void adoptReportedReplicas(const ServerMap &servers, TimePoint now);
    ReplicaPlan makeAdoptedPlan(const ReplicaMembers &view, TimePoint now) const;
    void recordRegistrations(const ServerMap &servers, TimePoint now);
    void recordLastModels(const ServerMap &servers);

    void updatePlan(ReplicaPlan &plan, const ServerMap &servers, TimePoint now);
    void updateJoining(ReplicaPlan &plan, const ServerMap &servers, TimePoint now);
    void updateOpening(ReplicaPlan &plan, const ServerMap &servers, TimePoint now);
    void updateServing(ReplicaPlan &plan, const ServerMap &servers, TimePoint now);
    void updateDraining(ReplicaPlan &plan, const ServerMap &servers, TimePoint now);
    void updateEnding(ReplicaPlan &plan, const ServerMap &servers, TimePoint now);
    void updateRetired(ReplicaPlan &plan, const ServerMap &servers, TimePoint now);
    bool checkMembers(ReplicaPlan &plan, const ServerMap &servers, TimePoint now);
    void addReportedMembers(ReplicaPlan &plan, const ServerMap &servers, TimePoint now) const;
    bool isCompleteAgain(const ReplicaPlan &plan, const ServerMap &servers) const;
    bool isUnregisteredTooLong(ReplicaPlan &plan, const ServerMap &servers, TimePoint now) const;
    bool isHeadStopped(const ReplicaPlan &plan, const ServerMap &servers) const;
    void abandonPlan(ReplicaPlan &plan, TimePoint now, std::string_view reason);
    void enterPhase(ReplicaPlan &plan, PlanPhase phase, TimePoint now, std::string_view reason);

    void queueJoin(ReplicaPlan &plan, PlannedMember &member, TimePoint now);
    void queueOrder(OrderKind kind, const ReplicaPlan &plan, PlannedMember &member, TimePoint now);

    bool mayFormReplicas(const ServerMap &servers, TimePoint now);
    void formReplicas(const ServerMap &servers, TimePoint now);
    using DomainKey = std::pair<ServiceId, FabricDomainId>;
    using FreeByDomain = std::map<DomainKey, std::vector<FreeServer>>;
    /// Members of replicas that are not retired.
    std::set<VmId> assignedServers() const;
    FreeServer makeFreeServer(const BackendServer &server) const;
    FreeByDomain findFreeServers(const ServerMap &servers, TimePoint now) const;
    /// Moves servers from models with spare capacity to the one that lacks it most.
    void moveCapacity(const FreeByDomain &free, const ServerMap &servers, TimePoint now);
    bool moveCapacityOf(const ServiceSpec &service, const FreeByDomain &free, const ServerMap &servers, TimePoint now);
    DomainCapacity domainCapacity(const DomainKey &domain, const FreeByDomain &free, const ModelId &need, const ServerMap &servers, TimePoint now) const;
    bool isMovable(const ReplicaPlan &plan, const ServerMap &servers, TimePoint now) const;
    bool retireLoadingPlans(const FreeByDomain &free, const ServerMap &servers, TimePoint now);
    bool formReplica(FreeByDomain::value_type &domain, const ServerMap &servers, TimePoint now);
    /// Whether the service has enough fabric domains to run only one model in each.
    static bool hasDomainsForEachModel(const ServiceSpec &service, const ServerMap &servers);
    std::set<ModelId> modelsInDomain(const DomainKey &domain) const;
    /// An epoch that is higher than all earlier ones.
    std::uint64_t nextEpoch();
    bool startReplica(const ServiceSpec &service, const FabricDomainId &domain, const Composition &composition, const ServerMap &servers, TimePoint now);
    /// Before traffic, stages a second model on the hosts of serving replicas, so that their servers can run either model without a load.
    void stageAlternatives(const ServerMap &servers, TimePoint now);
    void stageSpares(const ServiceSpec &service, const FabricDomainId &domain, std::span<const FreeServer> spares, const ServerMap &servers, TimePoint now);
    void preloadSpares(std::span<const FreeServer> spares, const ServerMap &servers, TimePoint now);
    void removeEndedStagings(const ServerMap &servers, TimePoint now);
    std::vector<ModelDemand> modelDemands(const ServiceSpec &service, const ServerMap &servers) const;
    /// Servers that each model needs: from its requests, or from the configured shares while these are not known.
    std::vector<ModelDemand> neededServers(const ServiceSpec &service, const ServerMap &servers) const;
    /// Whether the composition takes servers from a model although its own model needs none.
    bool convertsNeedlessly(const Composition &composition, std::span<const ModelDemand> demands, const ServerMap &servers) const;
    unsigned loadsInProgress(const ServerMap &servers) const;
    bool mayLoad(const ServiceSpec &service, unsigned count, const ServerMap &servers, TimePoint now);

    ReplicaControllerSettings settings_;
    ServiceConfigPtr config_;
    std::uint64_t term_ = 0;
    std::uint64_t lastSerial_ = 0;
    bool hasTraffic_ = false;
    std::size_t knownServerCount_ = 0;
    TimePoint firstServersAt_{};
    TimePoint lastServerAt_{};
    Plans plans_;
    std::set<VmId> assigned_; // result of assignedServers() at the start of decide()
    std::map<VmId, Staging> stagings_;
    SparePreloader preloader_;
    std::map<VmId, Unresponsive> unresponsive_;
    std::map<VmId, TimePoint> registeredSince_;
    TimePoint termStartedAt_{};
    std::map<VmId, std::pair<std::uint64_t, ModelId>> lastModels_; // startedAt of the server, and the model of its last replica
    WeightLoadLimiter loadLimiter_;
    std::optional<FleetLoad> load_;
    PeakLoad peakLoad_;
    std::optional<TimePoint> loadSeenSince_; // in this term
    std::map<DomainKey, Reservation> reservations_;
    TimePoint lastMoveAt_{};
    std::vector<ReplicaOrder> orders_;
    std::vector<PlanChange> planChanges_;
};

}
