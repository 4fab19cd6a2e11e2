#include "core/request_decoder.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <string>

namespace carawaypoint
{

namespace http = boost::beast::http;

namespace
{

constexpr RequestLimits Limits{.maxHeaderBytes = 1024, .maxBodyBytes = 10'000};
constexpr std::size_t AnySize = 1 << 20;

/// Decodes a request that arrives in parts, and keeps the largest amount of memory that it has used.
class PartwiseDecoder
{
public:
    explicit PartwiseDecoder(std::size_t partBytes)
        : partBytes_(partBytes)
    {
    }

    /// Returns the first error other than that of missing bytes, need_more when @p text ends before the request does.
    RequestDecoder::Error decode(std::string_view text)
    {
        RequestDecoder::Error error = http::error::need_more;
        for (; error == http::error::need_more && !text.empty(); text.remove_prefix(std::min(partBytes_, text.size()))) {
            const auto part = text.substr(0, partBytes_);
            buffer_.commit(boost::asio::buffer_copy(buffer_.prepare(part.size()), boost::asio::buffer(part)));
            error = decodeBuffer();
            peakMemory = std::max(peakMemory, decoder.memoryUse() + buffer_.capacity());
        }
        return error;
    }
    std::size_t unusedBytes() const
    {
        return buffer_.size();
    }

    RequestDecoder decoder{Limits};
    std::size_t peakMemory = 0; // bytes

private:
    RequestDecoder::Error decodeBuffer()
    {
        RequestDecoder::Error error;
        if (!decoder.isHeaderDone()) {
            error = decoder.decodeHeader(buffer_);
        }
        while (decoder.isHeaderDone()) {
            error = decoder.decodeBody(buffer_);
            if (error != http::error::need_buffer) {
                break;
            }
            decoder.growBody();
        }
        return error;
    }

    std::size_t partBytes_;
    boost::beast::flat_buffer buffer_;
};

const std::string Head = "POST /a HTTP/1.1\r\nHost: h\r\n";
const std::string ChunkedHead = Head + "Transfer-Encoding: chunked\r\n\r\n";

std::string repeated(const std::string &text, std::size_t count)
{
    std::string result;
    for (; count > 0; --count) {
        result += text;
    }
    return result;
}

}

// Guards against requests that are decoded differently when they arrive in other parts.
TEST(RequestDecoder, decodesRequestsInPartsOfAnySize)
{
    const std::string body(10'000, 'x');
    const std::string requests[] = {
        Head + "Content-Length: 10000\r\n\r\n" + body,
        ChunkedHead + "2710\r\n" + body + "\r\n0\r\n\r\n",
        ChunkedHead + repeated("1\r\nx\r\n", 10'000) + "0\r\n\r\n",
        ChunkedHead + repeated("A;a=b\r\nxxxxxxxxxx\r\n", 1000) + "0\r\nX-Trailer: 1\r\n\r\n",
    };
    for (const auto &request : requests) {
        for (const std::size_t partBytes : {std::size_t{1}, std::size_t{7}, std::size_t{512}, std::size_t{4096}, AnySize}) {
            PartwiseDecoder parts(partBytes);
            ASSERT_FALSE(parts.decode(request)) << partBytes;
            ASSERT_TRUE(parts.decoder.isDone());
            EXPECT_EQ(parts.unusedBytes(), 0U);
            const auto message = parts.decoder.release();
            EXPECT_EQ(message.body(), body);
            EXPECT_EQ(message[http::field::host], "h");
            EXPECT_EQ(message.target(), "/a");
            EXPECT_EQ(message["X-Trailer"], "");
        }
    }
}

// Guards against bytes after the header that become a further request, because an unknown encoding hides that they are a body.
TEST(RequestDecoder, refusesBodiesWithoutAKnownEnd)
{
    for (const std::string lines :
         {"Transfer-Encoding: gzip", "Transfer-Encoding: identity", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, identity",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nContent-Length: 5",
          "Content-Length: 5\r\nTransfer-Encoding: chunked", "Content-Length: 5\r\nContent-Length: 6", "Content-Length: -1", "Content-Length: +1"}) {
        const auto error = PartwiseDecoder(AnySize).decode(Head + lines + "\r\n\r\nGET /b HTTP/1.1\r\n\r\n");
        EXPECT_TRUE(error && error != http::error::need_more) << lines << ": " << error.message();
    }
    EXPECT_FALSE(PartwiseDecoder(AnySize).decode(Head + "Transfer-Encoding: Chunked\r\n\r\n0\r\n\r\n"));
}

// Guards against memory that grows with what a caller sends: no part of a request may use more than the limits allow.
TEST(RequestDecoder, boundsEachPartOfARequest)
{
    struct Case {
        std::string name;
        std::string begin;
        std::string block;
        http::error error;
    };
    const Case cases[] = {
        {"header fields", Head, "a: b\r\n", http::error::header_limit},
        {"header line", Head + "a: ", "b", http::error::header_limit},
        {"request line", "POST /", "a", http::error::header_limit},
        {"trailer fields", ChunkedHead + "0\r\n", "a: b\r\n", http::error::header_limit},
        {"trailer line", ChunkedHead + "0\r\na: ", "b", http::error::header_limit},
        {"chunk extension", ChunkedHead + "1;a=", "b", http::error::header_limit},
        {"chunk size", ChunkedHead, "0", http::error::header_limit},
        {"chunks", ChunkedHead, "5\r\nhello\r\n", http::error::body_limit},
        {"chunk over the limit", ChunkedHead + "2711\r\n", "x", http::error::body_limit},
        {"length over the limit", Head + "Content-Length: 10001\r\n\r\n", "x", http::error::body_limit},
    };
    constexpr std::size_t MaxMemory = 100'000;
    for (const auto &attack : cases) {
        for (const std::size_t partBytes : {std::size_t{1}, std::size_t{6}, std::size_t{511}, std::size_t{512}, std::size_t{4096}}) {
            PartwiseDecoder parts(partBytes);
            EXPECT_EQ(parts.decode(attack.begin + repeated(attack.block, 200'000 / attack.block.size())), attack.error) << attack.name << ", " << partBytes;
            EXPECT_LT(parts.peakMemory, MaxMemory) << attack.name << ", " << partBytes;
        }
    }
}

// Guards against requests inside the limits that are refused, and against such outside that are taken.
TEST(RequestDecoder, acceptsWhatTheLimitsAllow)
{
    const std::string end = "Content-Length: 0\r\n\r\n";
    const std::string field = "padding: ";
    const auto padding = Limits.maxHeaderBytes - Head.size() - end.size() - field.size() - 2;
    std::string largest = Head + field;
    largest.append(padding, 'x').append("\r\n").append(end);
    std::string tooLarge = Head + field;
    tooLarge.append(padding + 1, 'x').append("\r\n").append(end);
    for (const std::size_t partBytes : {std::size_t{1}, std::size_t{512}, AnySize}) {
        EXPECT_FALSE(PartwiseDecoder(partBytes).decode(largest));
        EXPECT_EQ(PartwiseDecoder(partBytes).decode(tooLarge), http::error::header_limit);
    }
}

// Guards against memory that is counted too low: bodies and many short header fields use more than their bytes.
TEST(RequestDecoder, countsMemoryOfBodiesAndFields)
{
    PartwiseDecoder body(512);
    EXPECT_EQ(body.decode(Head + "Content-Length: 10000\r\n\r\n" + std::string(9000, 'x')), http::error::need_more);
    EXPECT_GE(body.decoder.memoryUse(), 9000U);
    EXPECT_GT(body.decoder.memoryUseToGrow(), 2 * body.decoder.memoryUse());
    body.decoder.dropBody();
    EXPECT_LT(body.decoder.memoryUse(), 2000U);
    PartwiseDecoder fields(512);
    EXPECT_FALSE(fields.decode(Head + repeated("a:\r\n", 200) + "\r\n"));
    EXPECT_GE(fields.decoder.memoryUse(), 200U * 100);
}

}
