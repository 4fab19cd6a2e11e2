#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypoint
{

/// Compresses @p text as a difference from @p base, which the receiver must have. An empty base compresses the text alone. Returns nothing
/// when the library fails.
std::optional<std::vector<std::byte>> compressDelta(std::string_view text, std::string_view base);

/// Restores a text of at most @p maxBytes; empty when the bytes are invalid, were made with another base, or hold a longer text.
std::optional<std::string> expandDelta(std::span<const std::byte> bytes, std::string_view base, std::size_t maxBytes);

}
