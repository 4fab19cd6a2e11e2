#pragma once

#include "gateway/server_link_monitor.h"

namespace carawaypoint
{

/// Counts a request as waiting for a server while it exists, also when an exception ends its scope.
class MonitoredRequest
{
public:
    MonitoredRequest(ServerLinkMonitor &monitor, const Clock &clock)
        : monitor_(monitor)
    {
        monitor_.recordRequestStart(clock.now());
    }
    MonitoredRequest(const MonitoredRequest &) = delete;
    MonitoredRequest &operator=(const MonitoredRequest &) = delete;
    ~MonitoredRequest()
    {
        monitor_.recordRequestEnd();
    }

private:
    ServerLinkMonitor &monitor_;
};

}
