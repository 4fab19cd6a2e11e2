#pragma once

#include "fleet/control_lease.h"
#include "gateway/relay_plan.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawaypoint
{

/// JSON text of the lease object in the store.
std::string encodeLease(const LeaseRecord &record);
/// Fields that are missing or of another type keep their defaults, since conflicts are detected by the object's version.
LeaseRecord decodeLease(std::string_view text);

/// JSON text of a gateway's own object in the store.
/// @param process incarnation of the gateway's process.
std::string encodeGateway(const PeerGateway &gateway, std::uint64_t process);
/// The gateway without its id, which is part of the object's name; empty when the text has no valid address for load reports.
std::optional<PeerGateway> decodeGateway(std::string_view text);

}
