#pragma once

#include "core/clock.h"
#include "core/result_code.h"

#include <cstdint>

namespace carawaypoint
{

enum class ServingEvent : std::uint8_t {
    CallerConnected,
    CallerDisconnected, // the caller closed its connection before its answer was complete
    TokensDelivered,
    WrongAttemptDropped, // an engine sent an answer or event with the id of another attempt
    RepeatedTokenDropped, // an engine sent a token index that was delivered already
    TokenGap, // an engine skipped a token index
    TruncatedAnswer, // an engine answer ended early, or its token count did not match
    Resumed, // an attempt continued an answer after the tokens already delivered
    FreshConnectionRetry, // a pooled connection failed before the first response byte; the request was sent again on a new one
    UpstreamConnected,
    UpstreamReused,
    CancelSent,
    CancelFailed,
};

/// Receives measurements of the front end. Called on traffic threads: implementations must be thread-safe and must not block.
class ServingMetrics
{
public:
    virtual ~ServingMetrics() = default;

    virtual void count(ServingEvent /*event*/, std::uint64_t /*amount*/)
    {
    }
    virtual void onRequestFinished(ResultCode /*code*/, RunState /*state*/, Duration /*total*/)
    {
    }
    virtual void onFirstToken(Duration /*sinceArrival*/)
    {
    }
};

}
