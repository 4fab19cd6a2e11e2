#pragma once

#include "assignment/probe_schedule.h"
#include "assignment/replica_check.h"
#include "engine/engine_client.h"
#include "objects/object_store.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace carawaypoint
{

/// Result of one answered probe of an engine.
struct EngineReport {
    VmId vm;
    VmObservation observation; // observedAt is when the probe was sent
    bool isChanged = false; // process, placement, load state or draining changed: to be sent to peers immediately
    PlacementCheck check = PlacementCheck::Matches; // comparison with the record; Matches for a VM that is not a member of a replica
    ReplicaId replica; // of which the VM is a member by the record; empty when it is not a member
};

/// Probes the engines that are assigned to this daemon and reports their state.
///
/// Methods are called on the control thread, and the report callback runs there. An engine that does not answer is not
/// reported: its last observation gets older, and after the observation bound its replica is ineligible for new work.
class EngineProber
{
public:
    using Report = std::function<void(const EngineReport &)>;
    /// Returns the newest record that contains the VM; null when none does. Must stay valid until the prober's call returns.
    using RecordOf = std::function<const DomainRecord *(const VmId &)>;

    class Builder
    {
    public:
        Builder(EngineClient &client, const Clock &clock)
            : client_(&client)
            , clock_(&clock)
        {
        }
        /// Sets the interval between probes of one engine.
        Builder &period(Duration period)
        {
            period_ = period;
            return *this;
        }
        Builder &seed(RandomGenerator::result_type seed)
        {
            seed_ = seed;
            return *this;
        }
        Builder &recordOf(RecordOf recordOf)
        {
            recordOf_ = std::move(recordOf);
            return *this;
        }
        Builder &onReport(Report report)
        {
            report_ = std::move(report);
            return *this;
        }
        std::unique_ptr<EngineProber> build() const;

    private:
        friend class EngineProber;
        EngineClient *client_;
        const Clock *clock_;
        Duration period_{seconds(1)};
        RandomGenerator::result_type seed_ = 1;
        RecordOf recordOf_;
        Report report_;
    };

    ~EngineProber();
    EngineProber(const EngineProber &) = delete;
    EngineProber &operator=(const EngineProber &) = delete;

    /// Sets the engines that this daemon probes. Rendezvous hashing assigns two daemons to each engine.
    void setEngines(const std::vector<VmRecord> &engines);
    /// Sends the probes that are due.
    void tick();
    /// Schedules a probe at the next tick, after a request to the engine failed.
    void requestProbe(const VmId &vm);

private:
    struct State;
    explicit EngineProber(const Builder &settings);

    std::shared_ptr<State> state_; // outlives this object while probes are in flight
};

}
