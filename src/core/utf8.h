#pragma once

#include <string>
#include <string_view>

namespace carawaypoint
{

/// Whether @p text is well-formed UTF-8; surrogates and overlong forms are not.
bool isValidUtf8(std::string_view text);

/// @p text with U+FFFD in place of each byte that is not part of well-formed UTF-8.
std::string replaceInvalidUtf8(std::string_view text);

}
