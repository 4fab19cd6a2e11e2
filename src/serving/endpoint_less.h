#pragma once

#include "core/ids.h"

#include <tuple>

namespace carawaypoint
{

/// Order of map keys. clang-tidy mistakes the generated comparison of Endpoint for a use of 0 as a null pointer.
struct EndpointLess {
    bool operator()(const Endpoint &left, const Endpoint &right) const
    {
        return std::tie(left.address, left.port) < std::tie(right.address, right.port);
    }
};

}
