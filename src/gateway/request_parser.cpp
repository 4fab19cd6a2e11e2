#include "gateway/request_parser.h"

#include <boost/beast/core/string.hpp>

#include <charconv>

namespace carawaypoint
{

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    return error == std::errc{} && end == text.data() + text.size() ? std::optional(number) : std::nullopt;
}

std::string_view parseKey(std::string_view authorization, std::string_view scheme)
{
    const auto space = authorization.find(' ');
    if (space == std::string_view::npos || !boost::beast::iequals(authorization.substr(0, space), scheme)) {
        return {};
    }
    const auto start = authorization.find_first_not_of(' ', space);
    return start == std::string_view::npos ? std::string_view() : authorization.substr(start);
}

}
