#include "core/json_splitter.h"

#include "core/json_reader.h"

#include <boost/locale/utf.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <iterator>
#include <utility>

namespace carawaypoint
{

namespace
{

constexpr std::string_view Blanks = " \t\r\n";
constexpr std::string_view ScalarEnds = ",:]} \t\r\n";

/// Takes the tokens of a JSON text from its start.
class JsonScanner
{
public:
    explicit JsonScanner(std::string_view text)
        : rest_(text)
    {
    }

    /// Takes @p token if it comes next.
    bool take(char token)
    {
        skipBlanks();
        if (rest_.empty() || rest_.front() != token) {
            return false;
        }
        rest_.remove_prefix(1);
        return true;
    }

    bool isAtEnd()
    {
        skipBlanks();
        return rest_.empty();
    }

    /// Takes a value of any type; empty when none comes next.
    std::string_view takeValue()
    {
        skipBlanks();
        if (rest_.empty()) {
            return {};
        }
        switch (rest_.front()) {
        case '"':
            return takePrefix(stringLength(0));
        case '[':
        case '{':
            return takePrefix(nestedLength());
        default:
            return takePrefix(std::min(rest_.find_first_of(ScalarEnds), rest_.size()));
        }
    }

    /// Takes a string with its quotes; empty when none comes next.
    std::string_view takeString()
    {
        skipBlanks();
        return rest_.starts_with('"') ? takeValue() : std::string_view();
    }

private:
    void skipBlanks()
    {
        rest_.remove_prefix(std::min(rest_.find_first_not_of(Blanks), rest_.size()));
    }

    std::string_view takePrefix(std::size_t length)
    {
        const auto prefix = rest_.substr(0, length);
        rest_.remove_prefix(length);
        return prefix;
    }

    /// Length of the string whose opening quote is at @p start, quotes included; 0 when it does not end.
    std::size_t stringLength(std::size_t start) const
    {
        for (auto position = start + 1; position < rest_.size(); ++position) {
            if (rest_[position] == '"') {
                return position + 1 - start;
            }
            position += rest_[position] == '\\' ? 1 : 0;
        }
        return 0;
    }

    /// Length of the array or object that comes next; 0 when it does not end. Whether its brackets match is left to the parser.
    std::size_t nestedLength() const
    {
        std::size_t depth = 0;
        for (std::size_t position = 0; position < rest_.size(); ++position) {
            switch (rest_[position]) {
            case '"': {
                const auto length = stringLength(position);
                if (length == 0) {
                    return 0;
                }
                position += length - 1;
                break;
            }
            case '[':
            case '{':
                ++depth;
                break;
            case ']':
            case '}':
                if (--depth == 0) {
                    return position + 1;
                }
                break;
            default:
                break;
            }
        }
        return 0;
    }

    std::string_view rest_;
};

std::optional<std::uint32_t> parseCodeUnit(std::string_view escape)
{
    constexpr std::size_t HexDigits = 4;
    std::uint32_t unit = 0;
    const auto digits = escape.substr(0, HexDigits);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), unit, 16);
    const bool isWhole = digits.size() == HexDigits && error == std::errc() && end == digits.data() + HexDigits;
    return isWhole ? std::optional(unit) : std::nullopt;
}

/// Also for surrogates, which are no characters.
void appendUtf8(std::string &target, std::uint32_t codePoint)
{
    boost::locale::utf::utf_traits<char>::encode(codePoint, std::back_inserter(target));
}

/// Decodes the escape at the start of @p text, after the backslash, and removes it; false when it is unknown.
bool decodeEscape(std::string_view &text, std::string &target)
{
    static constexpr std::string_view Escapes = "\"\\/bfnrt";
    static constexpr std::string_view Characters = "\"\\/\b\f\n\r\t";
    constexpr std::size_t UnicodeEscapeLength = 5; // without the backslash
    if (text.empty()) {
        return false;
    }
    if (const auto index = Escapes.find(text.front()); index != std::string_view::npos) {
        target += Characters[index];
        text.remove_prefix(1);
        return true;
    }
    const auto unit = text.front() == 'u' ? parseCodeUnit(text.substr(1)) : std::nullopt;
    if (!unit) {
        return false;
    }
    text.remove_prefix(UnicodeEscapeLength);
    const bool isHighSurrogate = (*unit & 0xFC00U) == 0xD800U;
    const auto second = isHighSurrogate && text.starts_with("\\u") ? parseCodeUnit(text.substr(2)) : std::nullopt;
    if (second && (*second & 0xFC00U) == 0xDC00U) {
        appendUtf8(target, 0x10000U + ((*unit & 0x3FFU) << 10U) + (*second & 0x3FFU));
        text.remove_prefix(1 + UnicodeEscapeLength);
    } else {
        appendUtf8(target, *unit);
    }
    return true;
}

}

std::optional<std::vector<std::string_view>> splitJsonArray(std::string_view text)
{
    JsonScanner scanner(text);
    if (!scanner.take('[')) {
        return std::nullopt;
    }
    std::vector<std::string_view> elements;
    bool isClosed = scanner.take(']');
    while (!isClosed) {
        elements.push_back(scanner.takeValue());
        isClosed = scanner.take(']');
        if (elements.back().empty() || (!isClosed && !scanner.take(','))) {
            return std::nullopt;
        }
    }
    return scanner.isAtEnd() ? std::optional(std::move(elements)) : std::nullopt;
}

std::optional<std::vector<JsonMember>> splitJsonObject(std::string_view text)
{
    JsonScanner scanner(text);
    if (!scanner.take('{')) {
        return std::nullopt;
    }
    std::vector<JsonMember> members;
    bool isClosed = scanner.take('}');
    while (!isClosed) {
        const auto key = scanner.takeString();
        const bool hasColon = scanner.take(':');
        const auto value = scanner.takeValue();
        isClosed = scanner.take('}');
        if (key.empty() || !hasColon || value.empty() || (!isClosed && !scanner.take(','))) {
            return std::nullopt;
        }
        members.push_back({key.substr(1, key.size() - 2), value});
    }
    return scanner.isAtEnd() ? std::optional(std::move(members)) : std::nullopt;
}

std::string_view findJsonMember(std::span<const JsonMember> members, std::string_view key)
{
    const auto found = std::find_if(members.rbegin(), members.rend(), [key](const JsonMember &member) { return member.key == key; });
    return found == members.rend() ? std::string_view() : found->value;
}

std::string_view findJsonMember(std::string_view text, std::string_view key)
{
    const auto members = splitJsonObject(text);
    return members ? findJsonMember(*members, key) : std::string_view();
}

std::optional<std::string> decodeJsonString(std::string_view text)
{
    if (text.size() < 2 || text.front() != '"' || text.back() != '"') {
        return std::nullopt;
    }
    text = text.substr(1, text.size() - 2);
    std::string result;
    while (!text.empty()) {
        const char next = text.front();
        text.remove_prefix(1);
        if (next != '\\') {
            result += next;
        } else if (!decodeEscape(text, result)) {
            return std::nullopt;
        }
    }
    return result;
}

std::optional<std::uint64_t> decodeJsonNumber(std::string_view text)
{
    const auto value = parseJson(text);
    boost::json::error_code error;
    const auto number = value ? value->to_number<std::uint64_t>(error) : 0;
    return value && !error ? std::optional(number) : std::nullopt;
}

}
