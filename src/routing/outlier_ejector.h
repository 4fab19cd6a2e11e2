#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/moving_average.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace carawaypoint
{

/// Finds replicas that generate tokens much more slowly than the others of their pool and reduces their traffic. Traffic
/// comes back in steps after the replica recovered. At most a third of a pool is ejected at a time.
class OutlierEjector
{
public:
    /// A replica took @p perToken for each of the last tokens of a request.
    void addTokenTime(const ReplicaId &replica, Duration perToken);
    /// A request on the replica got no token within the time limit.
    void addStall(const ReplicaId &replica);

    /// Compares the replicas of one pool. Called for each pool once per evaluation period.
    void evaluate(const std::vector<ReplicaId> &pool, TimePoint now);
    bool isEvaluationDue(TimePoint now) const;
    void finishEvaluation(TimePoint now);
    /// Part of its normal traffic that the replica may take.
    double weight(const ReplicaId &replica) const;

private:
    struct State {
        MovingAverage perToken{0.2}; // microseconds
        unsigned samples = 0; // since the last evaluation
        unsigned slowRounds = 0; // consecutive evaluations with the replica slow
        std::size_t step = 0; // of re-entry, 0 just ejected
        bool isEjected = false;
        TimePoint changedAt; // of the last step
    };

    void evaluateOne(State &state, double median, bool mayEject, TimePoint now);

    std::unordered_map<ReplicaId, State> states_;
    TimePoint lastEvaluation_{};
};

}
