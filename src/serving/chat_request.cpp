#include "serving/chat_request.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace carawaypoint
{

namespace json = boost::json;

namespace
{

constexpr std::size_t BytesPerToken = 4; // approximate mean of English text; prompt limit and load predictions use it
constexpr std::size_t PrefixBlockBytes = 256; // prefixes are hashed at multiples of this length
constexpr std::size_t MaxPrefixes = 32;
constexpr std::int64_t MaxDeadlineMs = 600'000;

ChatCheck refusal(ResultCode code, std::string message)
{
    return {code, std::move(message), {}};
}

/// Appends roles and contents of all messages to @p prompt; false when @p messages is malformed.
bool appendPrompt(const json::value &messages, std::string &prompt)
{
    const auto *list = messages.if_array();
    if (list == nullptr || list->empty()) {
        return false;
    }
    for (const auto &entry : *list) {
        const auto *message = entry.if_object();
        const auto *role = message != nullptr ? message->if_contains("role") : nullptr;
        const auto *content = message != nullptr ? message->if_contains("content") : nullptr;
        if (role == nullptr || content == nullptr || !role->is_string() || !content->is_string()) {
            return false;
        }
        prompt.append(role->get_string()).append("\n").append(content->get_string()).append("\n");
    }
    return true;
}

std::vector<std::uint64_t> hashPrefixes(std::string_view scope, std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    const auto seed = XXH64(scope.data(), scope.size(), 0);
    for (std::size_t length = PrefixBlockBytes; length <= prompt.size() && hashes.size() < MaxPrefixes; length += PrefixBlockBytes) {
        hashes.push_back(XXH64(prompt.data(), length, seed));
    }
    return hashes;
}

bool readDeadline(std::string_view text, Duration &deadline)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || value <= 0 || value > MaxDeadlineMs) {
        return false;
    }
    deadline = milliseconds(value);
    return true;
}

template<typename List, typename Id>
auto findById(const List &list, const Id &id)
{
    return std::find_if(list.begin(), list.end(), [&id](const auto &entry) { return entry.id == id; });
}

}

ChatCheck checkChatRequest(const ChatInput &input, const RoutingSnapshot &snapshot, TimePoint now, const FrontEndSettings &settings)
{
    ChatCheck check;
    auto &routing = check.request.routing;
    routing.customer = CustomerId(std::string(input.customer));
    const auto customer = findById(snapshot.customers, routing.customer);
    if (customer == snapshot.customers.end()) {
        return refusal(ResultCode::UnknownCustomer, "X-Customer is missing or not a declared customer");
    }

    boost::system::error_code error;
    auto body = json::parse(input.body, error);
    auto *object = error ? nullptr : body.if_object();
    if (object == nullptr) {
        return refusal(ResultCode::MalformedRequest, "the body is not a JSON object");
    }
    const auto *model = object->if_contains("model");
    if (model == nullptr || !model->is_string()) {
        return refusal(ResultCode::MalformedRequest, "model is missing or not a string");
    }
    routing.model = ModelId(std::string(model->get_string()));
    const auto declared = findById(snapshot.models, routing.model);
    if (declared == snapshot.models.end()) {
        return refusal(ResultCode::UnknownModel, "model is not declared: " + routing.model.str());
    }
    if (!customer->models.empty() && std::find(customer->models.begin(), customer->models.end(), routing.model) == customer->models.end()) {
        return refusal(ResultCode::UnknownModel, "the customer may not use the model " + routing.model.str());
    }
    if (const auto *adapter = object->if_contains("adapter"); adapter != nullptr && !adapter->is_null()) {
        if (!adapter->is_string()) {
            return refusal(ResultCode::MalformedRequest, "adapter is not a string");
        }
        routing.adapter = std::string(adapter->get_string());
        if (!routing.adapter.empty() && std::find(declared->adapters.begin(), declared->adapters.end(), routing.adapter) == declared->adapters.end()) {
            return refusal(ResultCode::UnknownAdapter, "adapter is not declared for the model: " + routing.adapter);
        }
    }
    std::string prompt;
    const auto *messages = object->if_contains("messages");
    if (messages == nullptr || !appendPrompt(*messages, prompt)) {
        return refusal(ResultCode::MalformedRequest, "messages is not a list of objects with role and content");
    }
    routing.promptTokens = static_cast<std::uint32_t>(prompt.size() / BytesPerToken) + 1;
    if (declared->maxPromptTokens != 0 && routing.promptTokens > declared->maxPromptTokens) {
        return refusal(ResultCode::RequestTooLarge, "the prompt is longer than the model's limit of " + std::to_string(declared->maxPromptTokens) + " tokens");
    }
    routing.maxTokens = declared->maxOutputTokens;
    if (const auto *limit = object->if_contains("max_tokens"); limit != nullptr && !limit->is_null()) {
        boost::system::error_code wrongNumber;
        routing.maxTokens = limit->to_number<std::uint32_t>(wrongNumber);
        if (wrongNumber || routing.maxTokens == 0 || (declared->maxOutputTokens != 0 && routing.maxTokens > declared->maxOutputTokens)) {
            return refusal(ResultCode::MalformedRequest, "max_tokens is not between 1 and " + std::to_string(declared->maxOutputTokens));
        }
    }
    if (const auto *stream = object->if_contains("stream"); stream != nullptr) {
        if (!stream->is_bool()) {
            return refusal(ResultCode::MalformedRequest, "stream is not true or false");
        }
        check.request.isStreamed = stream->get_bool();
    }
    auto deadline = declared->firstTokenDeadline > Duration::zero() ? declared->firstTokenDeadline : settings.defaultFirstTokenDeadline;
    if (!input.deadlineMs.empty() && !readDeadline(input.deadlineMs, deadline)) {
        return refusal(ResultCode::MalformedRequest, "X-Deadline-Ms is not between 1 and " + std::to_string(MaxDeadlineMs));
    }
    routing.deadline = now + deadline;
    routing.fingerprint = XXH64(input.body.data(), input.body.size(), 0);
    routing.prefixHashes = hashPrefixes(routing.model.str() + "/" + routing.adapter, prompt);
    (*object)["stream"] = true;
    if (routing.maxTokens != 0) {
        (*object)["max_tokens"] = routing.maxTokens;
    }
    check.request.engineBody = json::serialize(body);
    return check;
}

}
