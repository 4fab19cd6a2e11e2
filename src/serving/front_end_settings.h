#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>

namespace carawaypoint
{

/// Limits and timeouts of the HTTP front end.
struct FrontEndSettings {
    unsigned threads = 2; // traffic threads
    std::uint32_t maxConnectionsPerThread = 8192;

    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 1024UL * 1024;
    std::size_t maxAnswerBytes = 8UL * 1024 * 1024; // of an answer that is collected before it is sent
    std::size_t maxEventBytes = 64UL * 1024; // of one event from an engine

    Duration idleTimeout = seconds(75); // between requests of one caller connection
    Duration headerTimeout = seconds(10);
    Duration bodyTimeout = seconds(20);
    Duration callerWriteTimeout = seconds(15); // a caller that takes nothing for longer is disconnected

    Duration connectTimeout = seconds(1);
    Duration firstByteTimeout = seconds(10); // from sending to the first token
    Duration interTokenTimeout = seconds(5);
    Duration serviceTimeout = seconds(10); // for the whole answer of a plain service
    Duration cancelTimeout = seconds(2);
    Duration defaultFirstTokenDeadline = seconds(10); // when neither caller nor model sets one

    Duration upstreamMaxAge = minutes(5);
    Duration upstreamMaxIdle = seconds(20);
    std::size_t upstreamMaxIdleCount = 32; // per server and thread
    Duration tcpUserTimeout = seconds(5); // unacknowledged data for longer breaks an upstream connection

    unsigned maxAttempts = 4; // replicas tried per model request, servers tried per repeatable call
    double serviceRetryShare = 0.1; // retries per call to plain services
    Duration leavingServerMemory = minutes(1); // a server that announced its leaving gets no calls for so long

    Duration drainNotice = seconds(2); // from /readyz turning 503 to refusing requests, so that the balancer notices
    Duration drainRecordTime = seconds(10); // longest wait for outcomes of calls to be recorded when draining
};

}
