#include "core/response_head.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <gtest/gtest.h>

#include <string>

namespace carawaypoint
{

namespace http = boost::beast::http;

namespace
{

/// Whether a head is accepted as that of a final response, by Beast's parser and the check together.
bool isAccepted(const std::string &head)
{
    http::response_parser<http::buffer_body> parser;
    boost::system::error_code error;
    parser.put(boost::asio::buffer(head), error);
    return !error && parser.is_header_done() && !checkFinalResponseHead(parser.get());
}

std::string withField(const std::string &line)
{
    return "HTTP/1.1 200 OK\r\n" + line + "\r\n\r\n";
}

}

// Guards against a status line that is passed on although it is none: clients took the statuses 000 and 999 for answers.
TEST(ResponseHead, acceptsOnlyStatusLinesOfFinalResponses)
{
    for (const std::string line : {"HTTP/1.1 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 404 Not Found", "HTTP/1.1 599 X", "HTTP/1.0 200 OK"}) {
        EXPECT_TRUE(isAccepted(line + "\r\nContent-Length: 0\r\n\r\n")) << line;
    }
    for (const std::string line : {"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 100 Continue", "HTTP/1.1 101 X", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
                                   "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1  200 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK",
                                   "HTTP/1.1200 OK", "HTTP/1.1 200OK", "HTTP/2 200 OK", "HTTP/1.1 200 a\x01", "HTTP/1.1 200 a\x7f"}) {
        EXPECT_FALSE(isAccepted(line + "\r\nContent-Length: 0\r\n\r\n")) << line;
    }
}

// Guards against fields that HTTP does not allow, which reached clients as part of an answer.
TEST(ResponseHead, acceptsOnlyFieldNamesAndValuesOfHttp)
{
    for (const std::string line : {"X-Name: value", "x!#$%&'*+-.^_`|~9: value", "X-Empty:", "X-Tab: a\tb", "X-High: \xc3\xa9"}) {
        EXPECT_TRUE(isAccepted(withField(line))) << line;
    }
    for (const std::string line : {"X Name: value", "X-Name : value", "X-Name\t: value", " X-Name: value", ": value", "X\x01: value", "X\x7f: value",
                                   "X\xc3\xa9: value", "X(Name): value", "X\"Name: value", "X-Name", "X-Name: a\x01", "X-Name: a\x7f", "X-Name: a\rb"}) {
        EXPECT_FALSE(isAccepted(withField(line))) << line;
    }
    EXPECT_FALSE(isAccepted(withField(std::string("X\0Y: value", 10))));
    EXPECT_FALSE(isAccepted(withField(std::string("X-Name: a\0b", 11))));
}

// Guards against a body with an end that the two sides of a connection see differently.
TEST(ResponseHead, acceptsOnlyOneKnownLength)
{
    for (const std::string line : {"Content-Length: 5", "Transfer-Encoding: chunked", "Transfer-Encoding: Chunked"}) {
        EXPECT_TRUE(isAccepted(withField(line))) << line;
    }
    for (const std::string line :
         {"Content-Length: -5", "Content-Length: +5", "Content-Length: 0x5", "Content-Length: 5 6", "Content-Length: 5, 6",
          "Content-Length: 99999999999999999999", "Content-Length: 5\r\nContent-Length: 5", "Content-Length: 5\r\nContent-Length: 6",
          "Content-Length: 5\r\nTransfer-Encoding: chunked", "Transfer-Encoding: chunked\r\nContent-Length: 5", "Transfer-Encoding: gzip",
          "Transfer-Encoding: identity", "Transfer-Encoding: gzip, chunked", "Transfer-Encoding: chunked, gzip",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked", "Transfer-Encoding: gzip\r\nContent-Length: 5"}) {
        EXPECT_FALSE(isAccepted(withField(line))) << line;
    }
}

// Guards against a refusal of interim responses, which precede a final one.
TEST(ResponseHead, acceptsInterimStatusesWhereTheyAreExpected)
{
    http::response_header<> head;
    for (const unsigned status : {100U, 103U, 199U}) {
        head.result(status);
        EXPECT_FALSE(checkResponseHead(head)) << status;
        EXPECT_TRUE(checkFinalResponseHead(head)) << status;
    }
}

}
