#pragma once

#include "assignment/domain_record.h"

#include <functional>
#include <system_error>

namespace carawaypoint
{

/// Reply of a former controller to the question whether it has orders in flight.
enum class FormerControllerReply : std::uint8_t {
    NoOrdersInFlight, // and none will be sent: it knows that it is no longer the holder
    OrdersInFlight, // ask again later
    ProcessEnded, // another process incarnation answered at its address
};

/// Asks former controllers over the peer protocol (`confirmNoOrdersInFlight`) about their orders. Implemented by the daemon.
class FormerControllerClient
{
public:
    using ReplyHandler = std::function<void(std::error_code, FormerControllerReply)>;

    virtual ~FormerControllerClient() = default;

    /// The handler runs once, on the control thread. An error means that there was no answer, which confirms nothing.
    /// @param presentEpoch epoch of the record; the asked daemon gives up its lease when its epoch is lower.
    virtual void confirmNoOrdersInFlight(const ControllerRef &former, const DomainKey &domain, std::uint64_t presentEpoch, ReplyHandler handler) = 0;
};

}
