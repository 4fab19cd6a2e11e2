#include "load/reference_answer.h"

#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace carawaypoint
{

namespace
{

constexpr std::uint32_t ShortestLength = 16; // tokens
constexpr std::uint32_t LengthRange = 48; // tokens

std::uint32_t answerLength(std::string_view prompt, std::uint64_t seed)
{
    constexpr std::string_view Marker = "tokens=";
    const auto at = prompt.find(Marker);
    if (at != std::string_view::npos) {
        const auto digits = prompt.substr(at + Marker.size());
        std::uint32_t length = 0;
        if (std::from_chars(digits.data(), digits.data() + digits.size(), length).ec == std::errc{}) {
            return length;
        }
    }
    return ShortestLength + static_cast<std::uint32_t>(seed % LengthRange);
}

}

ReferenceAnswer::ReferenceAnswer(std::string_view prompt, std::uint32_t maxTokens)
    : seed_(XXH64(prompt.data(), prompt.size(), 0))
    , length_(answerLength(prompt, seed_))
{
    if (maxTokens > 0) {
        length_ = std::min(length_, maxTokens);
    }
}

std::string ReferenceAnswer::token(std::uint32_t index) const
{
    constexpr std::string_view Digits = "0123456789abcdef";
    const std::uint64_t hash = XXH64(&index, sizeof index, seed_);
    std::string text = "w0000 ";
    for (int digit = 0; digit < 4; ++digit) {
        text[4 - digit] = Digits[(hash >> (4 * digit)) & 0xf];
    }
    return text;
}

std::string ReferenceAnswer::fullText() const
{
    std::string text;
    for (std::uint32_t index = 0; index < length_; ++index) {
        text += token(index);
    }
    return text;
}

}
