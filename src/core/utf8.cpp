#include "core/utf8.h"

#include <boost/locale/utf.hpp>

namespace carawaypoint
{

namespace
{

/// Moves @p position behind the character there; false when its bytes are not well-formed.
bool takeCharacter(std::string_view::iterator &position, std::string_view::iterator end)
{
    return boost::locale::utf::is_valid_codepoint(boost::locale::utf::utf_traits<char>::decode(position, end));
}

}

bool isValidUtf8(std::string_view text)
{
    bool isValid = true;
    for (auto position = text.begin(); isValid && position != text.end();) {
        isValid = takeCharacter(position, text.end());
    }
    return isValid;
}

std::string replaceInvalidUtf8(std::string_view text)
{
    constexpr std::string_view Replacement = "\xEF\xBF\xBD";
    std::string result;
    result.reserve(text.size());
    for (auto position = text.begin(); position != text.end();) {
        const auto start = position;
        if (takeCharacter(position, text.end())) {
            result.append(start, position);
        } else {
            result.append(Replacement);
            position = start + 1;
        }
    }
    return result;
}

}
