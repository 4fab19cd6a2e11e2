#include "core/json_reader.h"

#include <boost/json/parse.hpp>

#include <limits>

namespace carawaypoint
{
namespace json = boost::json;

std::optional<json::value> parseJson(std::string_view text)
{
    json::error_code error;
    auto value = json::parse(json::string_view(text.data(), text.size()), error);
    if (error) {
        return std::nullopt;
    }
    return value;
}

JsonReader::JsonReader(const json::value &value)
    : object_(value.if_object())
    , isGood_(object_ != nullptr)
{
}

JsonReader::JsonReader(const json::object &object)
    : object_(&object)
{
}

const json::value *JsonReader::find(std::string_view key, bool isOptional)
{
    const auto *value = object_ ? object_->if_contains(json::string_view(key.data(), key.size())) : nullptr;
    if (!value && !isOptional) {
        isGood_ = false;
    }
    return value;
}

void JsonReader::read(std::string_view key, std::string &target, bool isOptional)
{
    const auto *value = find(key, isOptional);
    if (!value) {
        return;
    }
    if (const auto *text = value->if_string()) {
        target.assign(text->data(), text->size());
    } else {
        isGood_ = false;
    }
}

void JsonReader::read(std::string_view key, std::uint64_t &target, bool isOptional)
{
    const auto *value = find(key, isOptional);
    if (!value) {
        return;
    }
    json::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    if (error) {
        isGood_ = false;
    } else {
        target = number;
    }
}

void JsonReader::read(std::string_view key, std::uint32_t &target, bool isOptional)
{
    std::uint64_t wide = target;
    read(key, wide, isOptional);
    if (wide > std::numeric_limits<std::uint32_t>::max()) {
        isGood_ = false;
    } else {
        target = static_cast<std::uint32_t>(wide);
    }
}

void JsonReader::read(std::string_view key, double &target, bool isOptional)
{
    const auto *value = find(key, isOptional);
    if (!value) {
        return;
    }
    json::error_code error;
    const auto number = value->to_number<double>(error);
    if (error) {
        isGood_ = false;
    } else {
        target = number;
    }
}

void JsonReader::read(std::string_view key, bool &target, bool isOptional)
{
    const auto *value = find(key, isOptional);
    if (!value) {
        return;
    }
    if (const auto *flag = value->if_bool()) {
        target = *flag;
    } else {
        isGood_ = false;
    }
}

void JsonReader::read(std::string_view key, std::vector<std::string> &target, bool isOptional)
{
    const auto *value = find(key, isOptional);
    if (!value) {
        return;
    }
    const auto *items = value->if_array();
    if (!items) {
        isGood_ = false;
        return;
    }
    std::vector<std::string> texts;
    for (const auto &item : *items) {
        const auto *text = item.if_string();
        if (!text) {
            isGood_ = false;
            return;
        }
        texts.emplace_back(text->data(), text->size());
    }
    target = std::move(texts);
}

const json::array *JsonReader::array(std::string_view key)
{
    const auto *value = find(key, false);
    const auto *items = value ? value->if_array() : nullptr;
    isGood_ = isGood_ && items;
    return items;
}

const json::object *JsonReader::object(std::string_view key)
{
    const auto *value = find(key, false);
    const auto *object = value ? value->if_object() : nullptr;
    isGood_ = isGood_ && object;
    return object;
}

}
