#include "daemon/admin_server.h"
#include "observe/metrics.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <thread>

namespace carawaypoint
{

namespace
{

using testing::HasSubstr;
using testing::StartsWith;
using Tcp = boost::asio::ip::tcp;

class AdminServerTest : public testing::Test
{
protected:
    AdminServerTest()
        : AdminServerTest(seconds(60), seconds(60))
    {
    }

    /// Timeouts are short only in tests that wait for them: on a busy machine short timeouts would interrupt other exchanges too.
    AdminServerTest(Duration readTimeout, Duration handlerTimeout)
        : server_(context_.get_executor(), limits(readTimeout, handlerTimeout))
    {
        registry_.count(CounterMetric::Requests, "ok");
        addMetricsHandler(server_, registry_);
        server_.handle("GET", "/admin/explain", [](const AdminRequest &request, const AdminServer::Responder &respond) {
            const auto subject = request.query.find("subject");
            respond({.body = subject == request.query.end() ? "none" : subject->second});
        });
        server_.handle("POST", "/admin/late", [this](const AdminRequest &request, const AdminServer::Responder &respond) {
            late_ = std::thread([body = request.body, respond] {
                respond({.body = body});
                respond({.body = "second answer"});
            });
        });
        server_.handle("GET", "/admin/silent", [this](const AdminRequest &, const AdminServer::Responder &respond) { unansweredResponder_ = respond; });
        server_.handle("GET", "/admin/throws", [](const AdminRequest &, const AdminServer::Responder &) { throw std::runtime_error("faulty handler"); });
        EXPECT_FALSE(server_.start({"127.0.0.1", 0}));
        endpoint_ = server_.localEndpoint();
        thread_ = std::thread([this] { context_.run(); });
    }

    ~AdminServerTest() override
    {
        boost::asio::post(context_, [this] { server_.stop(); });
        context_.stop();
        thread_.join();
        if (late_.joinable()) {
            late_.join();
        }
    }

    static AdminLimits limits(Duration readTimeout, Duration handlerTimeout)
    {
        AdminLimits limits;
        limits.maxBodyBytes = 100;
        limits.readTimeout = readTimeout;
        limits.handlerTimeout = handlerTimeout;
        return limits;
    }

    /// Sends @p text and returns everything up to the end of the connection.
    std::string exchange(const std::string &text)
    {
        boost::asio::io_context context;
        Tcp::socket socket(context);
        socket.connect({boost::asio::ip::make_address(endpoint_.address), endpoint_.port});
        boost::asio::write(socket, boost::asio::buffer(text));
        std::string answer;
        boost::system::error_code error;
        boost::asio::read(socket, boost::asio::dynamic_buffer(answer), error);
        return answer;
    }

    std::string call(const std::string &method, const std::string &target, const std::string &body = {})
    {
        return exchange(method + " " + target + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
                        + body);
    }

    MetricsRegistry registry_;
    boost::asio::io_context context_;
    AdminServer server_;
    Endpoint endpoint_;
    std::thread thread_;
    std::thread late_;
    AdminServer::Responder unansweredResponder_;
};

class ShortReadTest : public AdminServerTest
{
protected:
    ShortReadTest()
        : AdminServerTest(milliseconds(300), seconds(60))
    {
    }
};

class ShortHandlerTest : public AdminServerTest
{
protected:
    ShortHandlerTest()
        : AdminServerTest(seconds(60), milliseconds(300))
    {
    }
};

}

// Guards against query parameters that are not percent-decoded: the subject of a decision may contain any character.
TEST_F(AdminServerTest, passesDecodedQuery)
{
    const auto answer = call("GET", "/admin/explain?subject=r%201%26x");
    EXPECT_THAT(answer, StartsWith("HTTP/1.1 200"));
    EXPECT_THAT(answer, HasSubstr("X-Result-Code: 100 ok\r\n"));
    EXPECT_THAT(answer, HasSubstr("r 1&x"));
}

// Guards against a metrics response that scrapers cannot parse.
TEST_F(AdminServerTest, servesMetrics)
{
    const auto answer = call("GET", "/metrics");
    EXPECT_THAT(answer, HasSubstr("Content-Type: text/plain; version=0.0.4"));
    EXPECT_THAT(answer, HasSubstr("carawaypoint_requests_total{code=\"ok\"} 1\n"));
    EXPECT_THAT(answer, HasSubstr("carawaypoint_dropped_log_lines "));
}

// Guards against a second response on the connection when a handler calls its responder twice, from another thread.
TEST_F(AdminServerTest, sendsOnlyTheFirstAnswerOfAHandler)
{
    const auto answer = call("POST", "/admin/late", "{\"a\":1}");
    EXPECT_THAT(answer, HasSubstr("{\"a\":1}"));
    EXPECT_THAT(answer, testing::Not(HasSubstr("second")));
}

// Guards against refused or failed requests that get no response, or one without a result code.
TEST_F(AdminServerTest, answersErrorsWithResultCodes)
{
    struct Case {
        std::string answer;
        std::string status;
        std::string code;
    };
    const Case cases[] = {
        {call("GET", "/nowhere"), "HTTP/1.1 404", "206 unknown_path"},
        {call("DELETE", "/admin/explain"), "HTTP/1.1 404", "206 unknown_path"},
        {call("POST", "/admin/late", std::string(101, 'x')), "HTTP/1.1 413", "201 request_too_large"},
        {call("GET", "/admin/throws"), "HTTP/1.1 500", "900 internal"},
        {exchange("not http\r\n\r\n"), "HTTP/1.1 400", "200 malformed_request"},
    };
    for (const auto &[answer, status, code] : cases) {
        EXPECT_THAT(answer, StartsWith(status)) << code;
        EXPECT_THAT(answer, HasSubstr("X-Result-Code: " + code + "\r\n"));
        EXPECT_THAT(answer, HasSubstr("\"run_state\":")) << answer;
    }
}

// Guards against a request that is never answered because its handler never calls its responder.
TEST_F(ShortHandlerTest, answersWhenTheHandlerTimesOut)
{
    const auto answer = call("GET", "/admin/silent");
    EXPECT_THAT(answer, StartsWith("HTTP/1.1 500"));
    EXPECT_THAT(answer, HasSubstr("X-Result-Code: 900 internal\r\n"));
}

// Guards against memory that grows with trailers or chunk extensions, and against bytes with which Beast's parser ends the process.
TEST_F(ShortReadTest, refusesChunkedBodiesWithoutEnd)
{
    const std::string head = "POST /admin/explain HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string block(20'000, 'a');
    for (const auto &body : {"0\r\na: " + block, "1;a=" + block, std::string(20'000, '0'), std::string("65\r\n")}) {
        EXPECT_THAT(exchange(head + body), StartsWith("HTTP/1.1 413")) << body.substr(0, 10);
    }
    EXPECT_EQ(exchange(head + "0\r\n\r"), "");
    EXPECT_THAT(call("GET", "/admin/explain?subject=one"), StartsWith("HTTP/1.1 200"));
}

// Guards against connections that count toward maxConnections for ever without sending a complete request.
TEST_F(ShortReadTest, closesConnectionsThatSendNoCompleteRequest)
{
    EXPECT_EQ(exchange("GET /admin/expl"), "");
}

// Guards against a lost request or response when two requests are pipelined on one connection.
TEST_F(AdminServerTest, servesSeveralRequestsOnOneConnection)
{
    const std::string first = "GET /admin/explain?subject=one HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string second = "GET /admin/explain?subject=two HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    const auto answer = exchange(first + second);
    EXPECT_THAT(answer, HasSubstr("one"));
    EXPECT_THAT(answer, HasSubstr("two"));
}

// Guards against a start() that reports success although the address is in use or invalid.
TEST_F(AdminServerTest, reportsAnAddressInUse)
{
    AdminServer other(context_.get_executor());
    EXPECT_TRUE(other.start(endpoint_));
    EXPECT_TRUE(other.start({"not an address", 1}));
}

}
