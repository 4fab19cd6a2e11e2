#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace carawaypoint
{

/// Answer of a daemon's admin address, or the error that prevented it.
struct AdminAnswer {
    std::error_code error; // set when no complete answer was received
    bool wasSent = false; // false: no connection, so the daemon cannot have received the request
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

    /// Sends the request to the daemons in turn until one answers with a status below 500. Otherwise returns the last answer,
    /// or the last connection error when no daemon answered.
    AdminAnswer get(std::string_view target) const;

    /// Sends the request to the first reachable daemon. It is not sent to another daemon once this one may have received it,
    /// because it may have taken effect.
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

/// Percent-encodes the characters of @p text that have a meaning in a query.
std::string encodeQueryValue(std::string_view text);

}
