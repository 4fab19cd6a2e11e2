#include "core/ids.h"

#include <charconv>

namespace carawaypoint
{

Endpoint Endpoint::parse(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return {};
    }
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc{} || end != digits.data() + digits.size()) {
        return {};
    }
    return {std::string(text.substr(0, colon)), port};
}

}
