#include "gateway/http_fields.h"

#include <boost/asio/error.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/rfc7230.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace carawaypoint
{

namespace http = boost::beast::http;

bool isConnectionField(std::string_view name)
{
    static constexpr std::array<std::string_view, 10> Names{
        "connection", "keep-alive",        "proxy-connection", "proxy-authenticate", "proxy-authorization", "te",
        "trailer",    "transfer-encoding", "upgrade",          "content-length",
    };
    return std::any_of(Names.begin(), Names.end(), [name](std::string_view other) { return boost::beast::iequals(name, other); });
}

void copyEndToEndFields(const http::fields &from, http::fields &to)
{
    http::token_list connectionTokens(from[http::field::connection]);
    for (const auto &field : from) {
        const auto name = field.name_string();
        if (!isConnectionField(name) && !connectionTokens.exists(name)) {
            to.insert(field.name(), name, field.value());
        }
    }
}

double keepAliveSeconds(const http::fields &fields, double otherwise)
{
    const auto value = fields[http::field::keep_alive];
    constexpr std::string_view Key = "timeout=";
    const auto start = value.find(Key);
    if (start == std::string_view::npos) {
        return otherwise;
    }
    double seconds = otherwise;
    const auto number = value.substr(start + Key.size());
    std::from_chars(number.data(), number.data() + number.size(), seconds);
    return seconds;
}

std::string headerText(const http::fields &fields, unsigned status, std::string_view reason, bool isKept)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text += reason;
    text += "\r\n";
    for (const auto &field : fields) {
        text += field.name_string();
        text += ": ";
        text += field.value();
        text += "\r\n";
    }
    text += isKept ? "" : "Connection: close\r\n";
    return text;
}

std::string makeChunk(std::string_view bytes)
{
    std::array<char, 18> size{};
    const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
    std::string chunk(size.data(), end);
    chunk += "\r\n";
    chunk += bytes;
    chunk += "\r\n";
    return chunk;
}

bool isConnectionLost(const boost::system::error_code &error)
{
    const bool isEnd = error == http::error::end_of_stream || error == http::error::partial_message || error == boost::asio::error::eof;
    return isEnd || (error && error.category() == boost::asio::error::get_system_category());
}

bool impliesNotRun(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

}
