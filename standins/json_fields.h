#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace carawaypoint::standins
{

/// Returns the text of the member @p key; empty when it is missing or not a string.
inline std::string textOf(const boost::json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

/// Returns the number in the member @p key; 0 when it is missing.
inline std::uint64_t numberOf(const boost::json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value == nullptr ? 0 : value->to_number<std::uint64_t>();
}

}
