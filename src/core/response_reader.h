#pragma once

#include "core/chunked_body.h"
#include "core/response_head.h"

#include <boost/beast/http/read.hpp>

#include <tuple>

namespace carawaypoint
{

/// Reads the head of a final response. Errors: those of checkFinalResponseHead(), of the parser and of the stream. A head that was read but fails the
/// check leaves @p parser with `is_header_done()`.
template<typename Stream, typename Parser>
asio::awaitable<boost::system::error_code> readResponseHead(Stream &stream, boost::beast::flat_buffer &buffer, Parser &parser)
{
    boost::system::error_code error;
    std::tie(error, std::ignore) = co_await boost::beast::http::async_read_header(stream, buffer, parser, UseResult);
    co_return error ? error : checkFinalResponseHead(parser.get());
}

/// Reads the body of a response whose head was read. Errors: those of the parser and of the stream.
template<typename Stream, typename Parser>
asio::awaitable<boost::system::error_code> readResponseBody(Stream &stream, boost::beast::flat_buffer &buffer, Parser &parser)
{
    auto error = co_await receiveChunkedBegin(stream, buffer, parser);
    if (!error && !parser.is_done()) {
        std::tie(error, std::ignore) = co_await boost::beast::http::async_read(stream, buffer, parser, UseResult);
    }
    co_return error;
}

/// Reads a whole final response. Errors: those of readResponseHead() and readResponseBody().
template<typename Stream, typename Parser>
asio::awaitable<boost::system::error_code> readResponse(Stream &stream, boost::beast::flat_buffer &buffer, Parser &parser)
{
    auto error = co_await readResponseHead(stream, buffer, parser);
    if (!error) {
        error = co_await readResponseBody(stream, buffer, parser);
    }
    co_return error;
}

}
