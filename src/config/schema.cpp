#include "config/schema.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace carawaypoint
{

namespace
{

struct TimeUnit {
    std::string_view name;
    std::int64_t microseconds;
};

// Largest first, as formatTimeSpan() uses the first unit that divides a time.
constexpr TimeUnit TimeUnits[] = {{"d", 86'400'000'000}, {"h", 3'600'000'000}, {"min", 60'000'000}, {"s", 1'000'000}, {"ms", 1'000}, {"us", 1}};
constexpr std::size_t MaxNameBytes = 40;

std::string_view trim(std::string_view text)
{
    const auto first = text.find_first_not_of(" \t\r");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t\r") - first + 1);
}

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> items;
    if (trim(text).empty()) {
        return items;
    }
    for (std::size_t start = 0; start <= text.size();) {
        const auto end = std::min(text.find(',', start), text.size());
        items.emplace_back(trim(text.substr(start, end - start)));
        start = end + 1;
    }
    return items;
}

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= MaxNameBytes
        && std::all_of(text.begin(), text.end(), [](unsigned char c) { return std::isalnum(c) != 0 || c == '-' || c == '_'; });
}

std::optional<double> parseNumber(std::string_view text, std::string_view &rest)
{
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || !std::isfinite(number)) {
        return std::nullopt;
    }
    rest = text.substr(static_cast<std::size_t>(end - text.data()));
    return number;
}

std::string formatNumber(double number)
{
    if (number == std::floor(number) && std::abs(number) < 1e15) {
        return std::to_string(static_cast<std::int64_t>(number)); // std::to_chars formats a million as 1e+06
    }
    char text[40];
    const auto [end, error] = std::to_chars(text, text + sizeof text, number);
    return error == std::errc{} ? std::string(text, end) : std::string();
}

bool isWithin(const KeySchema &schema, double number)
{
    return number >= schema.low && number <= schema.high;
}

std::optional<ParsedValue> parseTime(const KeySchema &schema, std::string_view text)
{
    std::string_view unitName;
    const auto number = parseNumber(text, unitName);
    const auto *unit = std::find_if(std::begin(TimeUnits), std::end(TimeUnits), [&](const TimeUnit &candidate) { return candidate.name == trim(unitName); });
    if (!number || unit == std::end(TimeUnits)) {
        return std::nullopt;
    }
    const double inMicroseconds = *number * static_cast<double>(unit->microseconds);
    if (!isWithin(schema, inMicroseconds / 1e6)) {
        return std::nullopt;
    }
    ParsedValue value;
    value.time = Duration(std::llround(inMicroseconds));
    value.canonicalText = formatTimeSpan(value.time);
    return value;
}

std::optional<ParsedValue> parseNumberValue(const KeySchema &schema, std::string_view text)
{
    std::string_view rest;
    const auto number = parseNumber(text, rest);
    if (!number || !rest.empty() || !isWithin(schema, *number)) {
        return std::nullopt;
    }
    if (schema.kind == ValueKind::Integer && *number != std::floor(*number)) {
        return std::nullopt;
    }
    ParsedValue value;
    value.number = *number;
    value.canonicalText = formatNumber(*number);
    return value;
}

std::optional<ParsedValue> parseAddresses(std::string_view text, bool isList)
{
    ParsedValue value;
    const auto items = isList ? splitList(text) : std::vector<std::string>{std::string(text)};
    for (const auto &item : items) {
        const auto endpoint = Endpoint::parse(item);
        if (!endpoint.isValid()) {
            return std::nullopt;
        }
        value.canonicalText += (value.canonicalText.empty() ? "" : ", ") + endpoint.toString();
        value.addresses.push_back(endpoint);
    }
    return value;
}

std::optional<ParsedValue> parseNames(std::string_view text)
{
    ParsedValue value;
    value.items = splitList(text);
    for (const auto &item : value.items) {
        if (!isName(item)) {
            return std::nullopt;
        }
        value.canonicalText += (value.canonicalText.empty() ? "" : ", ") + item;
    }
    return value;
}

bool isChoice(std::string_view choices, std::string_view text)
{
    for (std::size_t start = 0; start <= choices.size();) {
        const auto end = std::min(choices.find('|', start), choices.size());
        if (choices.substr(start, end - start) == text) {
            return true;
        }
        start = end + 1;
    }
    return false;
}

std::string boundsText(const KeySchema &schema)
{
    if (schema.kind == ValueKind::Time) {
        const auto toTime = [](double inSeconds) {
            return formatTimeSpan(Duration(std::llround(inSeconds * 1e6)));
        };
        return " from " + toTime(schema.low) + " to " + toTime(schema.high);
    }
    return " from " + formatNumber(schema.low) + " to " + formatNumber(schema.high);
}

}

std::string formatTimeSpan(Duration time)
{
    for (const auto &unit : TimeUnits) {
        if (time.count() != 0 && time.count() % unit.microseconds == 0) {
            return std::to_string(time.count() / unit.microseconds) + std::string(unit.name);
        }
    }
    return "0s";
}

std::string describeExpectation(const KeySchema &schema)
{
    switch (schema.kind) {
    case ValueKind::Name:
        return "a name of letters, digits, '-' and '_' of at most 40 bytes";
    case ValueKind::NameList:
        return "names of letters, digits, '-' and '_' separated by commas";
    case ValueKind::Text:
        return "a text";
    case ValueKind::Choice: {
        std::string list(schema.choices);
        for (std::size_t at = 0; (at = list.find('|', at)) != std::string::npos; at += 2) {
            list.replace(at, 1, ", ");
        }
        return "one of " + list;
    }
    case ValueKind::Integer:
        return "a whole number" + boundsText(schema);
    case ValueKind::Number:
        return "a number" + boundsText(schema);
    case ValueKind::Flag:
        return "yes or no";
    case ValueKind::Time:
        return "a time" + boundsText(schema) + " with its unit (us, ms, s, min, h, d)";
    case ValueKind::Address:
        return "address:port";
    case ValueKind::AddressList:
        break;
    }
    return "address:port, several separated by commas";
}

std::optional<ParsedValue> parseValue(const KeySchema &schema, std::string_view rawText)
{
    const auto text = trim(rawText);
    ParsedValue value;
    value.canonicalText = text;
    switch (schema.kind) {
    case ValueKind::Name:
        return isName(text) ? std::optional(value) : std::nullopt;
    case ValueKind::NameList:
        return parseNames(text);
    case ValueKind::Text:
        return value;
    case ValueKind::Choice:
        return isChoice(schema.choices, text) ? std::optional(value) : std::nullopt;
    case ValueKind::Integer:
    case ValueKind::Number:
        return parseNumberValue(schema, text);
    case ValueKind::Flag:
        value.flag = text == "yes";
        return value.flag || text == "no" ? std::optional(value) : std::nullopt;
    case ValueKind::Time:
        return parseTime(schema, text);
    case ValueKind::Address:
        return parseAddresses(text, false);
    case ValueKind::AddressList:
        break;
    }
    return parseAddresses(text, true);
}

const KeySchema *findKey(std::span<const KeySchema> keys, std::string_view key)
{
    const auto found = std::find_if(keys.begin(), keys.end(), [&](const KeySchema &schema) { return schema.key == key; });
    return found == keys.end() ? nullptr : &*found;
}

const SectionSchema *findSection(std::span<const SectionSchema> sections, std::string_view name)
{
    const auto found = std::find_if(sections.begin(), sections.end(), [&](const SectionSchema &schema) { return schema.name == name; });
    return found == sections.end() ? nullptr : &*found;
}

}
