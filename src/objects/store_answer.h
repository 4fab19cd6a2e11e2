#pragma once

#include "core/json_splitter.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace carawaypoint
{

/// The answer of a store to a list or a watch, divided into its elements, which are read one by one: what one program has written must not hide the
/// objects of the others. Refers to the text that it was made from.
struct StoreAnswer {
    std::vector<JsonMember> members;
    std::vector<std::string_view> elements; // of the array
    std::uint64_t revision = 0;

    /// @param arrayKey, @param revisionKey names of the members; empty when @p body lacks one of them or is not whole.
    static std::optional<StoreAnswer> split(std::string_view body, std::string_view arrayKey, std::string_view revisionKey);
};

}
