#include "config/ini_document.h"

#include <ini.h>

#include <algorithm>
#include <set>

namespace carawaypoint
{

namespace
{

/// inih cuts section names silently at its buffer of 50 bytes.
constexpr std::size_t MaxSectionBytes = 48;
constexpr std::size_t MaxSyntaxFaults = 100;

struct ParseState {
    std::string_view text;
    std::string_view file;
    std::size_t position = 0;
    unsigned line = 0;
    std::set<unsigned> skippedLines; // found faulty by an earlier pass
    std::vector<unsigned> longLines;
    std::vector<IniEntry> entries;
};

/// Supplies one line to inih, as fgets() does. inih calls the handler before it asks for the next line, so the count of
/// lines gives the line number, which the library's handler lacks.
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

std::string ConfigFault::toString() const
{
    return origin.toString() + ": " + (key.empty() ? "" : key + ": ") + expected;
}

std::vector<IniEntry> parseIni(std::string_view text, std::string_view file, std::vector<ConfigFault> &faults)
{
    std::set<unsigned> faultyLines;
    // inih reports only the first faulty line, so the text is parsed again without that line until no fault is left.
    for (;;) {
        ParseState state;
        state.text = text;
        state.file = file;
        state.skippedLines = faultyLines;
        const int firstFault = ini_parse_stream(readLine, &state, addEntry, &state);
        if (firstFault > 0 && faultyLines.size() < MaxSyntaxFaults && faultyLines.insert(static_cast<unsigned>(firstFault)).second) {
            faults.push_back({{std::string(file), static_cast<unsigned>(firstFault)}, {}, "expected [section], key = value or a comment"});
            continue;
        }
        for (const auto line : state.longLines) {
            faults.push_back({{std::string(file), line}, {}, "expected a line of fewer than 198 bytes"});
        }
        for (const auto &entry : state.entries) {
            if (entry.section.size() > MaxSectionBytes) {
                faults.push_back({entry.origin, entry.section + "." + entry.key, "expected a section name of at most 48 bytes"});
            }
        }
        return std::move(state.entries);
    }
}

}
