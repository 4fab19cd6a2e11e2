#pragma once

#include "fleet/model_demand.h"
#include "gateway/backend_load_tracker.h"
#include "gateway/fleet_demand.h"
#include "routing/crash_attribution.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace carawaypoint
{

/// Requests in progress at backend servers from one gateway, from all gateways of an availability zone, or from the whole fleet.
struct GatewayLoadReport {
    MemberId gateway;
    std::uint64_t process = 0;
    std::uint64_t sequence = 0;
    std::vector<BackendLoad> loads;
    std::uint64_t requestsStarted = 0;
    ZoneId zone{}; // set in sums; empty in the report of one gateway
    std::vector<UnmetLoad> unmet{}; // only pools that rejected requests recently
    bool isFleetSum = false; // sums up all zones; zone is that of the sender
    Duration countAge{}; // in sums: mean age of the counts when the sum was sent
    std::vector<TraitEvidence> crashEvidence{}; // of the sender, with what it has received
};

/// Maximum size of a datagram; sufficient for the sums of some thousand replicas.
inline constexpr std::size_t MaxReportBytes = 32768;

std::vector<std::byte> encodeReport(const GatewayLoadReport &report);
/// Empty when the bytes are not a valid report.
std::optional<GatewayLoadReport> decodeReport(std::span<const std::byte> bytes);

}
