#pragma once

#include "core/ids.h"

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

namespace carawaypoint
{

enum class OrderKind : std::uint8_t {
    Join, // become a member of a replica
    Open, // of the head: start to accept requests
    Close, // of the head: accept no new requests; requests in progress are finished
    Leave, // leave the replica immediately
    Stage, // fetch a model's weights to the host
};

std::string_view orderName(OrderKind kind);

/// An order to one backend server.
struct ReplicaOrder {
    OrderKind kind = OrderKind::Join;
    VmId server;
    Endpoint address;
    ReplicaId replica; // unset for Stage
    std::uint64_t epoch = 0; // unset for Stage
    ModelId model; // for Join and Stage
    std::vector<VmId> members; // for Join, the head first
    std::uint64_t term = 0; // of the sender's lease; backend servers that check it refuse a term below the highest that they have seen
};

enum class OrderOutcome : std::uint8_t {
    Done, // accepted, or the server is in the ordered state already
    Refused, // not possible in the server's state, which is unchanged
    Stale, // the server has seen a higher term, or for Join a higher epoch
    WrongServer, // another server now uses the address
    ConnectionRefused, // nothing listens at the address
    NoAnswer, // outcome unknown: the server may execute the order now or later
};

std::string_view outcomeName(OrderOutcome outcome);

/// Result of probing a backend server.
struct ProbeAnswer {
    bool isAnswered = false;
    double pace = 1; // factor on the durations of the server's work; above 1 the server is slow
};

/// Sends orders to backend servers.
class OrderClient
{
public:
    using Handler = std::function<void(OrderOutcome)>;
    using ProbeHandler = std::function<void(ProbeAnswer)>;

    virtual ~OrderClient() = default;
    /// Calls the handler exactly once, on the executor that the client was constructed with.
    virtual void send(const ReplicaOrder &order, Handler handler) = 0;
    /// Requests the state of a server with a short timeout. Calls the handler as send() does.
    virtual void probe(const VmId &server, const Endpoint &address, ProbeHandler handler) = 0;
};

}
