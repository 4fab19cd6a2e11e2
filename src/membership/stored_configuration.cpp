// Conversion of configurations to and from JSON. This is the only file of the package that uses Boost.JSON.
#include "membership/configuration_agent.h"

#include <boost/json.hpp>

namespace carawaypoint
{

std::optional<std::string> normaliseDocuments(std::string_view documents)
{
    boost::system::error_code error;
    const auto value = boost::json::parse(documents, error);
    if (error || !value.is_object()) {
        return std::nullopt;
    }
    return boost::json::serialize(value);
}

std::string formatStoredConfiguration(const StoredConfiguration &stored)
{
    boost::json::object object;
    object["generation"] = stored.configuration.generation;
    object["writer"] = stored.writer;
    object["documents"] = boost::json::parse(stored.configuration.text);
    return boost::json::serialize(object);
}

std::optional<StoredConfiguration> parseStoredConfiguration(std::string_view value)
{
    boost::system::error_code error;
    const auto parsed = boost::json::parse(value, error);
    if (error || !parsed.is_object()) {
        return std::nullopt;
    }
    const auto &object = parsed.as_object();
    const auto *generation = object.if_contains("generation");
    const auto *writer = object.if_contains("writer");
    const auto *documents = object.if_contains("documents");
    if (generation == nullptr || writer == nullptr || documents == nullptr || !writer->is_string() || !documents->is_object()) {
        return std::nullopt;
    }
    const auto number = generation->to_number<std::uint64_t>(error);
    if (error || number == 0) {
        return std::nullopt;
    }
    StoredConfiguration stored;
    stored.writer = writer->as_string().c_str();
    stored.configuration.generation = number;
    stored.configuration.text = boost::json::serialize(*documents);
    stored.configuration.digest = configurationDigest(stored.configuration.text);
    return stored;
}

}
