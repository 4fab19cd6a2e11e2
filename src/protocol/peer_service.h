#pragma once

#include "membership/peer_calls.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstdint>
#include <memory>
#include <system_error>

namespace carawaypoint
{

struct PeerServiceOptions {
    Duration connectTimeout = milliseconds(500); // establishment of a connection to a peer
    Duration callTimeout = milliseconds(800); // shorter than the exchange period, so that a failure is known before the next exchange
    Duration fetchTimeout = seconds(5); // of fetchConfig, which transfers up to a megabyte, and of fetchAssignment
    Duration idleTimeout = minutes(2); // an accepted connection without calls is closed
    std::size_t maxServerConnections = 512; // further connections are closed at once
    std::size_t maxClientConnections = 160; // the least recently used connection is closed for a new one
    std::size_t maxMessageBytes = 2'000'000; // a longer message closes its connection
};

struct PeerServiceCounters {
    std::uint64_t callsServed = 0; // calls received from peers
    std::uint64_t malformedMessages = 0; // malformed calls and replies received
    std::uint64_t refusedConnections = 0; // connections over maxServerConnections
    std::uint64_t failedCalls = 0; // calls to peers that got no answer
    std::uint64_t bytesReceived = 0;
    std::uint64_t bytesSent = 0;
};

/// Client and server of the Cap'n Proto RPC protocol between daemons, on a thread of its own.
///
/// Requests of peers and replies of calls are handled on the control executor. No handler runs after stop() or destruction;
/// outstanding calls are then dropped without a reply. Created, used and destroyed on the control thread.
class PeerService : public PeerCalls
{
public:
    /// @param control executor of the control thread.
    /// @param handler must outlive the service.
    /// @param process incarnation of this process, sent in every answer.
    PeerService(boost::asio::any_io_executor control, PeerServiceOptions options, PeerRequestHandler &handler, std::uint64_t process);
    ~PeerService() override;

    /// Starts the thread and listens on @p address; port 0 lets the system choose one.
    /// @return PeerUnavailable when the address cannot be used.
    std::error_code start(const Endpoint &address);
    void stop();
    /// The address of the listening socket.
    Endpoint localEndpoint() const;
    PeerServiceCounters counters() const;

    void exchange(const PeerTarget &target, PeerMessage message, ExchangeHandler handler) override;
    void fetchConfig(const PeerTarget &target, ConfigurationHandler handler) override;
    void relinquishClaim(const PeerTarget &target, std::string_view service, std::string_view key, std::string_view token, RelinquishHandler handler) override;
    void confirmNoOrdersInFlight(const PeerTarget &target, const DomainKey &domain, std::uint64_t epoch, ConfirmHandler handler) override;
    void reportSignals(const PeerTarget &target, std::vector<PeerSignal> signals, DoneHandler handler) override;
    void fetchAssignment(const PeerTarget &target, std::vector<RecordStamp> known, AssignmentHandler handler) override;

private:
    class Impl;
    std::shared_ptr<Impl> impl_;
};

}
