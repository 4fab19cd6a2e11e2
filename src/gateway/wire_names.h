#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypoint
{

/// Load of a backend server as it states it in a response.
struct StatedLoad {
    std::uint32_t running = 0; // requests
    std::uint32_t waiting = 0; // requests
    std::uint32_t slots = 0; // requests that the server runs concurrently
};

/// Names in the protocol of callers and backend servers, supplied by the platform adapter.
struct WireNames {
    std::string attemptId; // header: id of one attempt of a caller
    std::string deadline; // header: time in ms that the receiver has for the request
    std::string customer; // header to backend servers: name of the customer with the API key
    std::string expectedServer; // header to backend servers: id of the server that may run the request
    std::string notExecuted; // response header: the server did not run the request
    std::string signature; // response header: present when a backend server created the response
    std::string model; // header: model that the request is for
    std::string tokenUsage; // header: tokens of the prompt, and maximum tokens of the response
    std::string priority; // header to backend servers: 0 to 9, smaller ones are taken from the server's queue first; empty when there is none
    std::string serverLoad; // response header: load of the backend server; empty when the platform has none
    std::optional<StatedLoad> (*parseServerLoad)(std::string_view text) = nullptr; // empty result when the value is malformed
    std::string serverLeaving; // response header: `1` when the backend server is about to stop; empty when the platform has none
    std::string promptParts; // header: parts of the prompt; empty when the platform has none
    std::vector<std::uint64_t> (*parsePromptParts)(std::string_view text) = nullptr; // identifiers of the parts, without malformed ones
    std::string keyScheme; // scheme of the Authorization header
    std::string readinessPath;
};

}
