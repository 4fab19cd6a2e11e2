#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/moving_average.h"
#include "gateway/backend_book.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace carawaypoint
{

/// Events for each second, of which older ones count less and less.
class DecayingRate
{
public:
    /// @param memory after which an event counts for a third.
    explicit DecayingRate(Duration memory);

    void add(double events, TimePoint now);
    double perSecond(TimePoint now) const;

private:
    double memorySeconds_;
    double events_ = 0; // as of at_
    TimePoint at_{};
};

/// The backend servers that a request may go to: all replicas of a model, or all servers of a plain service.
using ServerPool = std::pair<ServiceId, ModelId>;

/// Estimates what all gateways together send to a pool: the rate of the fleet from the counters of its reports, the part of each pool
/// from the requests of this gateway.
class FleetDemand
{
public:
    FleetDemand();

    void noteBegun(TimePoint now);
    void noteChoice(const ServerPool &pool, TimePoint now);
    /// @param held time that the server was busy with a request of the pool.
    void noteEnded(const ServerPool &pool, Duration held);
    /// @param source gateway or availability zone; @param begun requests that it has begun since its start.
    void noteReport(std::string_view source, std::uint64_t begun, TimePoint now);

    /// What has happened at the servers of @p pool since counts of age @p countAge were taken.
    CountDrift drift(const ServerPool &pool, Duration countAge, TimePoint now) const;
    /// Pools that are kept in memory.
    std::size_t poolCount() const
    {
        return pools_.size();
    }

private:
    struct Source {
        std::uint64_t begun = 0; // the highest that was reported
        TimePoint risenAt{};
    };
    struct PoolUse {
        DecayingRate choices;
        MovingAverage heldSeconds; // by one request
    };
    PoolUse &use(const ServerPool &pool);

    std::map<std::string, Source, std::less<>> sources_;
    std::map<ServerPool, PoolUse> pools_;
    DecayingRate fleetRate_;
    DecayingRate ownRate_;
    DecayingRate ownShare_; // over the same time as the rates of the pools
};

}
