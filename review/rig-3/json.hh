// Just enough JSON for the stand-ins of review 3: finds members of an object in a text that is valid JSON.
#pragma once

#include <string>
#include <vector>

namespace rig
{

/// The end of the value that begins at @p position.
inline std::size_t endOfValue(const std::string &text, std::size_t position)
{
    int depth = 0;
    bool isText = false;
    for (; position < text.size(); ++position) {
        const char each = text[position];
        if (isText) {
            if (each == '\\') {
                ++position;
            } else if (each == '"') {
                isText = false;
                if (depth == 0) {
                    return position + 1;
                }
            }
        } else if (each == '"') {
            isText = true;
        } else if (each == '{' || each == '[') {
            ++depth;
        } else if (each == '}' || each == ']') {
            if (depth == 0) {
                return position;
            }
            if (--depth == 0) {
                return position + 1;
            }
        } else if (each == ',' && depth == 0) {
            return position;
        }
    }
    return position;
}

/// The text of the member @p name of the object @p text; empty when there is none.
inline std::string member(const std::string &text, const std::string &name)
{
    std::size_t position = text.find('{');
    while (position != std::string::npos && ++position < text.size() && text[position] != '}') {
        const auto keyEnd = text.find('"', text.find('"', position) + 1);
        const auto key = text.substr(text.find('"', position) + 1, keyEnd - text.find('"', position) - 1);
        auto start = text.find(':', keyEnd) + 1;
        start = text.find_first_not_of(" \n", start);
        const auto end = endOfValue(text, start);
        if (key == name) {
            return text.substr(start, end - start);
        }
        position = text.find_first_of(",}", end);
        if (position == std::string::npos || text[position] == '}') {
            break;
        }
    }
    return {};
}

inline std::string unquoted(const std::string &text)
{
    return text.size() >= 2 && text.front() == '"' ? text.substr(1, text.size() - 2) : text;
}

/// The texts in an array of texts.
inline std::vector<std::string> texts(const std::string &array)
{
    std::vector<std::string> result;
    std::size_t start = array.find('"');
    while (start != std::string::npos) {
        const auto end = array.find('"', start + 1);
        result.push_back(array.substr(start + 1, end - start - 1));
        start = array.find('"', end + 1);
    }
    return result;
}

}
