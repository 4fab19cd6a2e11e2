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

/// Describes one key. `config show`, the checks and the reference page are driven by tables of these.
struct KeySchema {
    std::string_view key{};
    ValueKind kind = ValueKind::Text;
    std::string_view unit{}; // of numbers, for the reference
    double low = 0; // bounds of Integer and Number; of Time in seconds
    double high = 0;
    std::string_view defaultText{};
    bool isRequired = false;
    std::string_view choices{}; // separated by '|'
    std::string_view description{};
};

/// Describes one section. A named section is written `[model drafting]`.
struct SectionSchema {
    std::string_view name{};
    bool isNamed = false;
    std::span<const KeySchema> keys{};
    std::string_view description{};
};

/// A value of a key after parsing; the member that the kind calls for is set.
struct ParsedValue {
    std::string canonical; // equal for equal values: `1500ms` and `1.5s` have the same text
    double number = 0;
    bool flag = false;
    Duration time{};
    std::vector<std::string> items;
    std::vector<Endpoint> addresses;
};

/// What a value of @p schema must look like, for messages and the reference: "a time from 1ms to 60s".
std::string describeExpectation(const KeySchema &schema);

/// The value of @p text, or nothing when it does not fit @p schema.
std::optional<ParsedValue> parseValue(const KeySchema &schema, std::string_view text);

/// Shortest exact text of a time, in the largest unit that divides it.
std::string formatTimeSpan(Duration time);

const KeySchema *findKey(std::span<const KeySchema> keys, std::string_view key);
const SectionSchema *findSection(std::span<const SectionSchema> sections, std::string_view name);

}
