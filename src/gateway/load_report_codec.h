#pragma once

#include "gateway/backend_load_tracker.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace carawaypoint
{

/// Requests in progress at backend servers from one gateway or from all gateways of an availability zone.
struct GatewayLoadReport {
    MemberId gateway;
    std::uint64_t process = 0;
    std::uint64_t sequence = 0;
    std::vector<BackendLoad> loads;
    std::uint64_t requestsStarted = 0;
    ZoneId zone{}; // set in a sum over a zone; empty in the report of one gateway
};

/// Maximum size of a datagram; sufficient for the sums of some thousand replicas.
inline constexpr std::size_t MaxReportBytes = 32768;

std::vector<std::byte> encodeReport(const GatewayLoadReport &report);
/// Empty when the bytes are not a valid report.
std::optional<GatewayLoadReport> decodeReport(std::span<const std::byte> bytes);

}
