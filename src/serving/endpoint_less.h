#pragma once

#include "core/ids.h"

#include <tuple>

namespace carawaypoint
{

/// Orders endpoints as map keys. The defaulted comparison of Endpoint is not used because clang-tidy reports it as a use of 0 as a
/// null pointer.
struct EndpointLess {
    bool operator()(const Endpoint &left, const Endpoint &right) const
    {
        return std::tie(left.address, left.port) < std::tie(right.address, right.port);
    }
};

}
