#include "daemon/local_http.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>

namespace carawaypoint
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace
{

constexpr std::chrono::seconds HangGuard{30};

}

LocalHttpAnswer
callHttp(const Endpoint &server, std::string_view method, std::string_view target, std::string_view body, const std::map<std::string, std::string> &headers)
{
    http::request<http::string_body> request{http::string_to_verb(method), target, 11};
    request.set(http::field::host, server.toString());
    request.set(http::field::connection, "close");
    for (const auto &[name, value] : headers) {
        request.set(name, value);
    }
    request.body() = body;
    request.prepare_payload();

    LocalHttpAnswer answer;
    boost::asio::io_context context(1);
    beast::tcp_stream stream(context);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    stream.expires_after(HangGuard);
    stream.async_connect({boost::asio::ip::make_address(server.address), server.port}, [&](beast::error_code connectError) {
        if (connectError) {
            return;
        }
        http::async_write(stream, request, [&](beast::error_code writeError, std::size_t) {
            if (writeError) {
                return;
            }
            http::async_read(stream, buffer, parser, [&](beast::error_code readError, std::size_t) {
                if (readError) {
                    return;
                }
                answer.status = parser.get().result_int();
                answer.body = parser.get().body();
                for (const auto &field : parser.get()) {
                    std::string name(field.name_string());
                    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
                    answer.headers[name] = std::string(field.value());
                }
            });
        });
    });
    context.run();
    return answer;
}

}
