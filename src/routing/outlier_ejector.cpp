#include "routing/outlier_ejector.h"

#include <algorithm>
#include <array>

namespace carawaypoint
{

namespace
{
constexpr double SlowFactor = 2.5; // times the pool's median; a replica with a full batch is at most about twice as slow as an empty one
constexpr double RecoveredFactor = 1.5; // times the pool's median
constexpr unsigned MinSamples = 3; // per evaluation
constexpr unsigned SlowEvaluationsToEject = 2;
constexpr Duration EvaluationPeriod = milliseconds(500);
constexpr Duration ReentryStepInterval = seconds(2); // minimum between re-entry steps
constexpr Duration IdleReentryStepInterval = seconds(30); // when too little traffic reaches the replica to judge it
constexpr std::array ReentryWeights{0.05, 0.25, 0.5}; // part of the normal traffic at each step
constexpr std::size_t MaxEjectedDivisor = 3; // at most one third of a pool
constexpr double StallMicrosecondsPerToken = 5e6; // sample that a stalled request adds
}

void OutlierEjector::addTokenTime(const ReplicaId &replica, Duration microsecondsPerToken)
{
    State &state = states_[replica];
    state.microsecondsPerToken.add(static_cast<double>(microsecondsPerToken.count()));
    ++state.samples;
}

void OutlierEjector::addStall(const ReplicaId &replica)
{
    State &state = states_[replica];
    state.microsecondsPerToken.add(StallMicrosecondsPerToken);
    state.samples += MinSamples;
}

void OutlierEjector::evaluate(const std::vector<ReplicaId> &pool, TimePoint now)
{
    std::vector<double> times;
    std::size_t ejected = 0;
    for (const ReplicaId &id : pool) {
        const auto found = states_.find(id);
        if (found != states_.end() && found->second.microsecondsPerToken.hasValue()) {
            times.push_back(found->second.microsecondsPerToken.value());
            ejected += found->second.isEjected ? 1 : 0;
        }
    }
    if (times.empty()) {
        return;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
    std::nth_element(times.begin(), middle, times.end());
    for (const ReplicaId &id : pool) {
        const auto found = states_.find(id);
        if (found == states_.end()) {
            continue;
        }
        const bool wasEjected = found->second.isEjected;
        evaluateReplica(found->second, *middle, ejected < pool.size() / MaxEjectedDivisor, now);
        ejected += (found->second.isEjected ? 1 : 0) - (wasEjected ? 1 : 0);
    }
}

bool OutlierEjector::isEvaluationDue(TimePoint now) const
{
    return now - lastEvaluation_ >= EvaluationPeriod;
}

void OutlierEjector::finishEvaluation(TimePoint now)
{
    lastEvaluation_ = now;
}

double OutlierEjector::trafficWeight(const ReplicaId &replica) const
{
    const auto found = states_.find(replica);
    return found != states_.end() && found->second.isEjected ? ReentryWeights[found->second.reentryStep] : 1;
}

void OutlierEjector::evaluateReplica(State &state, double median, bool mayEject, TimePoint now)
{
    const bool hasSamples = state.samples >= MinSamples;
    const double relative = state.microsecondsPerToken.value() / std::max(1.0, median);
    if (hasSamples) {
        state.samples = 0;
        state.slowEvaluations = relative > SlowFactor ? state.slowEvaluations + 1 : 0;
    }
    if (!state.isEjected) {
        if (state.slowEvaluations >= SlowEvaluationsToEject && mayEject) {
            state.isEjected = true;
            state.reentryStep = 0;
            state.lastStepAt = now;
        }
        return;
    }
    if (hasSamples && relative > SlowFactor) {
        state.reentryStep = 0;
        state.lastStepAt = now;
        return;
    }
    const bool hasRecovered = relative < RecoveredFactor && now - state.lastStepAt >= ReentryStepInterval;
    if (!hasRecovered && now - state.lastStepAt < IdleReentryStepInterval) {
        return;
    }
    state.lastStepAt = now;
    state.isEjected = ++state.reentryStep < ReentryWeights.size();
    state.reentryStep = state.isEjected ? state.reentryStep : 0;
    state.slowEvaluations = 0;
}

}
