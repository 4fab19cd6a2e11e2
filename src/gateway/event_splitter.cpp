#include "gateway/event_splitter.h"

#include <charconv>

namespace carawaypoint
{

namespace
{

std::string_view takeLine(std::string_view &text)
{
    const auto end = text.find('\n');
    auto line = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    if (!line.empty() && line.back() == '\r') {
        line.remove_suffix(1);
    }
    return line;
}

std::optional<std::uint64_t> parseId(std::string_view text)
{
    if (text.starts_with(' ')) {
        text.remove_prefix(1);
    }
    std::uint64_t id = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id);
    return error == std::errc{} && end == text.data() + text.size() ? std::optional(id) : std::nullopt;
}

EventSplitter::Event parseEvent(std::string_view bytes)
{
    static constexpr std::string_view IdField = "id:";
    static constexpr std::string_view DataField = "data:";
    EventSplitter::Event event{bytes, std::nullopt};
    bool hasId = false;
    for (auto rest = bytes; !rest.empty();) {
        const auto line = takeLine(rest);
        event.hasData = event.hasData || line.starts_with(DataField);
        if (!hasId && line.starts_with(IdField)) {
            hasId = true;
            event.id = parseId(line.substr(IdField.size()));
        }
    }
    return event;
}

/// The position after the first blank line; npos when there is none.
std::size_t findEventEnd(std::string_view text)
{
    std::size_t start = 0;
    while (true) {
        const auto end = text.find('\n', start);
        if (end == std::string_view::npos) {
            return end;
        }
        const auto length = end - start;
        const bool isBlank = length == 0 || (length == 1 && text[start] == '\r');
        if (isBlank) {
            return end + 1;
        }
        start = end + 1;
    }
}

}

void EventSplitter::feed(std::string_view bytes)
{
    buffer_.erase(0, position_);
    position_ = 0;
    buffer_ += bytes;
}

std::optional<EventSplitter::Event> EventSplitter::next()
{
    const auto text = rest();
    const auto end = findEventEnd(text);
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    position_ += end;
    return parseEvent(text.substr(0, end));
}

std::string_view EventSplitter::rest() const
{
    return std::string_view(buffer_).substr(position_);
}

}
