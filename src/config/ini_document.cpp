#include "config/ini_document.h"

#include <ini.h>

#include <algorithm>
#include <set>

namespace carawaypoint
{

namespace
{

/// inih truncates section names to its buffer of 50 bytes without an error.
constexpr std::size_t MaxSectionBytes = 48;
constexpr std::size_t MaxSyntaxErrors = 100;

struct ParseState {
    std::string_view text;
    std::string_view file;
    std::size_t position = 0;
    unsigned line = 0;
    std::set<unsigned> skippedLines; // invalid lines that an earlier pass found
    std::vector<unsigned> longLines;
    std::vector<IniEntry> entries;
};

/// Supplies one line to inih, as fgets() does. inih does not pass a line number to its handler, but calls it before it reads
/// the next line, so ParseState::line is the line of the entry.
char *readLine(char *buffer, int size, void *stream)
{
    auto &state = *static_cast<ParseState *>(stream);
    if (state.position >= state.text.size()) {
        return nullptr;
    }
    ++state.line;
    const auto end = std::min(state.text.find('\n', state.position), state.text.size());
    auto line = state.text.substr(state.position, end - state.position);
    state.position = end + 1;
    if (line.size() + 2 > static_cast<std::size_t>(size)) {
        state.longLines.push_back(state.line);
        line = {};
    }
    if (state.skippedLines.contains(state.line)) {
        line = {};
    }
    const auto copied = line.copy(buffer, line.size());
    buffer[copied] = '\n';
    buffer[copied + 1] = '\0';
    return buffer;
}

int addEntry(void *user, const char *section, const char *key, const char *value)
{
    auto &state = *static_cast<ParseState *>(user);
    state.entries.push_back({section, key, value, {std::string(state.file), state.line}});
    return 1;
}

}

std::string ConfigError::toString() const
{
    return origin.toString() + ": " + (key.empty() ? "" : key + ": ") + expected;
}

std::vector<IniEntry> parseIni(std::string_view text, std::string_view file, std::vector<ConfigError> &errors)
{
    std::set<unsigned> invalidLines;
    // inih reports only the first invalid line, so the text is parsed again without that line until no error is left.
    for (;;) {
        ParseState state;
        state.text = text;
        state.file = file;
        state.skippedLines = invalidLines;
        const int firstErrorLine = ini_parse_stream(readLine, &state, addEntry, &state);
        if (firstErrorLine > 0 && invalidLines.size() < MaxSyntaxErrors && invalidLines.insert(static_cast<unsigned>(firstErrorLine)).second) {
            errors.push_back({{std::string(file), static_cast<unsigned>(firstErrorLine)}, {}, "expected [section], key = value or a comment"});
            continue;
        }
        for (const auto line : state.longLines) {
            errors.push_back({{std::string(file), line}, {}, "expected a line of fewer than 198 bytes"});
        }
        for (const auto &entry : state.entries) {
            if (entry.section.size() > MaxSectionBytes) {
                errors.push_back({entry.origin, entry.section + "." + entry.key, "expected a section name of at most 48 bytes"});
            }
        }
        return std::move(state.entries);
    }
}

}
