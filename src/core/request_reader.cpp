#include "core/request_reader.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/error.hpp>

namespace carawaypoint
{

namespace http = boost::beast::http;

namespace
{

constexpr std::size_t MaxKeptBufferBytes = 4096;
const auto NotEnoughMemory = make_error_code(boost::system::errc::not_enough_memory);

}

RequestReader::RequestReader(Connection &connection, RequestMemory &memory, const RequestLimits &limits)
    : ArrivingRequests::Request(memory.arriving)
    , connection_(connection)
    , memory_(memory)
    , reservation_(memory.budget)
    , decoder_(limits)
{
}

asio::awaitable<RequestReader::Error> RequestReader::readHeader()
{
    return read(&RequestDecoder::decodeHeader);
}

asio::awaitable<RequestReader::Error> RequestReader::readBody()
{
    return read(&RequestDecoder::decodeBody);
}

asio::awaitable<RequestReader::Error> RequestReader::read(Decode decode)
{
    Error error = hasGivenWay_ ? NotEnoughMemory : Error();
    while (!error) {
        error = (decoder_.*decode)(connection_.buffer());
        if (error == http::error::need_buffer) {
            error = co_await growBody();
        } else if (error == http::error::need_more) {
            error = co_await receiveSome();
        } else {
            break;
        }
    }
    if (!error) {
        shrinkBuffer();
    }
    if (!error && !reservation_.resize(memoryUse())) {
        error = co_await reserveFromOthers(memoryUse());
    }
    if (error) {
        dropInput();
    }
    if (error || decoder_.isDone()) {
        remove();
    }
    co_return error;
}

asio::awaitable<RequestReader::Error> RequestReader::receiveSome()
{
    auto &buffer = connection_.buffer();
    const auto size = decoder_.readSize();
    if (!reservation_.resize(memoryUse() + size)) {
        if (const auto error = co_await reserveFromOthers(memoryUse() + size)) {
            co_return error;
        }
    }
    const auto [error, count] = co_await connection_.socket().async_read_some(buffer.prepare(size), UseResult);
    buffer.commit(count);
    if (hasGivenWay_) {
        co_return NotEnoughMemory;
    }
    if (error == asio::error::eof) {
        const bool hasBegun = decoder_.hasBegun() || buffer.size() > 0;
        co_return hasBegun ? http::error::partial_message : http::error::end_of_stream;
    }
    recordProgress();
    co_return error;
}

asio::awaitable<RequestReader::Error> RequestReader::growBody()
{
    const auto bytes = decoder_.memoryUseToGrow() + connection_.buffer().capacity();
    if (!reservation_.resize(bytes)) {
        if (const auto error = co_await reserveFromOthers(bytes)) {
            co_return error;
        }
    }
    decoder_.growBody();
    reservation_.resize(memoryUse());
    co_return Error();
}

/// Changes the memory that is counted for the request. Other requests that are being received give way until it suffices.
asio::awaitable<RequestReader::Error> RequestReader::reserveFromOthers(std::size_t bytes)
{
    while (!reservation_.resize(bytes)) {
        if (!memory_.arriving.makeRoom(ArrivingRequests::Shortage::Memory, this)) {
            co_return NotEnoughMemory;
        }
        // The other one frees its buffer when its cancelled read has returned.
        co_await asio::post(connection_.socket().get_executor(), asio::use_awaitable);
        if (hasGivenWay_) {
            co_return NotEnoughMemory;
        }
    }
    co_return Error();
}

std::size_t RequestReader::memoryUse() const
{
    return decoder_.memoryUse() + connection_.buffer().capacity();
}

/// Frees what was received of a request that is not completed. Its connection is not used again.
void RequestReader::dropInput()
{
    decoder_.dropBody();
    connection_.buffer().clear();
    connection_.buffer().shrink_to_fit();
    reservation_.resize(memoryUse());
}

/// Frees what a long body has added to the buffer, which the connection keeps.
void RequestReader::shrinkBuffer()
{
    auto &buffer = connection_.buffer();
    if (buffer.capacity() > MaxKeptBufferBytes && buffer.size() < MaxKeptBufferBytes) {
        buffer.shrink_to_fit();
    }
}

void RequestReader::giveWay(ArrivingRequests::Shortage shortage)
{
    hasGivenWay_ = true;
    mustCloseAtOnce_ = shortage == ArrivingRequests::Shortage::Descriptors;
    decoder_.dropBody();
    reservation_.resize(memoryUse());
    boost::system::error_code ignored;
    connection_.socket().cancel(ignored);
}

}
