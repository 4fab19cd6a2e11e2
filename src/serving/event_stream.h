#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace carawaypoint
{

/// Splits server-sent events out of a byte stream. Holds at most one unfinished event.
class EventStreamParser
{
public:
    explicit EventStreamParser(std::size_t maxEventBytes);

    void feed(std::string_view bytes);
    /// The data of the next whole event; empty when more bytes are needed.
    std::optional<std::string> next();
    /// Whether an event exceeded the limit; the stream is unusable then.
    bool isTooLarge() const
    {
        return isTooLarge_;
    }

private:
    std::size_t maxEventBytes_;
    std::string buffer_;
    std::size_t consumed_ = 0;
    bool isTooLarge_ = false;
};

/// One event of an engine's answer.
struct EngineEvent {
    enum class Kind : std::uint8_t {
        Token,
        Finish, // carries the reason and the usage
        Done, // the end marker
        Malformed,
    };
    Kind kind = Kind::Malformed;
    std::string id; // attempt id
    std::uint32_t index = 0; // of the token in the answer
    std::string delta; // JSON text, passed on to streaming callers
    std::string content; // text of the delta
    std::string finishReason;
    std::uint32_t promptTokens = 0;
    std::optional<std::uint32_t> completionTokens;
};

EngineEvent parseEngineEvent(std::string_view data);

}
