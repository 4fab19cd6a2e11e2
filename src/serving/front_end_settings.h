#pragma once

#include "core/clock.h"

#include <cstddef>
#include <cstdint>

namespace carawaypoint
{

/// Limits and timeouts of the HTTP front end.
struct FrontEndSettings {
    unsigned threads = 2; // traffic threads
    std::uint32_t maxConnectionsPerThread = 8192; // caller connections

    std::uint32_t maxHeaderBytes = 16 * 1024; // header of a request
    std::uint64_t maxBodyBytes = 1024UL * 1024; // body of a request
    std::size_t maxRequestMemory = 32UL * 1024 * 1024; // requests of all callers together, per thread
    std::size_t maxAnswerBytes = 8UL * 1024 * 1024; // buffered answer of a plain service or of a request without streaming
    std::size_t maxEventBytes = 64UL * 1024; // one server-sent event from an engine

    Duration idleTimeout = seconds(75); // pause between two requests on a caller connection
    Duration headerTimeout = seconds(10); // receipt of a request header
    Duration bodyTimeout = seconds(20); // receipt of a request body
    Duration callerWriteTimeout = seconds(15); // one write to a caller; a caller that accepts no data for longer is disconnected

    Duration connectTimeout = seconds(1); // establishment of a connection to a backend server
    Duration firstByteTimeout = seconds(10); // from sending a model request to its first token
    Duration interTokenTimeout = seconds(5); // between two tokens of an engine
    Duration serviceTimeout = seconds(10); // complete answer of a plain service that sets no timeout
    Duration cancelTimeout = seconds(2); // cancel request to an engine
    Duration defaultFirstTokenDeadline = seconds(10); // deadline of requests for which neither caller nor model sets one

    Duration upstreamMaxAge = minutes(5); // age of a pooled connection that may still be reused
    Duration upstreamIdleTimeout = seconds(20); // idle time of a pooled connection that may still be reused
    std::size_t upstreamMaxIdleCount = 32; // idle connections per server and thread
    Duration tcpUserTimeout = seconds(5); // an upstream connection with data unacknowledged for longer is broken

    unsigned maxAttempts = 4; // replicas tried per model request, servers tried per service call
    double serviceRetryRatio = 0.1; // retries allowed per repeatable call to a plain service
    Duration leavingServerRetention = minutes(1); // time without calls to a server that announced that it leaves

    // From /readyz turning 503 to refusing requests, so that the load balancer sees the change first.
    Duration drainRefusalDelay = seconds(2);
    Duration claimRecordTimeout = seconds(10); // wait of a drain for the outcomes of claimed calls to be recorded
};

}
