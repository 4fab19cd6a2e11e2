#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/moving_average.h"
#include "gateway/target_selection.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace carawaypoint
{

/// Exponentially decaying average rate of events per second.
class DecayingRate
{
public:
    /// @param timeConstant time after which an event counts for about a third (1/e).
    explicit DecayingRate(Duration timeConstant);

    void add(double events, TimePoint now);
    double perSecond(TimePoint now) const;

private:
    double timeConstantSeconds_;
    double events_ = 0; // decayed number of events at updatedAt_
    TimePoint updatedAt_{};
};

/// Identifies the backend servers that can serve a request: all replicas of a model, or all servers of a plain service.
using ServerPool = std::pair<ServiceId, ModelId>;

/// Requests that would be in progress in a pool if it had not rejected them for lack of capacity.
struct UnmetLoad {
    ServerPool pool;
    double requests = 0;
};

/// Estimates how many requests all gateways together send to a pool. The rate of the fleet comes from the counters in load reports, the
/// share of each pool from the requests of this gateway.
class FleetDemand
{
public:
    FleetDemand();

    void recordRequestStart(TimePoint now);
    void recordChoice(const ServerPool &pool, TimePoint now);
    /// A request was rejected because no server of @p pool had free capacity.
    void recordRejection(const ServerPool &pool, TimePoint now);
    /// Unmet load of this gateway's callers; only of pools that rejected requests recently.
    std::vector<UnmetLoad> unmetLoads(TimePoint now) const;
    /// @param busyTime time for which the server was busy with the request.
    void recordRequestEnd(const ServerPool &pool, Duration busyTime);
    /// @param source gateway or availability zone; @param startedRequests requests that it has started since its process started.
    void recordReport(std::string_view source, std::uint64_t startedRequests, TimePoint now);

    /// Estimates the changes at the servers of @p pool since counts of age @p countAge were taken.
    StalenessEstimate staleness(const ServerPool &pool, Duration countAge, TimePoint now) const;
    /// Number of pools with stored statistics.
    std::size_t poolCount() const
    {
        return pools_.size();
    }

private:
    struct Source {
        std::uint64_t startedRequests = 0; // highest reported value
        TimePoint lastIncreaseAt{};
    };
    struct PoolUsage {
        DecayingRate choices;
        MovingAverage busySeconds; // per request
        DecayingRate rejections;
    };
    PoolUsage &poolUsage(const ServerPool &pool);

    std::map<std::string, Source, std::less<>> sources_;
    std::map<ServerPool, PoolUsage> pools_;
    DecayingRate fleetRate_;
    DecayingRate ownRate_;
    DecayingRate ownMixRate_; // own requests, with the time constant of the pools' rates
};

}
