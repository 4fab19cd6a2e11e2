#pragma once

#include "core/ids.h"

#include <map>
#include <string>
#include <string_view>

namespace carawaypoint
{

/// Response to a blocking HTTP call; status 0 when there was none.
struct LocalHttpAnswer {
    unsigned status = 0;
    std::string body;
    std::map<std::string, std::string> headers; // names in lower case
};

/// Makes a blocking HTTP call on a new connection.
LocalHttpAnswer callHttp(const Endpoint &server,
                         std::string_view method,
                         std::string_view target,
                         std::string_view body = {},
                         const std::map<std::string, std::string> &headers = {});

}
