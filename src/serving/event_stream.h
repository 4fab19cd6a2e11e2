#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawaypoint
{

/// Splits a byte stream into server-sent events.
class EventStreamParser
{
public:
    explicit EventStreamParser(std::size_t maxEventBytes);

    void feed(std::string_view bytes);
    /// Returns the data of the next complete event; no value when more bytes are needed.
    std::optional<std::string> next();
    /// Whether an event exceeded the limit; the stream cannot be parsed any further then.
    bool isTooLarge() const
    {
        return isTooLarge_;
    }

private:
    std::size_t maxEventBytes_;
    std::string buffer_;
    std::size_t consumed_ = 0; // bytes at the start of buffer_ that next() has returned
    bool isTooLarge_ = false;
};

/// One server-sent event of an engine's answer.
struct EngineEvent {
    enum class Kind : std::uint8_t {
        Token,
        Finish, // carries the finish reason and the token usage
        Done, // the end marker, [DONE]
        Malformed,
    };
    Kind kind = Kind::Malformed;
    std::string id; // attempt id
    std::uint32_t index = 0; // position of the token in the answer, from 0
    std::string delta; // JSON text that is forwarded to streaming callers
    std::string content; // text in the delta
    std::string finishReason;
    std::uint32_t promptTokens = 0;
    std::optional<std::uint32_t> completionTokens;
};

EngineEvent parseEngineEvent(std::string_view data);

}
