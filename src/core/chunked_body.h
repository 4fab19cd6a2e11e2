#pragma once

#include "core/connection.h"

#include <boost/beast/core/flat_buffer.hpp>

#include <cstddef>
#include <tuple>

namespace carawaypoint
{

/// Whether @p buffer, the first bytes of a chunked body, must not be given to Beast's parser before more have arrived.
///
/// The parser ends the process by an assertion when the first chunk is the last one and the five bytes of an empty body, "0", a line end and an
/// empty line, arrive in parts.
inline bool isIncompleteEmptyBody(const boost::beast::flat_buffer &buffer)
{
    constexpr std::size_t EmptyBodyBytes = 5;
    const auto size = buffer.size();
    return size == 0 || (size < EmptyBodyBytes && *static_cast<const char *>(buffer.data().data()) == '0');
}

/// Receives the beginning of a chunked body whose header @p parser has read, as far as Beast's parser needs it; nothing for other bodies. Errors are
/// those of the stream.
template<typename Stream, typename Parser>
asio::awaitable<boost::system::error_code> receiveChunkedBegin(Stream &stream, boost::beast::flat_buffer &buffer, const Parser &parser)
{
    constexpr std::size_t ReadBytes = 512;
    boost::system::error_code error;
    while (!error && parser.chunked() && !parser.is_done() && isIncompleteEmptyBody(buffer)) {
        std::size_t count = 0;
        std::tie(error, count) = co_await stream.async_read_some(buffer.prepare(ReadBytes), UseResult);
        buffer.commit(count);
    }
    co_return error;
}

}
