#include "load/load_client.h"

#include "core/response_reader.h"
#include "load/reference_answer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

#include <optional>
#include <tuple>

namespace carawaypoint
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
namespace json = boost::json;
using asio::ip::tcp;

namespace
{

TimePoint steadyNow()
{
    return SteadyClock().now();
}

std::string codeName(std::string_view header)
{
    const auto space = header.find(' ');
    return std::string(space == std::string_view::npos ? header : header.substr(space + 1));
}

/// Compares the server-sent events of an answer with the expected tokens as they arrive.
class StreamChecker
{
public:
    StreamChecker(const PlannedRequest &request, LoadResult &result, TimePoint planned)
        : expected_(request.prompt, request.maxTokens)
        , result_(result)
        , planned_(planned)
    {
    }

    /// Checks the complete events in @p text and removes them.
    void consume(std::string &text)
    {
        std::size_t start = 0;
        for (auto end = text.find("\n\n"); end != std::string::npos; end = text.find("\n\n", start)) {
            checkEvent(std::string_view(text).substr(start, end - start));
            start = end + 2;
        }
        text.erase(0, start);
    }

    void finish(bool isStreamEnded)
    {
        result_.isComplete = isStreamEnded && isDone_ && !result_.hasWrongContent && result_.tokens == expected_.length();
    }

private:
    void checkEvent(std::string_view event)
    {
        if (event.starts_with("event: result")) {
            readResult(event.substr(event.find('\n') + 1));
        } else if (event == "data: [DONE]") {
            isDone_ = true;
        } else if (event.starts_with("data: ")) {
            checkToken(event.substr(6));
        }
    }

    void readResult(std::string_view line)
    {
        boost::system::error_code error;
        const auto value = json::parse(line.substr(std::min<std::size_t>(6, line.size())), error);
        if (!error && value.is_object() && value.as_object().contains("name")) {
            result_.resultCode = std::string(value.as_object().at("name").as_string());
            result_.runState = std::string(value.as_object().at("run_state").as_string());
        }
    }

    void checkToken(std::string_view data)
    {
        boost::system::error_code error;
        const auto value = json::parse(data, error);
        const auto *content = error ? nullptr : value.find_pointer("/choices/0/delta/content", error);
        if (content == nullptr || !content->is_string()) {
            return;
        }
        if (std::string_view(content->as_string()) != expected_.token(result_.tokens)) {
            result_.hasWrongContent = true;
        }
        const auto now = steadyNow();
        if (result_.tokens == 0) {
            result_.firstTokenLatency = now - planned_;
        } else {
            result_.longestGap = std::max(result_.longestGap, now - lastToken_);
        }
        lastToken_ = now;
        ++result_.tokens;
    }

    ReferenceAnswer expected_;
    LoadResult &result_;
    TimePoint planned_;
    TimePoint lastToken_{};
    bool isDone_ = false;
};

http::request<http::string_body> makeRequest(const Endpoint &entry, const std::string &model, const PlannedRequest &planned)
{
    http::request<http::string_body> request{http::verb::post, "/v1/chat/completions", 11};
    request.set(http::field::host, entry.toString());
    request.set(http::field::content_type, "application/json");
    request.set("X-Customer", planned.customer.str());
    const json::object message{{"role", "user"}, {"content", planned.prompt}};
    const json::object body{{"model", model}, {"messages", json::array{message}}, {"max_tokens", planned.maxTokens}, {"stream", true}};
    request.body() = json::serialize(body);
    request.prepare_payload();
    return request;
}

}

LoadClient::LoadClient(asio::io_context &context, Endpoint entry, std::string model, PlannedRequest request)
    : context_(context)
    , entry_(std::move(entry))
    , model_(std::move(model))
    , request_(std::move(request))
{
}

/// State of one request and its answer, shared by the coroutine and the completion handler.
struct LoadClient::Exchange {
    LoadResult result;

    asio::awaitable<void> run(const LoadClient &client, TimePoint planned, Duration timeout)
    {
        beast::tcp_stream stream(co_await asio::this_coro::executor);
        stream.expires_after(timeout);
        const tcp::endpoint endpoint{asio::ip::make_address(client.entry_.address), client.entry_.port};
        co_await stream.async_connect(endpoint, asio::use_awaitable);
        const auto request = makeRequest(client.entry_, client.model_, client.request_);
        co_await http::async_write(stream, request, asio::use_awaitable);

        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        if (const auto error = co_await readResponseHead(stream, buffer, parser)) {
            throw boost::system::system_error(error);
        }
        if (const auto error = co_await receiveChunkedBegin(stream, buffer, parser)) {
            throw boost::system::system_error(error);
        }
        result.resultCode = codeName(parser.get()["X-Result-Code"]);
        result.runState = std::string(parser.get()["X-Run-State"]);
        const bool isStream = parser.get().result() == http::status::ok;
        StreamChecker checker(client.request_, result, planned);
        while (!parser.is_done()) {
            co_await http::async_read_some(stream, buffer, parser, asio::use_awaitable);
            if (isStream) {
                checker.consume(parser.get().body());
            }
        }
        checker.finish(isStream);
    }
};

void LoadClient::run(TimePoint planned, Duration timeout, Handler handler)
{
    auto exchange = std::make_shared<Exchange>();
    exchange->result.customer = request_.customer.str();
    exchange->result.isLong = request_.isLong;
    auto self = shared_from_this();
    asio::co_spawn(
        context_, [self, exchange, planned, timeout] { return exchange->run(*self, planned, timeout); },
        [self, exchange, planned, handler = std::move(handler)](const std::exception_ptr &error) {
            auto &result = exchange->result;
            result.totalLatency = steadyNow() - planned;
            if (error && (result.resultCode.empty() || result.resultCode == "ok")) {
                result.resultCode = "connection";
                result.runState = "unknown";
            }
            handler(result);
        });
}

ServiceCallResult
callService(const Endpoint &entry, const std::string &path, const std::string &customer, const std::string &key, const std::string &body, Duration timeout)
{
    ServiceCallResult result;
    asio::io_context context(1);
    beast::tcp_stream stream(context);
    http::request<http::string_body> request{http::verb::post, path, 11};
    request.set(http::field::host, entry.toString());
    request.set("X-Customer", customer);
    request.set("Idempotency-Key", key);
    request.body() = body;
    request.prepare_payload();
    const auto exchange = [&]() -> asio::awaitable<void> {
        // Beast's tcp_stream applies its timeout to asynchronous operations only.
        stream.expires_after(timeout);
        auto [error] = co_await stream.async_connect(tcp::endpoint(asio::ip::make_address(entry.address), entry.port), UseResult);
        if (!error) {
            std::tie(error, std::ignore) = co_await http::async_write(stream, request, UseResult);
        }
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        if (!error) {
            error = co_await readResponse(stream, buffer, parser);
        }
        if (!error) {
            result.status = parser.get().result_int();
            result.resultCode = codeName(parser.get()["X-Result-Code"]);
            result.runState = std::string(parser.get()["X-Run-State"]);
        }
    };
    asio::co_spawn(context, exchange, asio::detached);
    context.run();
    return result;
}

}
