#pragma once

#include "membership/messages.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <system_error>
#include <vector>

namespace carawaypoint
{

/// Encodes @p message in Cap'n Proto's packed encoding.
std::vector<std::byte> encodeMessage(const PeerMessage &message);

/// Decodes the output of encodeMessage().
/// @return PeerMalformed when @p bytes are truncated, exceed a size limit or contain a value out of range.
std::error_code decodeMessage(std::span<const std::byte> bytes, PeerMessage &message);

}
