#pragma once

#include "core/arriving_requests.h"
#include "core/connection.h"
#include "core/memory_budget.h"
#include "core/request_decoder.h"

namespace carawaypoint
{

/// What the requests of all callers share on one thread.
struct RequestMemory {
    /// @param limit in bytes.
    explicit RequestMemory(std::size_t limit)
        : budget(limit)
    {
    }

    MemoryBudget budget;
    ArrivingRequests arriving;
};

/// Receives one request from a connection. Its memory counts until the reader is destroyed, also when the request was released.
class RequestReader : private ArrivingRequests::Request
{
public:
    using Error = boost::system::error_code;

    RequestReader(Connection &connection, RequestMemory &memory, const RequestLimits &limits);

    /// Receives the header. Errors: those of RequestDecoder other than need_more and need_buffer; `not_enough_memory` when the request has to give
    /// way to others, which it does by no fault of its own; `end_of_stream` (no byte has arrived) or `partial_message` when the caller closes
    /// the connection; and those of the socket, with `operation_aborted` after a timeout of the connection.
    asio::awaitable<Error> readHeader();
    /// Receives the body. Errors as above.
    asio::awaitable<Error> readBody();

    const boost::beast::http::fields &header() const
    {
        return decoder_.header();
    }
    bool isDone() const
    {
        return decoder_.isDone();
    }
    /// Whether the connection has to be closed at once, since its descriptor is needed.
    bool mustCloseAtOnce() const
    {
        return mustCloseAtOnce_;
    }
    RequestDecoder::Message release()
    {
        return decoder_.release();
    }

private:
    using Decode = Error (RequestDecoder::*)(boost::beast::flat_buffer &);

    asio::awaitable<Error> read(Decode decode);
    asio::awaitable<Error> receiveSome();
    asio::awaitable<Error> growBody();
    asio::awaitable<Error> reserveFromOthers(std::size_t bytes);
    std::size_t memoryUse() const;
    void dropInput();
    void shrinkBuffer();
    void giveWay(ArrivingRequests::Shortage shortage) override;

    Connection &connection_;
    RequestMemory &memory_;
    MemoryBudget::Reservation reservation_;
    RequestDecoder decoder_;
    bool hasGivenWay_ = false;
    bool mustCloseAtOnce_ = false;
};

}
