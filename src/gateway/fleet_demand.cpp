#include "gateway/fleet_demand.h"

#include "core/time_units.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace carawaypoint
{

namespace
{

/// Short enough to follow a burst.
constexpr Duration RateMemory = seconds(1);
/// The mix of pools changes slowly, and one gateway sees few requests of each.
constexpr Duration MixMemory = seconds(10);
/// After which a counter that stays below its former value is taken as new: gateways were replaced.
constexpr Duration CounterResetTime = seconds(1);
/// Weight of one request in the mean time that servers are busy with one.
constexpr double HeldWeight = 1.0 / 16;

}

DecayingRate::DecayingRate(Duration memory)
    : memorySeconds_(inSeconds(memory))
{
}

void DecayingRate::add(double events, TimePoint now)
{
    events_ = perSecond(now) * memorySeconds_ + events;
    at_ = now;
}

double DecayingRate::perSecond(TimePoint now) const
{
    return events_ * std::exp(-inSeconds(now - at_) / memorySeconds_) / memorySeconds_;
}

FleetDemand::FleetDemand()
    : fleetRate_(RateMemory)
    , ownRate_(RateMemory)
    , ownShare_(MixMemory)
{
}

FleetDemand::PoolUse &FleetDemand::use(const ServerPool &pool)
{
    return pools_.try_emplace(pool, PoolUse{DecayingRate(MixMemory), MovingAverage(HeldWeight)}).first->second;
}

void FleetDemand::noteBegun(TimePoint now)
{
    ownRate_.add(1, now);
    ownShare_.add(1, now);
}

void FleetDemand::noteChoice(const ServerPool &pool, TimePoint now)
{
    use(pool).choices.add(1, now);
}

void FleetDemand::noteEnded(const ServerPool &pool, Duration held)
{
    use(pool).heldSeconds.add(inSeconds(held));
}

void FleetDemand::noteReport(std::string_view source, std::uint64_t begun, TimePoint now)
{
    const auto found = sources_.find(source);
    if (found == sources_.end()) {
        sources_.emplace(source, Source{begun, now});
        return;
    }
    auto &known = found->second;
    if (begun >= known.begun) {
        fleetRate_.add(static_cast<double>(begun - known.begun), now);
        known = {begun, now};
    } else if (now - known.risenAt > CounterResetTime) {
        known = {begun, now};
    }
}

CountDrift FleetDemand::drift(const ServerPool &pool, Duration countAge, TimePoint now) const
{
    const auto found = pools_.find(pool);
    const double ownShare = ownShare_.perSecond(now);
    if (found == pools_.end() || ownShare <= 0) {
        return {};
    }
    const auto &use = found->second;
    const double poolShare = std::min(1.0, use.choices.perSecond(now) / ownShare);
    const double rate = std::max(fleetRate_.perSecond(now), ownRate_.perSecond(now));
    const double held = use.heldSeconds.value();
    const double ended = held <= 0 ? 0 : 1 - std::exp(-inSeconds(countAge) / held);
    return {rate * poolShare * inSeconds(countAge), ended};
}

}
