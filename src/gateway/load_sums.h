#pragma once

#include "gateway/load_report_codec.h"

#include <map>
#include <span>
#include <unordered_map>

namespace carawaypoint
{

/// Adds the requests in @p loads to @p sums.
void addUnmet(std::vector<UnmetLoad> &sums, std::span<const UnmetLoad> loads);

/// Sums up the load reports that a relay receives. Does no I/O; the time is passed in.
///
/// Each sum states the mean age of its counts, weighted by requests, so that the receivers can allow for the requests that have started and
/// ended since. The age grows when reports are lost or late.
class LoadSums
{
public:
    /// A report older than this is left out, since its gateway may be gone.
    static constexpr Duration ReportTimeout = seconds(1);

    /// Keeps the latest report of a gateway of the relay's own zone.
    void setReport(const GatewayLoadReport &report, TimePoint now);
    /// Keeps the latest sum of another zone.
    void setZoneSum(const GatewayLoadReport &sum, TimePoint now);

    /// Sum of the zone: of @p own, the current report of the relay itself, and the reports of the other gateways.
    GatewayLoadReport zoneSum(const GatewayLoadReport &own, TimePoint now) const;
    /// Sum of all zones, from the sum of the relay's own zone and those of the others.
    GatewayLoadReport fleetSum(const GatewayLoadReport &zoneSum, TimePoint now) const;

private:
    struct Received {
        GatewayLoadReport report;
        TimePoint at{};
    };

    template<typename Key>
    static void addAll(GatewayLoadReport &sum, const std::map<Key, Received> &received, TimePoint now);

    std::map<MemberId, Received> reports_;
    std::map<ZoneId, Received> zoneSums_;
};

}
