#pragma once

#include "assignment/domain_record.h"

#include <functional>
#include <system_error>

namespace carawaypoint
{

/// Answer of a former controller that was asked about its orders.
enum class FormerControllerReply : std::uint8_t {
    NoOrdersInFlight, // and it sends none any more: it knows that it is no longer the holder
    OrdersInFlight, // ask again later
    ProcessEnded, // its address answers with another process incarnation
};

/// Asks former controllers over the peer protocol (`confirmNoOrdersInFlight`). The daemon implements it.
class FormerControllerClient
{
public:
    using ReplyHandler = std::function<void(std::error_code, FormerControllerReply)>;

    virtual ~FormerControllerClient() = default;

    /// @param presentEpoch of the record; the asked daemon gives the lease up when its own epoch is lower.
    /// The handler runs on the control thread, once. An error means that there was no answer, which confirms nothing.
    virtual void confirmNoOrdersInFlight(const ControllerRef &former, const DomainKey &domain, std::uint64_t presentEpoch, ReplyHandler handler) = 0;
};

}
