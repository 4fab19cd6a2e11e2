#include "serving/leaving_servers.h"

namespace carawaypoint
{

namespace
{
constexpr std::size_t MaxRemembered = 4096; // more than the plain services' servers; bounds the memory all the same
}

void LeavingServers::add(const Endpoint &server, TimePoint until)
{
    const std::lock_guard lock(mutex_);
    if (until_.size() >= MaxRemembered) {
        until_.clear();
    }
    until_[server] = until;
}

bool LeavingServers::contains(const Endpoint &server, TimePoint now) const
{
    const std::lock_guard lock(mutex_);
    const auto found = until_.find(server);
    return found != until_.end() && found->second > now;
}

}
