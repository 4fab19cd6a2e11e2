#include "core/request_decoder.h"

#include "core/chunked_body.h"
#include "core/response_head.h"

#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <string_view>
#include <utility>

namespace carawaypoint
{

namespace http = boost::beast::http;

namespace
{

/// Memory of a header field beside its text.
constexpr std::size_t FieldOverheadBytes = 96;
/// A request that is forwarded has a second copy of its header.
constexpr std::size_t HeaderCopies = 2;
constexpr std::size_t HeaderReadBytes = 1024;
constexpr std::size_t BodyReadBytes = std::size_t{16} * 1024;
constexpr std::size_t FirstBodyCapacity = 4096; // bytes

std::size_t lineCount(std::string_view bytes)
{
    return static_cast<std::size_t>(std::count(bytes.begin(), bytes.end(), '\n'));
}

}

RequestDecoder::RequestDecoder(const RequestLimits &limits)
    : limits_(limits)
{
    parser_.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    parser_.body_limit(limits.maxBodyBytes);
}

RequestDecoder::Error RequestDecoder::decodeHeader(boost::beast::flat_buffer &buffer)
{
    Error error = http::error::need_more;
    while (buffer.size() > 0 && !parser_.is_header_done()) {
        const auto used = parser_.put(buffer.data(), error);
        headerLines_ += lineCount({static_cast<const char *>(buffer.data().data()), used});
        headerBytes_ += used;
        buffer.consume(used);
        if (error) {
            break;
        }
    }
    if (error == http::error::need_more && headerBytes_ + buffer.size() > limits_.maxHeaderBytes) {
        return http::error::header_limit;
    }
    if (error || !parser_.is_header_done()) {
        return error ? error : http::error::need_more;
    }
    if (headerBytes_ > limits_.maxHeaderBytes) {
        return http::error::header_limit;
    }
    if (!hasKnownTransferEncoding(parser_.get())) {
        return http::error::bad_transfer_encoding;
    }
    expectedBodyBytes_ = static_cast<std::size_t>(parser_.content_length().value_or(limits_.maxBodyBytes));
    // Trailer fields are added to the parser's header, which is not used from here on.
    static_cast<http::request_header<> &>(header_) = std::move(static_cast<http::request_header<> &>(parser_.get()));
    isHeaderDone_ = true;
    return {};
}

RequestDecoder::Error RequestDecoder::decodeBody(boost::beast::flat_buffer &buffer)
{
    while (!parser_.is_done()) {
        if (buffer.size() == 0 || (parser_.chunked() && isIncompleteEmptyBody(buffer))) {
            return http::error::need_more;
        }
        const auto size = body_.size();
        const auto room = std::min(buffer.size(), body_.capacity() - size);
        body_.resize(size + room);
        auto &target = parser_.get().body();
        target.data = body_.data() + size;
        target.size = room;
        target.more = true;
        Error error;
        const auto used = parser_.put(buffer.data(), error);
        body_.resize(size + room - target.size);
        buffer.consume(used);
        if (error == http::error::need_more && buffer.size() > limits_.maxHeaderBytes) {
            return http::error::header_limit;
        }
        if (error) {
            return error;
        }
    }
    return {};
}

std::size_t RequestDecoder::nextCapacity() const
{
    return std::min(std::max(2 * body_.capacity(), FirstBodyCapacity), std::max(expectedBodyBytes_, body_.size() + 1));
}

void RequestDecoder::growBody()
{
    body_.reserve(nextCapacity());
}

void RequestDecoder::dropBody()
{
    std::string().swap(body_);
}

std::size_t RequestDecoder::headerMemory() const
{
    return HeaderCopies * (headerBytes_ + headerLines_ * FieldOverheadBytes);
}

std::size_t RequestDecoder::memoryUse() const
{
    return headerMemory() + body_.capacity();
}

std::size_t RequestDecoder::memoryUseToGrow() const
{
    // std::string doubles its capacity at least.
    return memoryUse() + std::max(nextCapacity(), 2 * body_.capacity());
}

std::size_t RequestDecoder::readSize() const
{
    if (!isHeaderDone_) {
        return HeaderReadBytes;
    }
    const auto missing = expectedBodyBytes_ - std::min(expectedBodyBytes_, body_.size());
    return std::clamp(missing, HeaderReadBytes, BodyReadBytes);
}

RequestDecoder::Message RequestDecoder::release()
{
    header_.body() = std::move(body_);
    return std::move(header_);
}

}
