#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace carawaypoint
{

/// Answer that the engine stand-in generates for a prompt. Each token depends only on the prompt and the token's position, so
/// that the load generator can check every byte, and a resumed answer continues the same text.
class ReferenceAnswer
{
public:
    /// @param prompt content of the last message. `tokens=N` in it sets the length; otherwise it is between 16 and 63 tokens.
    /// @param maxTokens limit of the answer in tokens that the caller stated; 0 for none.
    ReferenceAnswer(std::string_view prompt, std::uint32_t maxTokens);

    /// Number of tokens.
    std::uint32_t length() const
    {
        return length_;
    }

    /// Returns the text of token @p index, with a trailing space.
    std::string token(std::uint32_t index) const;

    std::string fullText() const;

private:
    std::uint64_t seed_;
    std::uint32_t length_;
};

}
