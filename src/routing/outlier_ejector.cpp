#include "routing/outlier_ejector.h"

#include <algorithm>
#include <array>

namespace carawaypoint
{

namespace
{
constexpr double SlowFactor = 2.5; // times the pool's median; a full batch is at most about twice as slow as an empty one
constexpr double RecoveredFactor = 1.5;
constexpr unsigned MinSamples = 3; // per evaluation
constexpr unsigned RoundsToEject = 2;
constexpr Duration EvaluationPeriod = milliseconds(500);
constexpr Duration StepTime = seconds(2); // between steps of re-entry
constexpr Duration IdleStepTime = seconds(30); // when too little traffic reaches the replica to judge it
constexpr std::array ReentryWeights{0.05, 0.25, 0.5};
constexpr std::size_t MaxEjectedDivisor = 3;
constexpr double StallTokenTime = 5e6; // microseconds
}

void OutlierEjector::addTokenTime(const ReplicaId &replica, Duration perToken)
{
    State &state = states_[replica];
    state.perToken.add(static_cast<double>(perToken.count()));
    ++state.samples;
}

void OutlierEjector::addStall(const ReplicaId &replica)
{
    State &state = states_[replica];
    state.perToken.add(StallTokenTime);
    state.samples += MinSamples;
}

void OutlierEjector::evaluate(const std::vector<ReplicaId> &pool, TimePoint now)
{
    std::vector<double> times;
    std::size_t ejected = 0;
    for (const ReplicaId &id : pool) {
        const auto found = states_.find(id);
        if (found != states_.end() && found->second.perToken.hasValue()) {
            times.push_back(found->second.perToken.value());
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
        evaluateOne(found->second, *middle, ejected < pool.size() / MaxEjectedDivisor, now);
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

double OutlierEjector::weight(const ReplicaId &replica) const
{
    const auto found = states_.find(replica);
    return found != states_.end() && found->second.isEjected ? ReentryWeights[found->second.step] : 1;
}

void OutlierEjector::evaluateOne(State &state, double median, bool mayEject, TimePoint now)
{
    const bool hasSamples = state.samples >= MinSamples;
    const double relative = state.perToken.value() / std::max(1.0, median);
    if (hasSamples) {
        state.samples = 0;
        state.slowRounds = relative > SlowFactor ? state.slowRounds + 1 : 0;
    }
    if (!state.isEjected) {
        if (state.slowRounds >= RoundsToEject && mayEject) {
            state.isEjected = true;
            state.step = 0;
            state.changedAt = now;
        }
        return;
    }
    if (hasSamples && relative > SlowFactor) {
        state.step = 0;
        state.changedAt = now;
        return;
    }
    const bool hasRecovered = relative < RecoveredFactor && now - state.changedAt >= StepTime;
    if (!hasRecovered && now - state.changedAt < IdleStepTime) {
        return;
    }
    state.changedAt = now;
    state.isEjected = ++state.step < ReentryWeights.size();
    state.step = state.isEjected ? state.step : 0;
    state.slowRounds = 0;
}

}
