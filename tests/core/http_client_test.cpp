#include "core/http_client.h"
#include "support/scripted_http_server.h"

#include <gtest/gtest.h>

namespace carawaypoint
{
namespace
{

struct HttpClientTest : testing::Test {
    void send(HttpClient &client, HttpRequest request)
    {
        client.send(server.endpoint(), std::move(request), [this](std::error_code error, const HttpAnswer &answer) {
            errors.push_back(error);
            statuses.push_back(answer.status);
        });
    }

    /// Runs until @p count handlers were called, and 20 ms longer to detect a handler that is called twice.
    void runUntil(std::size_t count)
    {
        while (errors.size() < count && context.run_one_for(seconds(10)) > 0) {
        }
        context.run_for(milliseconds(20));
        EXPECT_EQ(errors.size(), count);
    }

    boost::asio::io_context context;
    std::string script = ScriptedHttpServer::answer(200, "ok");
    ScriptedHttpServer server{context, [this](const auto &) {
                                  return script;
                              }};
    std::vector<std::error_code> errors;
    std::vector<unsigned> statuses;
};

// Guards against opening a new connection for each request, which doubles the cost of a call.
TEST_F(HttpClientTest, reusesConnections)
{
    const auto client = HttpClient::Builder(context.get_executor()).maxConnections(2).build();
    for (std::size_t round = 1; round <= 5; ++round) {
        send(*client, {});
        runUntil(round);
        EXPECT_FALSE(errors.back());
    }
    EXPECT_EQ(server.connections, 1);
}

// Guards against a call that times out on one silent connection after the other: idle connections go silent together, and a configuration was
// not seen for more than three seconds.
TEST_F(HttpClientTest, usesNoIdleConnectionAfterOneHasTimedOut)
{
    const auto client = HttpClient::Builder(context.get_executor()).maxConnections(3).build();
    send(*client, {});
    send(*client, {});
    send(*client, {});
    runUntil(3);
    ASSERT_EQ(server.connections, 3);
    script = "";
    HttpRequest silent;
    silent.timeout = milliseconds(50);
    send(*client, silent);
    runUntil(4);
    ASSERT_EQ(errors.back(), std::errc::timed_out);
    send(*client, silent);
    runUntil(5);
    EXPECT_EQ(server.connections, 4) << "a new connection";
}

// Guards against bytes that are no answer and are taken for one, as that of a backend server to an order or a probe.
TEST_F(HttpClientTest, reportsMalformedHeadsAsErrors)
{
    const auto client = HttpClient::Builder(context.get_executor()).build();
    std::size_t count = 0;
    for (const std::string line : {"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 100 Continue", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK",
                                   "HTTP/1.1 200 OK\r\nX Name: a", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip"}) {
        script = line + "\r\nContent-Length: 0\r\n\r\n";
        send(*client, {});
        runUntil(++count);
        EXPECT_EQ(errors.back(), std::errc::bad_message) << line;
        EXPECT_EQ(statuses.back(), 0U) << line;
    }
    EXPECT_EQ(server.connections, static_cast<int>(count));
}

// Guards against an assertion in Beast's parser that ends the process: an empty chunked body without its end.
TEST_F(HttpClientTest, takesNoPartOfAnEmptyChunkedBodyForTheWhole)
{
    const auto client = HttpClient::Builder(context.get_executor()).build();
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::size_t count = 0;
    for (const std::string body : {"", "0", "0\r\n", "0\r\n\r"}) {
        script = head + body;
        HttpRequest request;
        request.timeout = milliseconds(50);
        send(*client, request);
        runUntil(++count);
        EXPECT_EQ(errors.back(), std::errc::timed_out) << body.size();
    }
    script = head + "0\r\n\r\n";
    send(*client, {});
    runUntil(++count);
    EXPECT_FALSE(errors.back());
}

// Guards against an unlimited number of connections and of waiting requests.
TEST_F(HttpClientTest, limitsConnectionsAndWaitingRequests)
{
    const auto client = HttpClient::Builder(context.get_executor()).maxConnections(2).maxWaiting(3).build();
    for (int index = 0; index < 7; ++index) {
        send(*client, {});
    }
    runUntil(7);
    EXPECT_EQ(std::count(errors.begin(), errors.end(), std::make_error_code(std::errc::no_buffer_space)), 2);
    EXPECT_EQ(std::count(errors.begin(), errors.end(), std::error_code()), 5);
    EXPECT_LE(server.connections, 2);
}

// Guards against requests that wait forever for a server that does not respond, in the queue or on a connection.
TEST_F(HttpClientTest, timesOutWithoutResponse)
{
    script.clear();
    const auto client = HttpClient::Builder(context.get_executor()).maxConnections(1).build();
    HttpRequest request;
    request.timeout = milliseconds(100);
    send(*client, request);
    send(*client, request);
    runUntil(2);
    EXPECT_EQ(errors, std::vector<std::error_code>(2, std::make_error_code(std::errc::timed_out)));
}

// Guards against repeating a write, which the server may have executed, after an idle connection was closed.
TEST_F(HttpClientTest, repeatsOnlyReadsOnLostIdleConnections)
{
    const auto client = HttpClient::Builder(context.get_executor()).build();
    for (const auto &[method, sent] : {std::pair<std::string, std::size_t>{"GET", 2}, {"PUT", 1}}) {
        errors.clear();
        script = ScriptedHttpServer::answer(200, "ok");
        send(*client, {});
        runUntil(1);
        script = "close";
        server.requests.clear();
        HttpRequest request;
        request.method = method;
        send(*client, request);
        runUntil(2);
        EXPECT_EQ(errors.back(), std::make_error_code(std::errc::connection_reset));
        EXPECT_EQ(server.requests.size(), sent) << method;
    }
}

// Guards against handlers that are never called because the client was destroyed.
TEST_F(HttpClientTest, callsAllHandlersAfterDestruction)
{
    script.clear();
    auto client = HttpClient::Builder(context.get_executor()).maxConnections(1).build();
    send(*client, {});
    send(*client, {});
    context.run_for(milliseconds(50));
    client.reset();
    runUntil(2);
    EXPECT_EQ(errors, std::vector<std::error_code>(2, std::make_error_code(std::errc::connection_reset)));
}

// Guards against accepting an answer that is not HTTP, has an invalid length or exceeds the size limit.
TEST_F(HttpClientTest, refusesMalformedAnswers)
{
    const auto client = HttpClient::Builder(context.get_executor()).maxAnswerBytes(10).build();
    for (const std::string_view text :
         {"nonsense\r\n\r\n", "HTTP/1.1 200 X\r\nContent-Length: 11\r\n\r\n12345678901", "HTTP/1.1 200 X\r\nContent-Length: x\r\n\r\n"}) {
        errors.clear();
        script = text;
        send(*client, {});
        runUntil(1);
        EXPECT_EQ(errors.front(), std::make_error_code(std::errc::bad_message)) << text;
    }
}

TEST(PercentEncoded, keepsOnlyUnreservedCharacters)
{
    EXPECT_EQ(percentEncoded("a.b/c d%\xC3"), "a.b%2Fc%20d%25%C3");
}

}
}
