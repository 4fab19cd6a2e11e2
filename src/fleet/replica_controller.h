#pragma once

#include "fleet/load_pacer.h"
#include "fleet/order_client.h"
#include "fleet/replica_composer.h"
#include "fleet/replica_plan.h"
#include "fleet/replica_view.h"

#include <map>
#include <set>
#include <span>
#include <string_view>
#include <vector>

namespace carawaypoint
{

struct ReplicaControllerSettings {
    Duration stallTime{seconds(6)}; // after which a head without one of its members breaks
    Duration stallSlack{milliseconds(700)}; // added to stallTime before members of a silent head are used again
    Duration reorderInterval{milliseconds(1500)}; // between repeats of an order that the entries do not confirm
    Duration returnTime{milliseconds(2200)}; // within which servers are listed again after the store or their zone was away
    Duration listedTime{milliseconds(1400)}; // for which a server must be listed before it is used: its first registration after
                                             // a cut may be older than its state, the next heartbeat corrects it
    Duration forgetTime{seconds(10)}; // without any member in the list, after which an ending plan is dropped
    Duration silenceMemory{seconds(8)}; // for which a server that did not answer a probe is not used, unless it starts again
    Duration drainTime{milliseconds(3500)}; // for requests in progress at a replica with a leaving member
    Duration releaseDelay{seconds(1)}; // before members of a replica that has ended are told to leave it, unless another takes them
    Duration joinSlack{seconds(4)}; // beyond the time that a join should take
    Duration settleTime{milliseconds(600)}; // before the first request: without a new server, after which replicas are formed
    Duration maxSettleTime{seconds(4)}; // before the first request: after which replicas are formed from what is there
    unsigned loadsBeforeTraffic = 10000; // at once before the first request, when the weight store does not slow down
};

/// A change of a plan, for the decision log.
struct PlanNote {
    ReplicaId replica;
    PlanPhase phase = PlanPhase::Joining;
    std::string_view reason;
};

/// Decides which replicas exist and which orders bring them about. Pure: no sockets and no clock of its own.
///
/// What the servers report is the record; the controller keeps only what it has ordered and not yet seen. Orders may be carried
/// out late, so every join carries a higher epoch than all before it, and members of a replica are used again only once its
/// head cannot serve under the old epoch: it left, closed, broke, restarted or is confirmed to be gone.
class ReplicaController
{
public:
    explicit ReplicaController(ReplicaControllerSettings settings = {});

    void setConfig(ServiceConfigPtr config);
    /// Begins a term of the lease: forgets all plans, so that they are rebuilt from what the servers report.
    void beginTerm(std::uint64_t term, TimePoint now);
    /// Requests have come, so loads take their full time.
    void noteTraffic()
    {
        hasTraffic_ = true;
    }
    /// Orders that are due. @p servers is the newest list, as of now.
    std::vector<ReplicaOrder> decide(const ServerMap &servers, TimePoint now);
    /// The server did not answer a probe: it counts as lost although it is still listed.
    void noteSilent(const VmId &server, std::uint64_t startedAt, TimePoint now);
    /// Members of the replica whose head is @p head and that serves; empty when there is none.
    std::vector<PlannedMember> membersOf(const VmId &head) const;
    void noteOutcome(const ReplicaOrder &order, OrderOutcome outcome, TimePoint now);

    std::vector<PlanNote> takeNotes();

private:
    using Plans = std::map<ReplicaId, ReplicaPlan>;
    struct Staging {
        ModelId model;
        std::uint64_t serverStartedAt = 0;
        TimePoint since{};
    };

    struct Silence {
        std::uint64_t serverStartedAt = 0;
        TimePoint until{};
    };

    ServerMap withoutSilent(const ServerMap &servers, TimePoint now);
    void adoptUnknown(const ServerMap &servers, TimePoint now);
    ReplicaPlan planOf(const ReplicaMembers &view, TimePoint now) const;
    void noteListed(const ServerMap &servers, TimePoint now);
    void noteModels(const ServerMap &servers);

    void update(ReplicaPlan &plan, const ServerMap &servers, TimePoint now);
    void updateJoining(ReplicaPlan &plan, const ServerMap &servers, TimePoint now);
    void updateOpening(ReplicaPlan &plan, const ServerMap &servers, TimePoint now);
    void updateServing(ReplicaPlan &plan, const ServerMap &servers, TimePoint now);
    void updateDraining(ReplicaPlan &plan, const ServerMap &servers, TimePoint now);
    void updateEnding(ReplicaPlan &plan, const ServerMap &servers, TimePoint now);
    void updateRetired(ReplicaPlan &plan, const ServerMap &servers, TimePoint now);
    bool checkMembers(ReplicaPlan &plan, const ServerMap &servers, TimePoint now);
    void addReportedMembers(ReplicaPlan &plan, const ServerMap &servers, TimePoint now) const;
    bool isWholeAgain(const ReplicaPlan &plan, const ServerMap &servers) const;
    bool isForgotten(ReplicaPlan &plan, const ServerMap &servers, TimePoint now) const;
    bool isHeadInert(const ReplicaPlan &plan, const ServerMap &servers) const;
    void abandon(ReplicaPlan &plan, TimePoint now, std::string_view reason);
    void enter(ReplicaPlan &plan, PlanPhase phase, TimePoint now, std::string_view reason);

    void orderJoin(ReplicaPlan &plan, PlannedMember &member, TimePoint now);
    void order(OrderKind kind, const ReplicaPlan &plan, PlannedMember &member, TimePoint now);

    bool mayCompose(const ServerMap &servers, TimePoint now);
    void composeAll(const ServerMap &servers, TimePoint now);
    using DomainKey = std::pair<ServiceId, FabricDomainId>;
    using FreeByDomain = std::map<DomainKey, std::vector<FreeServer>>;
    /// Members of replicas that have not ended.
    std::set<VmId> boundServers() const;
    FreeServer freeServer(const BackendServer &server) const;
    FreeByDomain findFree(const ServerMap &servers, TimePoint now) const;
    bool retireForWarmServers(const FreeByDomain &free, const ServerMap &servers, TimePoint now);
    bool composeOne(FreeByDomain::value_type &domain, const ServerMap &servers, TimePoint now);
    /// Whether the service has enough fabric domains to run one model in each.
    static bool keepsUniform(const ServiceSpec &service, const ServerMap &servers);
    std::set<ModelId> modelsOf(const DomainKey &domain) const;
    bool startReplica(const ServiceSpec &service, const FabricDomainId &domain, const Composition &composition, const ServerMap &servers, TimePoint now);
    void stageSpares(const ServiceSpec &service, const FabricDomainId &domain, std::span<const FreeServer> spares, const ServerMap &servers, TimePoint now);
    void endStagings(const ServerMap &servers, TimePoint now);
    std::vector<ModelDemand> demands(const ServiceSpec &service) const;
    unsigned loadsInProgress(const ServerMap &servers) const;
    bool mayLoad(const ServiceSpec &service, unsigned count, const ServerMap &servers, TimePoint now);

    ReplicaControllerSettings settings_;
    ServiceConfigPtr config_;
    std::uint64_t term_ = 0;
    std::uint64_t serial_ = 0;
    bool hasTraffic_ = false;
    std::size_t knownServers_ = 0;
    TimePoint firstServersAt_{};
    TimePoint lastServerAt_{};
    Plans plans_;
    std::set<VmId> bound_; // members of replicas that had not ended at the begin of decide()
    std::map<VmId, Staging> stagings_;
    std::map<VmId, Silence> silent_;
    std::map<VmId, TimePoint> listedSince_;
    TimePoint termBegunAt_{};
    std::map<VmId, std::pair<std::uint64_t, ModelId>> lastModels_; // start of the server and model of its last replica
    LoadPacer pacer_;
    std::vector<ReplicaOrder> orders_;
    std::vector<PlanNote> notes_;
};

}
