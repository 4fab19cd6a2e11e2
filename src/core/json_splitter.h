#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypoint
{

/// A member of a JSON object.
struct JsonMember {
    std::string_view key; // as written between its quotes
    std::string_view value; // as written
};

/// Returns the elements of the JSON array @p text, as written; empty when @p text is no array.
///
/// Only strings and brackets are looked at. What else an element holds is not checked, so that one that cannot be parsed does not decide about
/// the others.
std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text);

/// Same for the members of the JSON object @p text.
std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text);

/// The value of the last of @p members that has @p key, as written; empty when there is none.
std::string_view findJsonMember(std::span<const JsonMember> members, std::string_view key);
/// Same for the members of the JSON object @p text.
std::string_view findJsonMember(std::string_view text, std::string_view key);

/// The characters of the JSON string @p text, whose quotes are included, also when they are no valid Unicode: bytes are returned as they are, and
/// half of an escaped surrogate pair as the three bytes that UTF-8 would use for it. Empty when @p text is no string or has an unknown escape.
std::optional<std::string> decodeJsonString(std::string_view text);

/// The value of the JSON number @p text; empty when it is no whole number that fits.
std::optional<std::uint64_t> decodeJsonNumber(std::string_view text);

}
