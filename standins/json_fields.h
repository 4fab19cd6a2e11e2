#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace carawaypoint::standins
{

/// The text of a member; empty when it is missing or no text.
inline std::string textOf(const boost::json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

/// The number of a member; 0 when it is missing.
inline std::uint64_t numberOf(const boost::json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value == nullptr ? 0 : value->to_number<std::uint64_t>();
}

}
