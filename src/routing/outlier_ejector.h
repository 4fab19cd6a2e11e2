#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/moving_average.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace carawaypoint
{

/// Detects replicas that generate tokens much more slowly than the others of their pool and reduces their traffic (outlier
/// ejection). After a replica has recovered, its traffic is raised in steps. At most a third of a pool is ejected at a time.
class OutlierEjector
{
public:
    /// Adds a sample of the time that the replica takes per output token.
    void addTokenTime(const ReplicaId &replica, Duration microsecondsPerToken);
    /// Adds a request that got no token within its time limit; counts as enough samples for one evaluation.
    void addStall(const ReplicaId &replica);

    /// Compares the replicas of one pool and ejects or restores them. Called for each pool once per evaluation period.
    void evaluate(const std::vector<ReplicaId> &pool, TimePoint now);
    bool isEvaluationDue(TimePoint now) const;
    /// Starts the next evaluation period, after all pools were evaluated.
    void finishEvaluation(TimePoint now);
    /// Part of its normal traffic that the replica may take, 0 to 1.
    double trafficWeight(const ReplicaId &replica) const;

private:
    struct State {
        MovingAverage microsecondsPerToken{0.2};
        unsigned samples = 0; // since the last evaluation
        unsigned slowEvaluations = 0; // consecutive evaluations in which the replica was too slow
        std::size_t reentryStep = 0; // index into ReentryWeights; 0 after the ejection
        bool isEjected = false;
        TimePoint lastStepAt; // time of the ejection or of the last re-entry step
    };

    void evaluateReplica(State &state, double median, bool mayEject, TimePoint now);

    std::unordered_map<ReplicaId, State> states_;
    TimePoint lastEvaluation_{};
};

}
