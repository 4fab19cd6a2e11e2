#pragma once

#include "experiments/event_loop.h"
#include "experiments/fake_engine.h"
#include "experiments/workload.h"
#include "routing/dispatcher.h"

#include <deque>
#include <memory>
#include <vector>

namespace carawaypoint::experiments
{

/// Size of a simulated fleet, and the delays of the information that its daemons route by.
struct FleetSettings {
    std::size_t daemons = 7;
    std::size_t replicas = 16;
    EngineSettings engine;
    RoutingPolicy policy;
    std::size_t customers = 10;
    Duration reportInterval = milliseconds(500); // between samples of load reports and peers' counts
    Duration reportLag = seconds(1); // time from a sample to its arrival at the daemons
    Duration cacheEventLag = seconds(1);
    double cacheEventLoss = 0.05; // fraction of cache events that are lost
};

/// Outcome of a request.
struct Outcome {
    const Arrival *arrival = nullptr;
    ResultCode code = ResultCode::Internal; // of the last routing decision
    std::size_t replica = 0; // index of the last chosen replica
    unsigned attempts = 0;
    std::uint32_t tokens = 0;
    TimePoint decidedAt{}; // last time when it was granted or refused
    TimePoint firstTokenAt{};
    TimePoint doneAt{};

    bool hasFirstToken() const
    {
        return firstTokenAt != TimePoint{};
    }
    bool isDone() const
    {
        return doneAt != TimePoint{};
    }
    double firstTokenSeconds() const
    {
        return std::chrono::duration<double>(firstTokenAt - arrival->at).count();
    }
    /// Whether the answer is complete and its first token arrived before the deadline.
    bool isUseful() const
    {
        return isDone() && firstTokenAt <= arrival->at + arrival->firstTokenLimit;
    }
};

/// Simulates daemons with real dispatchers in front of fake engines, on a virtual clock. Load reports, peers' counts and cache
/// events reach the daemons with a delay.
class Fleet
{
public:
    Fleet(const FleetSettings &settings, std::uint64_t seed);

    /// Runs the workload until @p end. The workload must outlive the outcomes.
    std::vector<Outcome> run(const Workload &workload, TimePoint end);

    EventLoop &loop()
    {
        return loop_;
    }
    FakeEngine &engine(std::size_t index)
    {
        return *engines_[index];
    }
    std::size_t replicas() const
    {
        return engines_.size();
    }
    /// Coefficient of variation (standard deviation divided by mean) of the replicas' loads, one value per sample.
    const std::vector<double> &imbalance() const
    {
        return imbalance_;
    }

private:
    /// Loads and demands at one moment, which the daemons receive after reportLag.
    struct Sample {
        TimePoint at;
        std::vector<EngineLoad> loads;
        std::vector<Dispatcher::Demand> demands; // by daemon
    };

    void submit(Outcome &outcome);
    void decide(Outcome &outcome, std::size_t daemon, Dispatcher::Ticket ticket, const DispatchDecision &decision);
    void send(Outcome &outcome, std::size_t daemon, Dispatcher::Ticket ticket, const DispatchDecision &decision);
    void retry(Outcome &outcome, std::size_t daemon, Dispatcher::Ticket ticket, const ReplicaId &refused);
    void tick();
    void sample();
    void publish(const Sample &sample);
    RoutingSnapshot baseSnapshot() const;
    void sendCacheEvents(std::size_t replica);
    void deliverCacheUpdate(std::size_t replica, const CacheUpdate &update);

    FleetSettings settings_;
    RandomGenerator random_;
    EventLoop loop_;
    std::vector<std::unique_ptr<FakeEngine>> engines_;
    std::vector<std::unique_ptr<Dispatcher>> daemons_;
    std::vector<double> imbalance_;
    TimePoint end_;
};

}
