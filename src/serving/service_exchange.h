#pragma once

#include "serving/traffic_loop.h"

#include <string>
#include <utility>
#include <vector>

namespace carawaypoint
{

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// A caller's request to a plain service.
struct ServiceRequest {
    RequestId id;
    CustomerId customer;
    ServiceId service;
    std::string key; // Idempotency-Key
    std::string method;
    std::string target; // path and query sent to the server
    HeaderList headers; // end-to-end headers
    std::string body;
    Duration timeout{}; // time limit of the complete answer; 0: FrontEndSettings::serviceTimeout
};

/// Outcome of one request to a server of a plain service.
struct ServiceAnswer {
    enum class End : std::uint8_t {
        Answered,
        RefusedBeforeRun, // 503 with X-Draining
        ConnectionLost, // the connection broke, or the answer could not be parsed
        Malformed, // the head of the answer breaks the rules of checkFinalResponseHead()
        TimedOut, // no complete answer within the timeout
        TooLarge, // the server answered, but the body exceeds maxAnswerBytes
    };
    End end = End::ConnectionLost;
    bool hasStarted = false; // at least one byte of the answer was received
    bool isLeaving = false; // the server announced that it leaves, by X-Draining or `Connection: close`
    unsigned status = 0;
    HeaderList headers; // end-to-end headers
    std::string contentType;
    std::string body;
};

/// Whether a header must not be forwarded: hop-by-hop headers and those that this daemon sets itself.
bool isHopByHopHeader(std::string_view name);

/// Sends the request over the connection and reads the complete answer; returns a reusable connection to the pool.
asio::awaitable<ServiceAnswer> exchangeWithService(TrafficLoop &loop, Endpoint server, UpstreamConnection upstream, const ServiceRequest &request);

}
