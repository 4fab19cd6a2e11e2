#pragma once

#include "soak/model_servers.h"
#include "soak/violations.h"

#include <random>

namespace carawaypoint::soak
{

/// Callers that send requests over persistent connections and check every answer.
class Callers
{
public:
    /// Number of requests by outcome.
    struct Counts {
        unsigned sent = 0;
        unsigned served = 0;
        unsigned refused = 0;
        unsigned failed = 0;
    };

    Callers(boost::asio::any_io_executor executor, ModelServers &servers, Violations &violations, std::uint64_t seed);

    void addGateway(const boost::asio::ip::tcp::endpoint &endpoint)
    {
        gateways_.push_back(endpoint);
    }
    void start(unsigned count);
    void stop()
    {
        isStopped_ = true;
    }
    /// Returns the counts since the last call.
    Counts takeCounts();
    /// Checks at the end that refused calls never ran, and that bookings ran at most once.
    void checkRuns();
    /// Sets the service that must have run each answered read from now on; empty for any.
    void expectReadService(const std::string &service)
    {
        readService_ = service;
    }
    /// Sets whether a connection that ends without an answer is a violation, as during a planned stop without other faults.
    void expectNoInterruptions(bool isExpected)
    {
        expectsNoInterruptions_ = isExpected;
    }

private:
    enum class Kind : std::uint8_t {
        Stream, // streamed answer of a model
        Read, // idempotent call
        Booking, // non-idempotent call
    };

    boost::asio::awaitable<void> runCaller(std::uint64_t number);
    boost::asio::awaitable<bool> sendRequest(boost::asio::ip::tcp::socket &socket, Kind kind, const std::string &id);
    void checkAnswer(Kind kind, const std::string &id, unsigned status, const std::string &signature, const std::string &body);
    void checkStream(const std::string &id, const std::string &body);

    boost::asio::any_io_executor executor_;
    ModelServers &servers_;
    Violations &violations_;
    std::mt19937_64 random_;
    std::vector<boost::asio::ip::tcp::endpoint> gateways_;
    std::vector<std::string> refusedIds_; // ids of calls that were refused, so that they must never run
    std::vector<std::string> bookingIds_;
    std::string readService_; // that must run reads; empty for any
    Counts counts_;
    std::uint64_t nextId_ = 0;
    bool expectsNoInterruptions_ = false;
    bool isStopped_ = false;
};

}
