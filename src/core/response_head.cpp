#include "core/response_head.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <iterator>
#include <string_view>

namespace carawaypoint
{

namespace http = boost::beast::http;

namespace
{

constexpr unsigned MinStatus = 100;
constexpr unsigned MinFinalStatus = 200;
constexpr unsigned MaxStatus = 599;

bool isTokenCharacter(char character)
{
    static constexpr std::string_view Symbols = "!#$%&'*+-.^_`|~";
    const bool isDigit = character >= '0' && character <= '9';
    const bool isLetter = (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z');
    return isDigit || isLetter || Symbols.find(character) != std::string_view::npos;
}

bool isControl(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return (byte < 0x20 && character != '\t') || byte == 0x7f;
}

bool isToken(std::string_view name)
{
    return !name.empty() && std::all_of(name.begin(), name.end(), isTokenCharacter);
}

bool hasControl(std::string_view text)
{
    return std::any_of(text.begin(), text.end(), isControl);
}

std::ptrdiff_t fieldCount(const http::fields &fields, http::field name)
{
    const auto range = fields.equal_range(name);
    return std::distance(range.first, range.second);
}

}

bool hasKnownTransferEncoding(const http::fields &fields)
{
    const auto count = fieldCount(fields, http::field::transfer_encoding);
    return count == 0 || (count == 1 && boost::beast::iequals(fields[http::field::transfer_encoding], "chunked"));
}

boost::system::error_code checkResponseHead(const http::response_header<> &head)
{
    if (head.result_int() < MinStatus || head.result_int() > MaxStatus) {
        return http::error::bad_status;
    }
    if (hasControl(head.reason())) {
        return http::error::bad_reason;
    }
    for (const auto &field : head) {
        if (!isToken(field.name_string())) {
            return http::error::bad_field;
        }
        if (hasControl(field.value())) {
            return http::error::bad_value;
        }
    }
    if (!hasKnownTransferEncoding(head)) {
        return http::error::bad_transfer_encoding;
    }
    return fieldCount(head, http::field::content_length) > 1 ? http::error::bad_content_length : boost::system::error_code();
}

boost::system::error_code checkFinalResponseHead(const http::response_header<> &head)
{
    return head.result_int() < MinFinalStatus ? http::error::bad_status : checkResponseHead(head);
}

}
