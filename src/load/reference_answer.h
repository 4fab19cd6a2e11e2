#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace carawaypoint
{

/// The answer that the engine stand-in generates for a prompt. Each token is a function of the prompt and its position, so
/// that the load generator can check every byte of an answer, and a resumed answer continues the same text.
class ReferenceAnswer
{
public:
    /// @param prompt content of the last message. `tokens=N` in it sets the length; otherwise it is between 16 and 63 tokens.
    /// @param maxTokens limit that the caller declared; 0 for none.
    ReferenceAnswer(std::string_view prompt, std::uint32_t maxTokens);

    std::uint32_t length() const
    {
        return length_;
    }

    /// The text of token @p index, with a trailing space.
    std::string token(std::uint32_t index) const;

    std::string wholeText() const;

private:
    std::uint64_t seed_;
    std::uint32_t length_;
};

}
