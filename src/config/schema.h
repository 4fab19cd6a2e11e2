#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypoint
{

enum class ValueKind : std::uint8_t {
    Name, // letters, digits, '-' and '_'
    NameList, // names separated by commas, may be empty
    Text,
    Choice, // one of the names in KeySchema::choices
    Integer,
    Number,
    Flag, // yes or no
    Time, // number with the unit us, ms, s, min, h or d
    Address, // address:port
    AddressList,
};

/// Describes one key. Tables of these drive the checks, `config show` and the reference page.
struct KeySchema {
    std::string_view key{};
    ValueKind kind = ValueKind::Text;
    std::string_view unit{}; // of Integer and Number, shown in the reference page
    double low = 0; // smallest value of Integer, Number and Time; Time in seconds
    double high = 0; // largest value, in the same unit
    std::string_view defaultText{};
    bool isRequired = false;
    std::string_view choices{}; // separated by '|'
    std::string_view description{};
};

/// Describes one section. The header of a named section has a second word, as in `[model drafting]`.
struct SectionSchema {
    std::string_view name{};
    bool isNamed = false;
    std::span<const KeySchema> keys{};
    std::string_view description{};
};

/// A parsed value. canonicalText is always set, and of the other members the one that the key's kind uses.
struct ParsedValue {
    std::string canonicalText; // normal form; `1500ms` and `1.5s` have the same text
    double number = 0;
    bool flag = false;
    Duration time{};
    std::vector<std::string> items;
    std::vector<Endpoint> addresses;
};

/// Describes the values that @p schema accepts, such as "a time from 1ms to 60s", for messages and the reference page.
std::string describeExpectation(const KeySchema &schema);

/// Parses @p text; empty when @p schema does not accept it.
std::optional<ParsedValue> parseValue(const KeySchema &schema, std::string_view text);

/// Formats @p time exactly, in the largest unit that divides it.
std::string formatTimeSpan(Duration time);

const KeySchema *findKey(std::span<const KeySchema> keys, std::string_view key);
const SectionSchema *findSection(std::span<const SectionSchema> sections, std::string_view name);

}
