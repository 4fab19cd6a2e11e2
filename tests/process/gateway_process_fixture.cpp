#include "tests/process/gateway_process_fixture.h"

#include "core/connection.h"
#include "platform/wire_names.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <unistd.h>

namespace carawaypoint
{

namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;

namespace
{

constexpr std::chrono::milliseconds RetryInterval{250};
constexpr unsigned MaxAsks = 120;
constexpr auto AnswerTimeout = seconds(20);
constexpr std::string_view LargePath = "large";

json::object makeConfig(std::size_t maxHeaderBytes, std::size_t maxBodyBytes)
{
    const json::object route{
        {"name", "/r/"}, {"hostname", "test.example"}, {"path_prefix", "/r/"}, {"kind", "idempotent"}, {"timeout_ms", 20000}, {"target_latency_ms", 400},
        {"priority", 1}, {"service", "books"},         {"max_attempts", 2},    {"public", false},      {"resumable", false}};
    return {{"version", 1},
            {"routes", json::array{route}},
            {"services", json::array{json::object{{"name", "books"}, {"max_conns", 300}}}},
            {"limits",
             json::object{{"max_header_bytes", maxHeaderBytes}, {"max_body_bytes", maxBodyBytes}, {"header_timeout_ms", 3000}, {"idle_timeout_ms", 15000}}}};
}

}

tcp::endpoint GatewayProcessTest::endpointAt(unsigned host, std::uint16_t port) const
{
    return {asio::ip::make_address(addressPrefix_ + std::to_string(host)), port};
}

void GatewayProcessTest::SetUp()
{
    addressPrefix_ = "127." + std::to_string(20 + ::getpid() % 70) + "." + std::to_string(1 + ::getpid() / 70 % 250) + ".";
    std::string pattern = (std::filesystem::temp_directory_path() / "carawaypoint-process-XXXXXX").string();
    ASSERT_NE(::mkdtemp(pattern.data()), nullptr);
    directory_ = pattern;
    store_ = std::make_unique<soak::ObjectService>(io_.get_executor(), endpointAt(2, 9100), 1);
    server_ = std::make_shared<standins::HttpListener>(io_.get_executor(), endpointAt(3, 9200), [this](auto &exchange) { return serve(exchange); });
    publish();
    store_->start();
    server_->start();
    const auto settings = directory_ + "/gateway.ini";
    writeSettings(settings);
    const char *build = std::getenv("CARAWAYPOINT_BUILD");
    ASSERT_NE(build, nullptr) << "CARAWAYPOINT_BUILD has to name the build folder";
    gateway_ = std::make_unique<soak::GatewayProcess>(std::string(build) + "/carawaypoint", settings, directory_ + "/gateway.log");
    gateway_->start();
    usage_ = std::make_unique<ProcessUsage>(gateway_->processId(), callers().address().to_string());
    thread_ = std::thread([this] { io_.run(); });
    ASSERT_EQ(ask(), 200U) << "the gateway does not serve";
}

void GatewayProcessTest::TearDown()
{
    usage_.reset();
    gateway_.reset();
    io_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
    std::filesystem::remove_all(directory_);
}

void GatewayProcessTest::publish()
{
    store_->put("config", "main", makeConfig(MaxHeaderBytes, MaxBodyBytes));
    store_->put("servers", "server-1",
                json::object{{"service", "books"},
                             {"address", addressPrefix_ + "3:9200"},
                             {"zone", "a"},
                             {"version", "v1"},
                             {"slots", 64},
                             {"state", "ready"},
                             {"cold_ms", 0},
                             {"seq", 0},
                             {"born", 1}});
}

void GatewayProcessTest::writeSettings(const std::string &path) const
{
    const auto address = addressPrefix_ + "1";
    std::ofstream(path) << "[process]\nid = gateway-1\nzone = a\nmemory_mb = " << MemoryMb << "\nmax_descriptors = " << MaxDescriptors
                        << "\n[listen]\ncallers = " << address << ":8000\nreadiness = " << address << ":8001\nmetrics = " << address
                        << ":8002\npeer = " << address << ":8003\nchanges = " << address << ":8004\n[store]\naddress = " << addressPrefix_ << "2:9100\n";
}

asio::awaitable<void> GatewayProcessTest::serve(standins::HttpExchange &exchange)
{
    const auto &names = platformWireNames();
    const auto id = exchange.header(names.attemptId);
    const standins::Headers headers{{names.attemptId, id}, {names.signature, "s-" + id}};
    auto body = "read " + std::to_string(exchange.request().body().size());
    if (exchange.path().ends_with(LargePath)) {
        body.resize(LargeAnswerBytes, 'x');
    }
    co_await exchange.respond(200, std::move(body), headers);
}

std::string GatewayProcessTest::requestHead(std::string_view path)
{
    const auto &names = platformWireNames();
    return "POST " + std::string(path) + " HTTP/1.1\r\nHost: test.example\r\n" + names.attemptId + ": q" + std::to_string(++requestCount_) + "\r\n"
        + names.deadline + ": 20000\r\n";
}

unsigned GatewayProcessTest::exchange(const std::string &text, std::string &body) const
{
    asio::io_context io(1);
    unsigned status = 0;
    auto connection = std::make_shared<Connection>(tcp::socket(io));
    const auto run = [&]() -> asio::awaitable<void> {
        connection->limit(AnswerTimeout);
        const auto [connectError] = co_await connection->socket().async_connect(callers(), UseResult);
        if (!connectError) {
            // A gateway may refuse a request before it has read all of it.
            co_await asio::async_write(connection->socket(), asio::buffer(text), UseResult);
            http::response_parser<http::string_body> parser;
            parser.body_limit(boost::none);
            const auto [error, bytes] = co_await http::async_read(connection->socket(), connection->buffer(), parser, UseResult);
            status = error ? 0 : parser.get().result_int();
            body = parser.get().body();
        }
        connection->unlimit();
        connection->close();
    };
    asio::co_spawn(io, run(), asio::detached);
    io.run();
    return status;
}

/// Sends an ordinary request as a caller does, again after a refusal or a failure. Returns the status of the last answer.
unsigned GatewayProcessTest::ask()
{
    unsigned status = 0;
    for (unsigned asks = 0; status != 200 && asks < MaxAsks; ++asks) {
        std::string body;
        status = exchange(requestHead() + "Content-Length: 5\r\n\r\nhello", body);
        if (status != 200) {
            std::this_thread::sleep_for(RetryInterval);
        } else {
            EXPECT_EQ(body, "read 5");
        }
    }
    return status;
}

void GatewayProcessTest::expectOrdinaryService()
{
    EXPECT_EQ(ask(), 200U) << "an ordinary request is not answered";
    int status = 0;
    EXPECT_FALSE(gateway_->hasEnded(status)) << "the gateway has ended with status " << status;
    EXPECT_LE(usage_->peakBytes(), MemoryMb * 1024 * 1024);
    EXPECT_LE(usage_->peakDescriptors(), MaxDescriptors);
    std::cout << "peak usage: " << usage_->peakBytes() / 1024 / 1024 << " MB, unread " << usage_->peakUnreadBytes() / 1024 / 1024 << " MB, "
              << usage_->peakDescriptors() << " descriptors" << std::endl;
}

}
