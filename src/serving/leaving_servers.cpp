#include "serving/leaving_servers.h"

namespace carawaypoint
{

namespace
{
constexpr std::size_t MaxEntries = 4096; // bounds the memory; more than the servers of all plain services
}

void LeavingServers::add(const Endpoint &server, TimePoint until)
{
    const std::lock_guard lock(mutex_);
    if (expiryByServer_.size() >= MaxEntries) {
        expiryByServer_.clear();
    }
    expiryByServer_[server] = until;
}

bool LeavingServers::contains(const Endpoint &server, TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    const auto found = expiryByServer_.find(server);
    return found != expiryByServer_.end() && found->second > now;
}

}
