#pragma once

#include "core/clock.h"
#include "core/result_code.h"

#include <cstdint>

namespace carawaypoint
{

enum class ServingEvent : std::uint8_t {
    CallerConnected,
    CallerGone, // left before its answer was complete
    TokensDelivered,
    WrongAttemptDropped, // an answer or event that carried another attempt id
    RepeatedTokenDropped, // an event with an index that was delivered already
    TokenGap, // an event skipped an index
    TruncatedAnswer,
    Resumed, // a stream went on at another replica
    FreshConnectionRetry, // a pooled connection failed before the answer began
    UpstreamConnected,
    UpstreamReused,
    CancelSent,
    CancelFailed,
};

/// Receives measurements from traffic threads; implementations are thread-safe and do not block.
class ServingMetrics
{
public:
    virtual ~ServingMetrics() = default;

    virtual void count(ServingEvent /*event*/, std::uint64_t /*amount*/)
    {
    }
    virtual void requestFinished(ResultCode /*code*/, RunState /*state*/, Duration /*total*/)
    {
    }
    virtual void firstToken(Duration /*sinceArrival*/)
    {
    }
};

}
