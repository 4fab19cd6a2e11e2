#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace carawaypoint
{

/// Parses an unsigned decimal integer; empty for any other text.
std::optional<std::uint64_t> parseNumber(std::string_view text);

/// Extracts the key from an Authorization field with @p scheme; empty when the field has another form.
std::string_view parseKey(std::string_view authorization, std::string_view scheme);

}
