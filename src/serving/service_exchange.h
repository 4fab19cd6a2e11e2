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
    std::string target; // at the server, with query
    HeaderList headers; // end-to-end headers
    std::string body;
    Duration timeout{}; // for the whole answer; 0: the front end's limit
};

/// How a plain service's server answered.
struct ServiceAnswer {
    enum class End : std::uint8_t {
        Answered,
        RefusedBeforeRun, // 503 with X-Draining
        Lost,
        TimedOut,
        TooLarge, // it answered, but the body exceeds the limit
    };
    End end = End::Lost;
    bool hasBegun = false; // any byte of the answer was received
    bool isLeaving = false; // the server announced its leaving
    unsigned status = 0;
    HeaderList headers; // end-to-end headers
    std::string contentType;
    std::string body;
};

/// Whether a header concerns one connection only.
bool isHopHeader(std::string_view name);

/// Sends the request over the connection and reads the whole answer; gives the connection back to the pool if possible.
asio::awaitable<ServiceAnswer> exchangeWithService(TrafficLoop &loop, Endpoint server, UpstreamConnection upstream, const ServiceRequest &request);

}
