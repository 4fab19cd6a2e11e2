#pragma once

#include "membership/messages.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <system_error>
#include <vector>

namespace carawaypoint
{

/// Bytes of @p message on the wire without the framing of the call: Cap'n Proto's packed encoding.
std::vector<std::byte> encodeMessage(const PeerMessage &message);

/// Reads what encodeMessage() wrote.
/// @return PeerMalformed when @p bytes are truncated, exceed a bound or hold a value outside its range.
std::error_code decodeMessage(std::span<const std::byte> bytes, PeerMessage &message);

}
