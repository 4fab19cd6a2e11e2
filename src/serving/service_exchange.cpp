#include "serving/service_exchange.h"

#include "core/response_reader.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <array>

namespace carawaypoint
{

namespace http = boost::beast::http;

namespace
{

using Parser = http::response_parser<http::string_body>;

http::request<http::string_body> makeMessage(const Endpoint &server, const ServiceRequest &request)
{
    http::request<http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.target);
    for (const auto &[name, value] : request.headers) {
        message.insert(name, value);
    }
    message.set(http::field::host, server.toString());
    message.set("X-Request-Id", request.id.str());
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

void readHeaders(const Parser &parser, ServiceAnswer &answer)
{
    for (const auto &field : parser.get()) {
        const std::string name(field.name_string());
        if (boost::beast::iequals(name, "Content-Type")) {
            answer.contentType = std::string(field.value());
        } else if (!isHopByHopHeader(name)) {
            answer.headers.emplace_back(name, std::string(field.value()));
        }
    }
    answer.status = parser.get().result_int();
    const bool isDraining = parser.get()["X-Draining"] == "1";
    answer.isLeaving = isDraining || !parser.get().keep_alive();
    if (isDraining && answer.status == 503) {
        answer.end = ServiceAnswer::End::RefusedBeforeRun;
    }
}

}

bool isHopByHopHeader(std::string_view name)
{
    constexpr std::array<std::string_view, 12> Names{
        "Connection", "Keep-Alive",     "Proxy-Authenticate", "Proxy-Authorization", "TE",         "Trailer", "Transfer-Encoding",
        "Upgrade",    "Content-Length", "X-Request-Id",       "X-Result-Code",       "X-Run-State"};
    return std::any_of(Names.begin(), Names.end(), [name](std::string_view hop) { return boost::beast::iequals(name, hop); });
}

asio::awaitable<ServiceAnswer> exchangeWithService(TrafficLoop &loop, Endpoint server, UpstreamConnection upstream, const ServiceRequest &request)
{
    ServiceAnswer answer;
    auto &connection = *upstream.connection;
    const auto message = makeMessage(server, request);
    Parser parser;
    parser.body_limit(loop.context.settings.maxAnswerBytes);
    parser.skip(request.method == "HEAD");
    connection.limit(request.timeout > Duration::zero() ? request.timeout : loop.context.settings.serviceTimeout);
    auto [error, size] = co_await http::async_write(connection.socket(), message, UseResult);
    if (!error) {
        error = co_await readResponse(connection.socket(), connection.buffer(), parser);
    }
    answer.hasStarted = parser.got_some();
    // The parser reports a body over the limit before its head was checked.
    if (parser.is_header_done() && checkFinalResponseHead(parser.get())) {
        answer.end = ServiceAnswer::End::Malformed;
        connection.close();
        co_return answer;
    }
    if (parser.is_header_done()) {
        readHeaders(parser, answer);
    }
    if (error) {
        const auto failure = connection.isTimedOut() ? ServiceAnswer::End::TimedOut : ServiceAnswer::End::ConnectionLost;
        answer.end = error == http::error::body_limit ? ServiceAnswer::End::TooLarge : failure;
        connection.close();
        co_return answer;
    }
    if (answer.end != ServiceAnswer::End::RefusedBeforeRun) {
        answer.end = ServiceAnswer::End::Answered;
    }
    answer.body = std::move(parser.get().body());
    if (parser.get().keep_alive() && !answer.isLeaving) {
        loop.pool.release(server, std::move(upstream));
    } else {
        connection.close();
    }
    co_return answer;
}

}
