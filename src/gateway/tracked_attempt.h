#pragma once

#include "gateway/backend_load_tracker.h"

#include <utility>

namespace carawaypoint
{

/// Keeps a request in the load tracker while it exists, also when an exception ends its scope.
class TrackedAttempt
{
public:
    TrackedAttempt(BackendLoadTracker &tracker, const VmId &server, ReroutableCall *stream, unsigned &pendingPrefillTokens)
        : tracker_(tracker)
        , server_(server)
        , stream_(stream)
        , pendingPrefillTokens_(pendingPrefillTokens)
    {
        tracker_.recordRequestStart(server_, stream_, pendingPrefillTokens_);
    }
    TrackedAttempt(const TrackedAttempt &) = delete;
    TrackedAttempt &operator=(const TrackedAttempt &) = delete;
    ~TrackedAttempt()
    {
        tracker_.recordRequestEnd(server_, stream_, std::exchange(pendingPrefillTokens_, 0));
    }

private:
    BackendLoadTracker &tracker_;
    const VmId &server_;
    ReroutableCall *stream_;
    unsigned &pendingPrefillTokens_;
};

}
