#pragma once

#include <string>

namespace carawaypoint
{

/// Names that callers and backend servers use on the wire. The platform's adapter supplies them.
struct WireNames {
    std::string attemptId; // header: id of one try of a caller
    std::string deadline; // header: milliseconds that the receiver may take
    std::string customer; // header to backend servers: name of the customer that holds the key
    std::string expectedServer; // header to backend servers: id of the server that may run the request
    std::string notExecuted; // header of an answer: the server did not run the request
    std::string signature; // header of an answer: a backend server made it
    std::string model; // header: model that the request is for
    std::string tokenUsage; // header: tokens of the prompt and at most of the answer
    std::string keyScheme; // scheme of the Authorization header
    std::string readinessPath;
};

}
