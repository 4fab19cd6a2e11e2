#include "gateway/fleet_demand.h"

#include "core/time_units.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace carawaypoint
{

namespace
{

/// Time constant of request rates; short enough to follow a burst.
constexpr Duration RateTimeConstant = seconds(1);
/// Time constant of the mix of pools, which changes slowly; one gateway sees few requests of each pool.
constexpr Duration MixTimeConstant = seconds(10);
/// A counter that stays below its former value for this long counts as reset, since gateways were replaced.
constexpr Duration CounterResetTimeout = seconds(1);
/// Weight of one request in the moving average of the busy time.
constexpr double BusyTimeWeight = 1.0 / 16;
/// Time constant of the rate of rejected requests; long enough to see the callers of a gateway with few of them.
constexpr Duration RejectionTimeConstant = seconds(3);
/// Busy time of a request while none of its pool has ended yet.
constexpr double DefaultBusySeconds = 1;
/// Unmet load below this is not reported.
constexpr double MinUnmetRequests = 0.05;

}

DecayingRate::DecayingRate(Duration timeConstant)
    : timeConstantSeconds_(inSeconds(timeConstant))
{
}

void DecayingRate::add(double events, TimePoint now)
{
    events_ = perSecond(now) * timeConstantSeconds_ + events;
    updatedAt_ = now;
}

double DecayingRate::perSecond(TimePoint now) const
{
    return events_ * std::exp(-inSeconds(now - updatedAt_) / timeConstantSeconds_) / timeConstantSeconds_;
}

FleetDemand::FleetDemand()
    : fleetRate_(RateTimeConstant)
    , ownRate_(RateTimeConstant)
    , ownMixRate_(MixTimeConstant)
{
}

FleetDemand::PoolUsage &FleetDemand::poolUsage(const ServerPool &pool)
{
    return pools_.try_emplace(pool, PoolUsage{DecayingRate(MixTimeConstant), MovingAverage(BusyTimeWeight), DecayingRate(RejectionTimeConstant)}).first->second;
}

void FleetDemand::recordRequestStart(TimePoint now)
{
    ownRate_.add(1, now);
    ownMixRate_.add(1, now);
}

void FleetDemand::recordChoice(const ServerPool &pool, TimePoint now)
{
    poolUsage(pool).choices.add(1, now);
}

void FleetDemand::recordRequestEnd(const ServerPool &pool, Duration busyTime)
{
    poolUsage(pool).busySeconds.add(inSeconds(busyTime));
}

void FleetDemand::recordRejection(const ServerPool &pool, TimePoint now)
{
    poolUsage(pool).rejections.add(1, now);
}

std::vector<UnmetLoad> FleetDemand::unmetLoads(TimePoint now) const
{
    std::vector<UnmetLoad> loads;
    for (const auto &[pool, usage] : pools_) {
        const double busyTime = usage.busySeconds.value() > 0 ? usage.busySeconds.value() : DefaultBusySeconds;
        const double requests = usage.rejections.perSecond(now) * busyTime;
        if (requests >= MinUnmetRequests) {
            loads.push_back({pool, requests});
        }
    }
    return loads;
}

void FleetDemand::recordReport(std::string_view source, std::uint64_t startedRequests, TimePoint now)
{
    const auto found = sources_.find(source);
    if (found == sources_.end()) {
        sources_.emplace(source, Source{startedRequests, now});
        return;
    }
    auto &known = found->second;
    if (startedRequests >= known.startedRequests) {
        fleetRate_.add(static_cast<double>(startedRequests - known.startedRequests), now);
        known = {startedRequests, now};
    } else if (now - known.lastIncreaseAt > CounterResetTimeout) {
        known = {startedRequests, now};
    }
}

StalenessEstimate FleetDemand::staleness(const ServerPool &pool, Duration countAge, TimePoint now) const
{
    const auto found = pools_.find(pool);
    const double ownMixRate = ownMixRate_.perSecond(now);
    if (found == pools_.end() || ownMixRate <= 0) {
        return {};
    }
    const auto &usage = found->second;
    const double poolShare = std::min(1.0, usage.choices.perSecond(now) / ownMixRate);
    const double rate = std::max(fleetRate_.perSecond(now), ownRate_.perSecond(now));
    const double busyTime = usage.busySeconds.value();
    const double ended = busyTime <= 0 ? 0 : 1 - std::exp(-inSeconds(countAge) / busyTime);
    return {rate * poolShare * inSeconds(countAge), ended};
}

}
