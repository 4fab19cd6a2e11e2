#pragma once

#include "core/chunked_body.h"
#include "core/connection.h"
#include "core/response_head.h"

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <tuple>

namespace carawaypoint
{

/// Reads a whole final response. Errors: those of checkFinalResponseHead(), of the parser and of the socket.
inline asio::awaitable<boost::system::error_code> readResponse(Connection &connection,
                                                               boost::beast::http::response_parser<boost::beast::http::string_body> &parser)
{
    boost::system::error_code error;
    std::tie(error, std::ignore) = co_await boost::beast::http::async_read_header(connection.socket(), connection.buffer(), parser, UseResult);
    if (!error) {
        error = checkFinalResponseHead(parser.get());
    }
    if (!error) {
        error = co_await receiveChunkedBegin(connection.socket(), connection.buffer(), parser);
    }
    if (!error && !parser.is_done()) {
        std::tie(error, std::ignore) = co_await boost::beast::http::async_read(connection.socket(), connection.buffer(), parser, UseResult);
    }
    co_return error;
}

}
