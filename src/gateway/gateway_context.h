#pragma once

#include "config/gateway_settings.h"
#include "core/clock.h"
#include "core/memory_budget.h"
#include "core/request_reader.h"
#include "gateway/backend_connection_pool.h"
#include "gateway/backend_load_tracker.h"
#include "gateway/count_age.h"
#include "gateway/crash_quarantine.h"
#include "gateway/drain_schedule.h"
#include "gateway/fleet_demand.h"
#include "gateway/fleet_retry_budget.h"
#include "gateway/request_log.h"
#include "gateway/retry_detector.h"
#include "gateway/server_links.h"
#include "gateway/server_statements.h"
#include "gateway/target_selector.h"
#include "gateway/wire_names.h"

#include <boost/asio/io_context.hpp>

#include <random>
#include <string>

namespace carawaypoint
{

/// Shares of the process's memory; the rest is for connections and the state of the fleet.
inline constexpr double ResponseMemoryShare = 0.25;
inline constexpr double RequestMemoryShare = 0.2;

/// State shared by the sessions of a gateway. Used on the traffic thread only.
struct GatewayContext {
    GatewayContext(GatewaySettings processSettings, const WireNames &wireNames)
        : settings(std::move(processSettings))
        , names(wireNames)
        , responseMemory(memoryShare(ResponseMemoryShare))
        , requestMemory(memoryShare(RequestMemoryShare))
        , quarantine(settings.quarantineTime)
        , retryBudget({settings.retryShare, settings.retrySlack, settings.retryWindow})
    {
    }

    /// A share of the process's memory in bytes.
    std::size_t memoryShare(double share) const
    {
        return static_cast<std::size_t>(settings.memoryMb * share * 1024 * 1024);
    }
    TimePoint now() const
    {
        return clock.now();
    }

    GatewaySettings settings;
    const WireNames &names;
    SteadyClock clock;
    std::mt19937_64 random{std::random_device{}()};
    FleetSnapshotPtr snapshot; // null until the configuration and the servers are known
    ServerLinks links{clock, random};
    BackendLoadTracker loadTracker;
    TargetSelector targetSelector = makeTargetSelector(loadTracker);
    FleetDemand demand;
    CountAge countAge; // of other gateways' requests
    MemoryBudget responseMemory;
    RequestMemory requestMemory;
    CrashQuarantine quarantine;
    ServerStatements serverStatements;
    FleetRetryBudget retryBudget;
    RequestLog log;
    RetryDetector retryDetector;
    unsigned requestsInProgress = 0;
    std::uint64_t requestsStarted = 0;
    DrainSchedule drain{settings.drainTime};

    // Destroying io destroys suspended coroutines, whose sessions use the members above.
    asio::io_context io{1};
    BackendConnectionPool pool{clock, links};
};

}
