#include "fleet/order_client.h"

#include <array>

namespace carawaypoint
{

std::string_view orderName(OrderKind kind)
{
    static constexpr std::array<std::string_view, 5> Names{"join", "open", "close", "leave", "stage"};
    return Names.at(static_cast<std::size_t>(kind));
}

std::string_view outcomeName(OrderOutcome outcome)
{
    static constexpr std::array<std::string_view, 6> Names{"done", "refused", "stale", "wrong_server", "connection_refused", "no_answer"};
    return Names.at(static_cast<std::size_t>(outcome));
}

}
