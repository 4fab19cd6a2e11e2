#include "gateway/server_link_monitor.h"

#include <utility>

namespace carawaypoint
{

ServerLinkMonitor::ServerLinkMonitor(ServerLinkMonitorSettings settings)
    : settings_(settings)
{
}

void ServerLinkMonitor::recordConnect(bool isConnected)
{
    failedConnects_ = isConnected ? 0 : failedConnects_ + 1;
}

void ServerLinkMonitor::recordRequestStart(TimePoint now)
{
    if (requests_++ == 0) {
        quietSince_ = now;
    }
}

void ServerLinkMonitor::recordRequestEnd()
{
    --requests_;
}

void ServerLinkMonitor::recordData(TimePoint now)
{
    quietSince_ = now;
}

bool ServerLinkMonitor::isCheckDue(TimePoint now) const
{
    if (isChecking_) {
        return false;
    }
    if (isCutOff_) {
        return now - checkedAt_ >= settings_.recheckInterval;
    }
    const bool isQuiet = requests_ > 0 && now - quietSince_ >= settings_.silence;
    return (isQuiet || failedConnects_ >= settings_.failedConnects) && now - checkedAt_ >= settings_.checkInterval;
}

void ServerLinkMonitor::recordCheckStart(TimePoint now)
{
    isChecking_ = true;
    checkedAt_ = now;
}

bool ServerLinkMonitor::recordCheckResult(LinkCheckResult result, TimePoint now)
{
    isChecking_ = false;
    checkedAt_ = now;
    if (result == LinkCheckResult::Sound) {
        failedConnects_ = 0;
    }
    // While nobody reaches a server, a way through others is worth nothing, but the links need not be sound.
    const bool isCutOff = result == LinkCheckResult::Lost || (result == LinkCheckResult::Unknown && isCutOff_);
    return std::exchange(isCutOff_, isCutOff) != isCutOff;
}

}
