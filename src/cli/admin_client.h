#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace carawaypoint
{

/// Answer of a daemon's admin address, or why there is none.
struct AdminAnswer {
    std::error_code error; // set when no whole answer was received
    bool wasSent = false; // false: the daemon cannot have seen the request
    Endpoint daemon;
    unsigned status = 0;
    std::string body;

    bool isOk() const
    {
        return !error && status == 200;
    }
};

/// Synchronous HTTP client for the admin addresses of several daemons.
class AdminClient
{
public:
    explicit AdminClient(std::vector<Endpoint> daemons, Duration timeout = seconds(35));

    /// Asks the daemons in turn until one answers with a status below 500; otherwise returns the last answer.
    AdminAnswer get(std::string_view target) const;

    /// Sends to the first daemon that can be reached. Not sent again once the request may have been seen: it may have taken
    /// effect.
    AdminAnswer post(std::string_view target, std::string_view body) const;

    /// Sends one request to one daemon.
    AdminAnswer call(const Endpoint &daemon, std::string_view method, std::string_view target, std::string_view body) const;

    const std::vector<Endpoint> &daemons() const
    {
        return daemons_;
    }

private:
    std::vector<Endpoint> daemons_;
    Duration timeout_;
};

/// @p text with the characters escaped that have a meaning in a query.
std::string encodeQueryValue(std::string_view text);

}
