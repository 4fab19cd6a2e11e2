#include "config/config_layer.h"

#include "config/config_schema.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{

SectionId parseSectionId(std::string_view text)
{
    const auto space = text.find(' ');
    if (space == std::string_view::npos) {
        return {std::string(text), {}};
    }
    const auto name = text.find_first_not_of(' ', space);
    return {std::string(text.substr(0, space)), std::string(text.substr(std::min(name, text.size())))};
}

/// Describes the error in the section or key name of @p entry; empty when both are valid.
std::string describeNameError(const IniEntry &entry, const SectionId &section)
{
    const auto *schema = findSection(configSchema(), section.kind);
    if (schema == nullptr) {
        return "unknown section";
    }
    if (schema->isNamed && !parseValue(KeySchema{.kind = ValueKind::Name}, section.name)) {
        return "expected [" + section.kind + " <name>] with " + describeExpectation(KeySchema{.kind = ValueKind::Name});
    }
    if (!schema->isNamed && !section.name.empty()) {
        return "expected [" + section.kind + "] without a name";
    }
    return findKey(schema->keys, entry.key) == nullptr ? "unknown key" : "";
}

ConfigOrigin firstOrigin(const std::map<std::string, LayerValue, std::less<>> &values, const ConfigOrigin &fallback)
{
    const auto first = std::min_element(values.begin(), values.end(), [](const auto &a, const auto &b) {
        return std::pair(a.second.origin.file, a.second.origin.line) < std::pair(b.second.origin.file, b.second.origin.line);
    });
    return first == values.end() ? fallback : first->second.origin;
}

void checkRequiredKeys(const SectionId &id, const SectionSchema &schema, const ConfigLayer &layer, std::vector<ConfigError> &errors)
{
    static const std::map<std::string, LayerValue, std::less<>> none;
    const auto found = layer.sections.find(id);
    const auto &values = found == layer.sections.end() ? none : found->second;
    for (const auto &key : schema.keys) {
        if (key.isRequired && !values.contains(key.key)) {
            errors.push_back(
                {firstOrigin(values, {layer.file, 1}), id.toString() + "." + std::string(key.key), "missing, expected " + describeExpectation(key)});
        }
    }
}

}

ConfigLayer parseLayer(std::string_view text, const std::string &file, std::vector<ConfigError> &errors)
{
    ConfigLayer layer;
    layer.file = file;
    for (const auto &entry : parseIni(text, file, errors)) {
        const auto id = parseSectionId(entry.section);
        const auto name = id.toString() + "." + entry.key;
        if (auto nameError = describeNameError(entry, id); !nameError.empty()) {
            errors.push_back({entry.origin, name, std::move(nameError)});
            continue;
        }
        auto &section = layer.sections[id];
        if (const auto earlier = section.find(entry.key); earlier != section.end()) {
            errors.push_back({entry.origin, name, "expected once, stated before at " + earlier->second.origin.toString()});
            continue;
        }
        const auto &schema = *findKey(findSection(configSchema(), id.kind)->keys, entry.key);
        const auto value = parseValue(schema, entry.value);
        const bool isEmptyRequired = value && schema.isRequired && value->canonicalText.empty();
        if (!value || isEmptyRequired) {
            errors.push_back({entry.origin, name, "expected " + describeExpectation(schema) + (isEmptyRequired ? " that is not empty" : "")});
        }
        section[entry.key] = {value.value_or(ParsedValue{}), entry.origin, !value || isEmptyRequired};
    }
    return layer;
}

MergedConfig mergeLayers(const ConfigLayer &base, const ConfigLayer &overlay, std::vector<ConfigError> &errors)
{
    ConfigLayer merged = base;
    merged.file = overlay.file;
    for (const auto &[id, values] : overlay.sections) {
        auto &section = merged.sections[id];
        for (const auto &[key, value] : values) {
            const auto inBase = section.find(key);
            if (inBase != section.end() && !value.isInvalid && !inBase->second.isInvalid && inBase->second.value.canonicalText == value.value.canonicalText) {
                errors.push_back({value.origin, id.toString() + "." + key,
                                  "expected a value that differs from " + inBase->second.origin.toString() + ", which applies without this line"});
            }
            section[key] = value;
        }
    }
    for (const auto &schema : configSchema()) {
        if (!schema.isNamed) {
            checkRequiredKeys({std::string(schema.name), {}}, schema, merged, errors);
        }
    }
    for (const auto &[id, values] : merged.sections) {
        if (const auto *schema = findSection(configSchema(), id.kind); schema->isNamed) {
            checkRequiredKeys(id, *schema, merged, errors);
        }
    }
    return MergedConfig(std::move(merged));
}

std::vector<std::string> MergedConfig::sectionNames(std::string_view kind) const
{
    std::vector<std::string> names;
    for (const auto &[id, values] : layer_.sections) {
        if (id.kind == kind) {
            names.push_back(id.name);
        }
    }
    return names;
}

SectionValues MergedConfig::sectionValues(const SectionId &section) const
{
    std::map<std::string, ParsedValue, std::less<>> values;
    for (const auto &key : findSection(configSchema(), section.kind)->keys) {
        values.emplace(key.key, parseValue(key, key.defaultText).value_or(ParsedValue{}));
    }
    if (const auto found = layer_.sections.find(section); found != layer_.sections.end()) {
        for (const auto &[key, value] : found->second) {
            values[key] = value.value;
        }
    }
    return SectionValues(std::move(values));
}

ConfigOrigin MergedConfig::findOrigin(const SectionId &section, std::string_view key) const
{
    const auto found = layer_.sections.find(section);
    if (found == layer_.sections.end()) {
        return {layer_.file, 1};
    }
    const auto value = found->second.find(key);
    return value == found->second.end() ? firstOrigin(found->second, {layer_.file, 1}) : value->second.origin;
}

std::vector<EffectiveEntry> MergedConfig::entries() const
{
    std::vector<EffectiveEntry> entries;
    for (const auto &schema : configSchema()) {
        const auto names = schema.isNamed ? sectionNames(schema.name) : std::vector<std::string>{{}};
        for (const auto &name : names) {
            const SectionId id{std::string(schema.name), name};
            const auto values = sectionValues(id);
            const auto found = layer_.sections.find(id);
            for (const auto &key : schema.keys) {
                EffectiveEntry entry{id.toString(), std::string(key.key), values.at(key.key).canonicalText, {}};
                if (found != layer_.sections.end() && found->second.contains(key.key)) {
                    entry.origin = found->second.find(key.key)->second.origin;
                }
                entries.push_back(std::move(entry));
            }
        }
    }
    return entries;
}

}
