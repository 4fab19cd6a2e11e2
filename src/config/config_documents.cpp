#include "config/config_documents.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace carawaypoint
{

namespace
{

std::optional<std::string> readFile(const std::filesystem::path &path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    if (!file.is_open() || file.bad()) {
        return std::nullopt;
    }
    return text.str();
}

std::optional<ConfigDocuments> readDocuments(const boost::json::value &value, std::string &errorText)
{
    const auto *object = value.if_object();
    const auto *base = object == nullptr ? nullptr : object->if_contains("base");
    const auto *sites = object == nullptr ? nullptr : object->if_contains("sites");
    if (base == nullptr || !base->is_string() || sites == nullptr || !sites->is_object() || object->size() != 2) {
        errorText = "expected an object with the members base (a text) and sites (an object) only";
        return std::nullopt;
    }
    ConfigDocuments documents;
    documents.base = base->as_string();
    for (const auto &[site, text] : sites->as_object()) {
        if (!text.is_string()) {
            errorText = "expected a text for the site " + std::string(site);
            return std::nullopt;
        }
        documents.sites[site] = text.as_string();
    }
    return documents;
}

}

std::string toJson(const ConfigDocuments &documents)
{
    boost::json::object sites;
    for (const auto &[site, text] : documents.sites) {
        sites[site] = text;
    }
    return boost::json::serialize(boost::json::object{{"base", documents.base}, {"sites", std::move(sites)}});
}

std::optional<ConfigDocuments> parseConfigDocuments(std::string_view json, std::string &errorText)
{
    boost::json::error_code error;
    const auto value = boost::json::parse(json, error);
    if (error) {
        errorText = "expected a JSON object";
        return std::nullopt;
    }
    return readDocuments(value, errorText);
}

std::string toJson(const VersionedConfig &config, std::string_view generationKey)
{
    return "{\"" + std::string(generationKey) + "\":" + std::to_string(config.generation) + ",\"documents\":" + toJson(config.documents) + "}";
}

std::optional<VersionedConfig> parseVersionedConfig(std::string_view json, std::string &errorText, std::string_view generationKey)
{
    boost::json::error_code error;
    const auto value = boost::json::parse(json, error);
    if (error || !value.is_object()) {
        errorText = "expected a JSON object";
        return std::nullopt;
    }
    const auto *generation = value.as_object().if_contains(generationKey);
    const auto *documents = value.as_object().if_contains("documents");
    const auto number = generation == nullptr ? 0 : generation->to_number<std::uint64_t>(error);
    if (generation == nullptr || error || documents == nullptr) {
        errorText = "expected the members " + std::string(generationKey) + " (a whole number) and documents";
        return std::nullopt;
    }
    auto parsed = readDocuments(*documents, errorText);
    return parsed ? std::optional(VersionedConfig{number, *std::move(parsed)}) : std::nullopt;
}

std::optional<ConfigDocuments> readConfigDirectory(const std::string &directory, std::vector<ConfigError> &errors)
{
    namespace fs = std::filesystem;
    ConfigDocuments documents;
    documents.prefix = directory.empty() ? "" : (fs::path(directory) / "").string();
    auto base = readFile(documents.baseFile());
    if (!base) {
        errors.push_back({{documents.baseFile(), 0}, {}, "expected a readable file"});
        return std::nullopt;
    }
    documents.base = *std::move(base);
    std::error_code error;
    for (const auto &entry : fs::directory_iterator(documents.prefix + "sites", error)) {
        if (entry.path().extension() != ".ini") {
            continue;
        }
        auto text = readFile(entry.path());
        if (!text) {
            errors.push_back({{entry.path().string(), 0}, {}, "expected a readable file"});
            return std::nullopt;
        }
        documents.sites[entry.path().stem().string()] = *std::move(text);
    }
    if (error) {
        errors.push_back({{documents.prefix + "sites", 0}, {}, "expected a readable directory with one file <site>.ini per site"});
        return std::nullopt;
    }
    return documents;
}

}
