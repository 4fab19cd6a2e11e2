#include "cli/admin_client.h"

#include "core/response_reader.h"
#include "core/result_code.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <cctype>
#include <utility>

namespace carawaypoint
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

/// Largest answer. It contains the status of a fleet, or a configuration of a megabyte whose size JSON escapes can double.
constexpr std::uint64_t MaxAnswerBytes = 16'000'000;
constexpr Duration ConnectTimeout = seconds(3);

/// Sends one request over a separate connection. Beast's timeouts apply to asynchronous operations only, so the operations
/// are asynchronous on a local io_context.
class AdminExchange
{
public:
    explicit AdminExchange(Duration timeout)
        : stream_(context_)
        , timeout_(timeout)
    {
    }

    AdminAnswer run(const Endpoint &daemon, std::string_view method, std::string_view target, std::string_view body)
    {
        AdminAnswer answer;
        answer.daemon = daemon;
        beast::error_code error;
        const auto address = asio::ip::make_address(daemon.address, error);
        if (!error) {
            stream_.expires_after(ConnectTimeout);
            stream_.async_connect({address, daemon.port}, [&](beast::error_code result) { error = result; });
            context_.run();
        }
        if (error) {
            answer.error = error;
            return answer;
        }
        http::request<http::string_body> request(http::string_to_verb(std::string(method)), std::string(target), 11);
        request.set(http::field::host, daemon.toString());
        request.set(http::field::connection, "close");
        request.set(http::field::content_type, "application/json");
        request.body() = body;
        request.prepare_payload();
        answer.wasSent = true;
        answer.error = exchange(request);
        answer.status = parser_.get().result_int();
        answer.body = std::move(parser_.get().body());
        return answer;
    }

private:
    beast::error_code exchange(const http::request<http::string_body> &request)
    {
        beast::error_code error;
        parser_.body_limit(MaxAnswerBytes);
        stream_.expires_after(timeout_);
        // A daemon that refuses a body answers before it has read all of it, so an answer can follow a failed write.
        const auto writeAndRead = [&]() -> asio::awaitable<void> {
            co_await http::async_write(stream_, request, UseResult);
            error = co_await readResponse(stream_, buffer_, parser_);
        };
        asio::co_spawn(context_, writeAndRead, asio::detached);
        context_.restart();
        context_.run();
        return error;
    }

    asio::io_context context_{1};
    beast::tcp_stream stream_;
    Duration timeout_;
    beast::flat_buffer buffer_;
    http::response_parser<http::string_body> parser_;
};

}

AdminClient::AdminClient(std::vector<Endpoint> daemons, Duration timeout)
    : daemons_(std::move(daemons))
    , timeout_(timeout)
{
}

AdminAnswer AdminClient::get(std::string_view target) const
{
    AdminAnswer answer;
    answer.error = make_error_code(ResultCode::PeerUnavailable);
    for (const auto &daemon : daemons_) {
        auto next = call(daemon, "GET", target, {});
        // An error answer contains the reason of the failure, so a later connection error does not replace it.
        if (!next.error || answer.error) {
            answer = std::move(next);
        }
        if (!answer.error && answer.status < 500) {
            break;
        }
    }
    return answer;
}

AdminAnswer AdminClient::post(std::string_view target, std::string_view body) const
{
    AdminAnswer answer;
    answer.error = make_error_code(ResultCode::PeerUnavailable);
    for (const auto &daemon : daemons_) {
        answer = call(daemon, "POST", target, body);
        if (answer.wasSent) {
            break;
        }
    }
    return answer;
}

AdminAnswer AdminClient::call(const Endpoint &daemon, std::string_view method, std::string_view target, std::string_view body) const
{
    return AdminExchange(timeout_).run(daemon, method, target, body);
}

std::string encodeQueryValue(std::string_view text)
{
    static constexpr char Digits[] = "0123456789ABCDEF";
    std::string result;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || byte == '-' || byte == '_' || byte == '.' || byte == '~') {
            result += character;
            continue;
        }
        result += '%';
        result += Digits[byte >> 4U];
        result += Digits[byte & 15U];
    }
    return result;
}

}
