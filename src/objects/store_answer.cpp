#include "objects/store_answer.h"

#include <utility>

namespace carawaypoint
{

std::optional<StoreAnswer> StoreAnswer::split(std::string_view body, std::string_view arrayKey, std::string_view revisionKey)
{
    StoreAnswer answer;
    answer.members = splitJsonObject(body).value_or(std::vector<JsonMember>());
    const auto revision = decodeJsonNumber(findJsonMember(answer.members, revisionKey));
    auto elements = splitJsonArray(findJsonMember(answer.members, arrayKey));
    if (!revision || !elements) {
        return std::nullopt;
    }
    answer.elements = *std::move(elements);
    answer.revision = *revision;
    return answer;
}

}
