#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <cstddef>
#include <string>

namespace carawaypoint
{

/// Sizes that a server accepts in a request.
struct RequestLimits {
    std::size_t maxHeaderBytes = std::size_t{16} * 1024; // request line and header fields; also trailer fields, or one line of chunk framing
    std::size_t maxBodyBytes = std::size_t{1024} * 1024;
};

/// Decodes one HTTP request from the bytes of a connection, with limits on all that the bytes make it store. Does no I/O.
///
/// The limits of Beast's parser do not hold for header fields that arrive in many parts, trailer fields and chunk extensions. Trailer fields are
/// dropped: merged into the header, they would change a request after its header was checked.
class RequestDecoder
{
public:
    using Error = boost::system::error_code;
    using Message = boost::beast::http::request<boost::beast::http::string_body>;

    explicit RequestDecoder(const RequestLimits &limits);

    /// Decodes the header from @p buffer and removes the bytes used. Errors: `need_more` (call again when more bytes have arrived), `header_limit`,
    /// `body_limit` (the stated length is too large), `bad_transfer_encoding` (another one than chunked, so that the end of the body is not
    /// known), and those of a malformed header.
    Error decodeHeader(boost::beast::flat_buffer &buffer);
    /// Decodes the body from @p buffer and removes the bytes used. Errors: `need_more`, `need_buffer` (call growBody() first), `body_limit`,
    /// `header_limit` (too many bytes of trailer fields or in a line of chunk framing), and those of a malformed body.
    Error decodeBody(boost::beast::flat_buffer &buffer);

    /// Makes room for more of the body.
    void growBody();
    /// Frees the body received so far; the request cannot be completed afterwards.
    void dropBody();

    const boost::beast::http::fields &header() const
    {
        return header_;
    }
    /// Whether any byte of the request was decoded.
    bool hasBegun() const
    {
        return headerBytes_ > 0;
    }
    bool isHeaderDone() const
    {
        return isHeaderDone_;
    }
    bool isDone() const
    {
        return isHeaderDone_ && parser_.is_done();
    }
    /// Memory that the decoded part of the request uses, in bytes.
    std::size_t memoryUse() const;
    /// Memory that growBody() needs for a moment, in bytes, in place of memoryUse().
    std::size_t memoryUseToGrow() const;
    /// Number of bytes to read next.
    std::size_t readSize() const;
    /// The complete request.
    Message release();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::buffer_body>;

    std::size_t nextCapacity() const;
    std::size_t headerMemory() const;

    RequestLimits limits_;
    Parser parser_;
    Message header_; // once the header is complete
    std::string body_;
    std::size_t expectedBodyBytes_ = 0; // the stated length, or else the limit
    std::size_t headerBytes_ = 0;
    std::size_t headerLines_ = 0;
    bool isHeaderDone_ = false;
};

}
