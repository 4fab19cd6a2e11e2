#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawaypoint
{

/// Splits a byte stream into complete server-sent events without changing their bytes.
class EventSplitter
{
public:
    struct Event {
        std::string_view bytes; // including the blank line; valid until the next call of feed() or next()
        std::optional<std::uint64_t> id; // empty when the event has no id or a non-numeric one
        bool hasData = false; // false for comments, which servers may send to keep the connection alive
    };

    void feed(std::string_view bytes);
    std::optional<Event> next();
    /// Bytes after the last complete event.
    std::string_view rest() const;

private:
    std::string buffer_;
    std::size_t position_ = 0;
};

}
