#include "soak/callers.h"

#include "core/connection.h"
#include "platform/wire_names.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace carawaypoint::soak
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using namespace std::chrono_literals;

constexpr auto Token = asio::as_tuple(asio::use_awaitable);
constexpr auto Deadline = 4000ms;
/// A caller closes its connection when a gateway keeps a request beyond its deadline.
constexpr auto CallTimeout = 5000ms;

}

Callers::Callers(asio::any_io_executor executor, ModelServers &servers, Violations &violations, std::uint64_t seed)
    : executor_(std::move(executor))
    , servers_(servers)
    , violations_(violations)
    , random_(seed)
{
}

void Callers::start(unsigned count)
{
    for (unsigned number = 0; number < count; ++number) {
        asio::co_spawn(
            executor_, [this, number] { return runCaller(number); }, asio::detached);
    }
}

Callers::Counts Callers::takeCounts()
{
    return std::exchange(counts_, {});
}

asio::awaitable<void> Callers::runCaller(std::uint64_t number)
{
    while (!isStopped_) {
        asio::ip::tcp::socket socket(executor_);
        const auto &gateway = gateways_[(number + random_()) % gateways_.size()];
        const auto [error] = co_await socket.async_connect(gateway, Token);
        if (error) {
            co_await standins::sleepFor(100ms);
            continue;
        }
        bool isKeptAlive = true;
        // A request on a connection that the gateway has closed would never be read.
        for (unsigned round = 0; isKeptAlive && round < 20 && !isStopped_ && !isClosedByPeer(socket); ++round) {
            const auto kind = static_cast<Kind>(random_() % 3);
            const std::string id = "q" + std::to_string(++nextId_);
            isKeptAlive = co_await sendRequest(socket, kind, id);
            co_await standins::sleepFor(std::chrono::milliseconds(20 + random_() % 150));
        }
    }
}

asio::awaitable<bool> Callers::sendRequest(asio::ip::tcp::socket &socket, Kind kind, const std::string &id)
{
    const auto &names = platformWireNames();
    http::request<http::string_body> request(http::verb::post, kind == Kind::Stream ? "/s/x" : kind == Kind::Read ? "/r/x" : "/b/x", 11);
    request.set(http::field::host, "soak.example");
    request.set(names.attemptId, id);
    request.set(names.deadline, std::to_string(Deadline.count()));
    request.set(names.model, "small");
    request.set(names.tokenUsage, "100,60");
    request.set(http::field::authorization, "Token soak-key");
    request.body() = "body of " + id;
    request.prepare_payload();
    if (kind == Kind::Booking) {
        bookingIds_.push_back(id);
    }
    ++counts_.sent;
    const bool mustNotInterrupt = expectsNoInterruptions_;
    beast::tcp_stream stream(std::move(socket));
    stream.expires_after(CallTimeout);
    const auto [writeError, written] = co_await http::async_write(stream, request, Token);
    if (writeError) {
        ++counts_.failed;
        co_return false;
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    const auto [error, bytes] = co_await http::async_read(stream, buffer, parser, Token);
    const bool hasHeader = parser.is_header_done();
    if (!error) {
        const std::string signature(parser.get()[names.signature]);
        checkAnswer(kind, id, parser.get().result_int(), signature, parser.get().body());
    } else {
        ++counts_.failed;
        // Without a header and a run, the gateway may have closed the idle connection before the request reached it.
        if (mustNotInterrupt && expectsNoInterruptions_ && (hasHeader || servers_.runCount(id) > 0)) {
            violations_.add("a planned stop cuts nothing", id + " ended with " + error.message());
        }
    }
    const bool isKeptAlive = !error && parser.keep_alive();
    stream.expires_never();
    socket = stream.release_socket();
    co_return isKeptAlive;
}

void Callers::checkAnswer(Kind kind, const std::string &id, unsigned status, const std::string &signature, const std::string &body)
{
    if (status == 429 || status == 503) {
        ++counts_.refused;
        if (kind != Kind::Stream) {
            refusedIds_.push_back(id);
        }
        return;
    }
    if (status != 200) {
        ++counts_.failed;
        return;
    }
    ++counts_.served;
    if (signature != "s-" + id) {
        violations_.add("answers reach their own caller", id + " has the signature " + signature);
    }
    if (kind == Kind::Stream) {
        checkStream(id, body);
        return;
    }
    if (body != "answer to " + id) {
        violations_.add("answers are whole", id + " got: " + body);
    }
    if (kind == Kind::Read && !readService_.empty() && !servers_.servicesThatRan(id).contains(readService_)) {
        violations_.add("configuration is in force in time", id + " was not run by " + readService_);
    }
}

void Callers::checkStream(const std::string &id, const std::string &body)
{
    std::string expected;
    for (unsigned number = 1; number <= ModelServers::EventsPerStream; ++number) {
        expected += "id: " + std::to_string(number) + "\ndata: " + id + " piece " + std::to_string(number) + "\n\n";
    }
    if (body != expected) {
        violations_.add("streams are whole", id + " got " + std::to_string(body.size()) + " of " + std::to_string(expected.size()) + " bytes as complete");
    }
}

void Callers::checkRuns()
{
    for (const auto &id : bookingIds_) {
        if (servers_.runCount(id) > 1) {
            violations_.add("at most once", id + " ran " + std::to_string(servers_.runCount(id)) + " times");
        }
    }
    for (const auto &id : refusedIds_) {
        if (servers_.runCount(id) > 0) {
            violations_.add("not-run is true", id + " was refused as not run and ran");
        }
    }
}

}
