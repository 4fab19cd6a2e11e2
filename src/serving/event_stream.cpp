#include "serving/event_stream.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace carawaypoint
{

namespace json = boost::json;

namespace
{

std::optional<std::uint32_t> readNumber(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    if (value == nullptr) {
        return std::nullopt;
    }
    boost::system::error_code error;
    const auto number = value->to_number<std::uint32_t>(error);
    return error ? std::nullopt : std::optional(number);
}

std::string readText(const json::object &object, std::string_view name)
{
    const auto *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string();
}

/// Returns the event's first choice; null when the event is malformed.
const json::object *findChoice(const json::object &event)
{
    const auto *choices = event.if_contains("choices");
    const auto *list = choices != nullptr ? choices->if_array() : nullptr;
    return list != nullptr && !list->empty() ? list->front().if_object() : nullptr;
}

}

EventStreamParser::EventStreamParser(std::size_t maxEventBytes)
    : maxEventBytes_(maxEventBytes)
{
}

void EventStreamParser::feed(std::string_view bytes)
{
    buffer_.erase(0, consumed_);
    consumed_ = 0;
    for (const char byte : bytes) {
        if (byte != '\r') {
            buffer_.push_back(byte);
        }
    }
}

std::optional<std::string> EventStreamParser::next()
{
    const auto end = buffer_.find("\n\n", consumed_);
    if (end == std::string::npos) {
        isTooLarge_ = buffer_.size() - consumed_ > maxEventBytes_;
        return std::nullopt;
    }
    std::string_view event(buffer_.data() + consumed_, end - consumed_);
    consumed_ = end + 2;
    std::string data;
    while (!event.empty()) {
        const auto lineEnd = event.find('\n');
        auto line = event.substr(0, lineEnd);
        event = lineEnd == std::string_view::npos ? std::string_view() : event.substr(lineEnd + 1);
        if (!line.starts_with("data:")) {
            continue;
        }
        line.remove_prefix(line.starts_with("data: ") ? 6 : 5);
        data.append(data.empty() ? "" : "\n").append(line);
    }
    return data;
}

EngineEvent parseEngineEvent(std::string_view data)
{
    EngineEvent event;
    if (data == "[DONE]") {
        event.kind = EngineEvent::Kind::Done;
        return event;
    }
    boost::system::error_code error;
    const auto value = json::parse(data, error);
    const auto *object = error ? nullptr : value.if_object();
    const auto *choice = object != nullptr ? findChoice(*object) : nullptr;
    if (choice == nullptr) {
        return event;
    }
    event.id = readText(*object, "id");
    event.finishReason = readText(*choice, "finish_reason");
    if (!event.finishReason.empty()) {
        event.kind = EngineEvent::Kind::Finish;
        if (const auto *usage = object->if_contains("usage"); usage != nullptr && usage->is_object()) {
            event.promptTokens = readNumber(usage->get_object(), "prompt_tokens").value_or(0);
            event.completionTokens = readNumber(usage->get_object(), "completion_tokens");
        }
        return event;
    }
    const auto index = readNumber(*object, "index");
    const auto *delta = choice->if_contains("delta");
    if (!index || delta == nullptr || !delta->is_object()) {
        return event;
    }
    event.kind = EngineEvent::Kind::Token;
    event.index = *index;
    event.delta = json::serialize(*delta);
    event.content = readText(delta->get_object(), "content");
    return event;
}

}
