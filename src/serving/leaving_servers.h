#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "serving/endpoint_less.h"

#include <map>
#include <mutex>

namespace carawaypoint
{

/// Servers of plain services that announced to this daemon that they leave, before the VM list shows it. Thread-safe.
class LeavingServers
{
public:
    void add(const Endpoint &server, TimePoint until);
    bool contains(const Endpoint &server, TimePoint now) const;

private:
    mutable std::mutex mutex_;
    std::map<Endpoint, TimePoint, EndpointLess> expiryByServer_;
};

}
