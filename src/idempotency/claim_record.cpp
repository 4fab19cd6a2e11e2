#include "idempotency/claim_record.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <array>

namespace carawaypoint
{

namespace json = boost::json;

namespace
{

constexpr std::array<std::string_view, 4> StateNames{"claimed", "completed", "not-run", "unknown"};

bool readText(const json::object &object, std::string_view name, std::string &text)
{
    const auto *value = object.if_contains(name);
    if (value == nullptr || !value->is_string()) {
        return false;
    }
    text = std::string(value->get_string());
    return true;
}

bool readState(const json::object &object, ClaimRecord::State &state)
{
    std::string name;
    if (!readText(object, "state", name)) {
        return false;
    }
    for (std::size_t i = 0; i < StateNames.size(); ++i) {
        if (StateNames[i] == name) {
            state = static_cast<ClaimRecord::State>(i);
            return true;
        }
    }
    return false;
}

bool readAnswer(const json::object &object, RecordedAnswer &answer)
{
    const auto *status = object.if_contains("status");
    const auto *omitted = object.if_contains("body_omitted");
    if (status == nullptr || !status->is_int64() || omitted == nullptr || !omitted->is_bool()) {
        return false;
    }
    answer.status = static_cast<unsigned>(status->get_int64());
    answer.isBodyOmitted = omitted->get_bool();
    return readText(object, "content_type", answer.contentType) && readText(object, "body", answer.body);
}

}

std::string_view claimRecordStateName(ClaimRecord::State state)
{
    return StateNames.at(static_cast<std::size_t>(state));
}

std::string serializeClaim(const ClaimRecord &record)
{
    json::object object{{"state", claimRecordStateName(record.state)},
                        {"token", record.token},
                        {"owner", record.owner.member.str()},
                        {"process", record.owner.process},
                        {"fingerprint", record.fingerprint}};
    if (record.state == ClaimRecord::State::Completed) {
        object["answer"] = json::object{{"status", static_cast<std::int64_t>(record.answer.status)},
                                        {"content_type", record.answer.contentType},
                                        {"body", record.answer.body},
                                        {"body_omitted", record.answer.isBodyOmitted}};
    }
    return json::serialize(object);
}

std::optional<ClaimRecord> parseClaim(std::string_view text)
{
    boost::system::error_code error;
    const auto value = json::parse(text, error);
    const auto *object = error ? nullptr : value.if_object();
    if (object == nullptr) {
        return std::nullopt;
    }
    ClaimRecord record;
    std::string owner;
    const auto *process = object->if_contains("process");
    if (process == nullptr || !readState(*object, record.state) || !readText(*object, "token", record.token) || !readText(*object, "owner", owner)
        || !readText(*object, "fingerprint", record.fingerprint)) {
        return std::nullopt;
    }
    record.owner.member = MemberId(owner);
    record.owner.process = process->to_number<std::uint64_t>(error);
    if (error) {
        return std::nullopt;
    }
    if (record.state == ClaimRecord::State::Completed) {
        const auto *answer = object->if_contains("answer");
        if (answer == nullptr || !answer->is_object() || !readAnswer(answer->get_object(), record.answer)) {
            return std::nullopt;
        }
    }
    return record;
}

}
