#include "config/config_difference.h"
#include "config/config_loader.h"
#include "config/config_schema.h"
#include "config/process_settings.h"
#include "core/random.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace carawaypoint
{

namespace
{

constexpr const char *Base = "[pool p]\nengines_check_fencing = no\n"
                             "[model m]\nversion = 1\nvms_per_replica = 4\nreplicas = 2\npool = p\nfirst_token_deadline = 1500ms\n"
                             "[customer c]\nshare = 2\n"
                             "[site]\ndaemons = 2\n";
constexpr const char *Overlay = "[site]\nzone = a\n";

std::vector<std::string> errorTexts(const LoadedConfig &config)
{
    std::vector<std::string> texts;
    for (const auto &error : config.errors) {
        texts.push_back(error.toString());
    }
    return texts;
}

std::string sourcePath(const std::string &name)
{
    const char *root = std::getenv("CARAWAYPOINT_SOURCE");
    return std::string(root == nullptr ? "." : root) + "/" + name;
}

}

// Guards against values that are lost, read from the wrong key or reported with the wrong file and line.
TEST(ConfigLoader, buildsTheConfigurationOfEachSite)
{
    const auto loaded =
        loadConfig({Base, {{"north", Overlay}, {"south", "[site]\nzone = b\ndaemons = 3\n[model m]\nreplicas = 1\n"}}}, {{ZoneId("a"), "p", 4}});
    ASSERT_THAT(errorTexts(loaded), testing::IsEmpty());
    const auto &south = loaded.sites.at("south");
    const auto *model = south.findModel(ModelId("m"));
    ASSERT_NE(model, nullptr);
    EXPECT_EQ(model->replicas, 1U);
    EXPECT_EQ(model->vmsPerReplica, 4U);
    EXPECT_EQ(model->firstTokenDeadline, milliseconds(1500));
    EXPECT_EQ(south.siteSettings.daemons, 3U);
    EXPECT_EQ(south.findCustomer(CustomerId("c"))->share, 2);
    EXPECT_FALSE(south.findPool("p")->engineChecksFencing);
    EXPECT_EQ(south.repair.leaseTime, seconds(10));
    EXPECT_EQ(loaded.sites.at("north").findModel(ModelId("m"))->replicas, 2U);
    std::vector<std::string> origins;
    for (const auto &entry : south.entries) {
        if (entry.section == "model m") {
            origins.push_back(entry.key + "=" + entry.value + " " + entry.originText());
        }
    }
    EXPECT_THAT(origins, testing::IsSupersetOf({"replicas=1 sites/south.ini:5", "vms_per_replica=4 base.ini:5", "slots_per_replica=8 default"}));
}

// Guards against an error that is not reported, is reported without file and line, or hides another error.
TEST(ConfigLoader, reportsErrorsWithFileAndLine)
{
    struct Case {
        const char *base; // appended to Base, which has 12 lines
        const char *overlay; // appended to Overlay, which has 2 lines
        std::vector<std::string> errors;
    };
    const Case cases[] = {
        {"[modle x]\nversion = 1\n", "", {"base.ini:14: modle x.version: unknown section"}},
        {"", "[model m]\nreplica = 1\n", {"sites/north.ini:4: model m.replica: unknown key"}},
        {"daemons = 3\n", "", {"base.ini:13: site.daemons: expected once, stated before at base.ini:12"}},
        {"",
         "[model m]\nfirst_token_deadline = 2\n",
         {"sites/north.ini:4: model m.first_token_deadline: expected a time from 10ms to 10min with its unit (us, ms, s, min, h, d)"}},
        {"",
         "[model m]\nfirst_token_deadline = 2h\n",
         {"sites/north.ini:4: model m.first_token_deadline: expected a time from 10ms to 10min with its unit (us, ms, s, min, h, d)"}},
        {"", "[model m]\nreplicas = -1\n", {"sites/north.ini:4: model m.replicas: expected a whole number from 0 to 1000"}},
        {"",
         "[model m]\nreplicas = 2\n",
         {"sites/north.ini:4: model m.replicas: expected a value that differs from base.ini:6, which applies without this line"}},
        {"",
         "[model m]\nfirst_token_deadline = 1.5s\n",
         {"sites/north.ini:4: model m.first_token_deadline: expected a value that differs from base.ini:8, which applies without this line"}},
        {"",
         "[model m]\nvms_per_replica = 9\n",
         {"sites/north.ini:4: model m.vms_per_replica: expected at most 8, the VMs of the largest fabric domain of pool p in zone a"}},
        {"[customer d]\nmodels = m\n", "", {"base.ini:14: customer d.share: missing, expected a number from 0.001 to 1000000"}},
        {"[customer d]\nshare = 1\nmodels = m, n\n", "", {"base.ini:15: customer d.models: expected models that have a section, n has none"}},
        {"[service s]\npool = p\nrepeatable = no\n", "", {"base.ini:14: service s.pool: expected a pool without a section [pool p], which runs models"}},
        {"",
         "[model m]\npool = q\n",
         {"sites/north.ini:4: model m.pool: expected a pool that has a section [pool q]",
          "sites/north.ini:4: model m.pool: expected a pool that has a section [pool q]"}},
        {"",
         "[repair]\nlease_renewal = 6s\n",
         {"sites/north.ini:4: repair.lease_renewal: expected at most half of lease_time, so that one lost renewal does not lose the lease"}},
        {"[model]\nversion = 1\n", "", {"base.ini:14: model.version: expected [model <name>] with a name of letters, digits, '-' and '_' of at most 40 bytes"}},
        {"[customer d]\nshare = many\nmodel = m\n",
         "[routing]\nqueue_order = lifo\n",
         {"base.ini:14: customer d.share: expected a number from 0.001 to 1000000", "base.ini:15: customer d.model: unknown key",
          "sites/north.ini:4: routing.queue_order: expected one of short_first, fifo"}},
    };
    for (const auto &[base, overlay, expected] : cases) {
        const auto loaded = loadConfig({std::string(Base) + base, {{"north", std::string(Overlay) + overlay}}},
                                       {{ZoneId("a"), "p", 8}, {ZoneId("a"), "p", 4}, {ZoneId("a"), "q", 4}});
        auto unique = expected;
        unique.erase(std::unique(unique.begin(), unique.end()), unique.end());
        EXPECT_EQ(errorTexts(loaded), unique);
        EXPECT_TRUE(loaded.sites.empty()) << "a configuration with an error must not be built";
    }
}

// Guards against comments that become part of a value.
TEST(ConfigLoader, excludesCommentsFromValues)
{
    const auto loaded = loadConfig({std::string(Base) + "# a remark\n[customer d] ; a remark\nshare = 3 ; a remark\n", {{"north", Overlay}}});
    ASSERT_THAT(errorTexts(loaded), testing::IsEmpty());
    EXPECT_EQ(loaded.sites.at("north").findCustomer(CustomerId("d"))->share, 3);
}

// Guards against two sites that control the same zone, and against a configuration without sites.
TEST(ConfigLoader, rejectsSharedZonesAndMissingSites)
{
    EXPECT_THAT(errorTexts(loadConfig({Base, {{"north", Overlay}, {"south", Overlay}}})),
                testing::ElementsAre("sites/south.ini:2: site.zone: expected a zone of its own, site north has the same"));
    EXPECT_THAT(errorTexts(loadConfig({Base, {}})), testing::ElementsAre("base.ini:1: expected at least one site overlay"));
}

// Guards against a configuration that passes the checks and that the platform then refuses because of its size.
TEST(ConfigLoader, rejectsConfigurationsAboveTheSizeLimit)
{
    ConfigDocuments documents{Base, {{"north", Overlay}}};
    documents.base += std::string(600'000, '\n'); // two bytes each in JSON
    const auto loaded = loadConfig(documents);
    EXPECT_TRUE(loaded.isTooLarge);
    EXPECT_EQ(loaded.errors.size(), 1U);
}

// Guards against texts that JSON serialization changes, and against malformed JSON that is accepted.
TEST(ConfigDocuments, jsonKeepsTextsUnchanged)
{
    const ConfigDocuments documents{"a = \"1\"\n\t\\", {{"north", "x"}, {"south", ""}}};
    std::string errorText;
    const auto parsed = parseConfigDocuments(toJson(documents), errorText);
    ASSERT_TRUE(parsed);
    EXPECT_TRUE(parsed->hasSameTexts(documents));
    for (const auto *text :
         {"", "[]", "{}", R"({"base":"","sites":[]})", R"({"base":1,"sites":{}})", R"({"base":"","sites":{"a":1}})", R"({"base":"","sites":{},"x":1})"}) {
        EXPECT_FALSE(parseConfigDocuments(text, errorText)) << text;
    }
}

// Guards against a malformed generation that is parsed as 0, which would mean that no configuration was ever applied.
TEST(ConfigDocuments, jsonKeepsTheGeneration)
{
    std::string errorText;
    const auto parsed = parseVersionedConfig(toJson(VersionedConfig{7, {"b", {{"north", "x"}}}}), errorText);
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->generation, 7U);
    EXPECT_EQ(parsed->documents.sites.at("north"), "x");
    for (const auto *generation : {"-1", "\"7\"", "null", "1.5", "99999999999999999999"}) {
        const auto text = std::string(R"({"generation":)") + generation + R"(,"documents":{"base":"","sites":{}}})";
        EXPECT_FALSE(parseVersionedConfig(text, errorText)) << generation;
    }
    EXPECT_FALSE(parseVersionedConfig(R"({"generation":1})", errorText));
}

// Guards against a difference that is not reported, and against one that is reported for two notations of the same value.
TEST(ConfigDifference, reportsChangedValuesAndLines)
{
    const ConfigDocuments before{Base, {{"north", Overlay}}};
    ConfigDocuments after = before;
    after.base.replace(after.base.find("1500ms"), 6, "1.5s");
    after.sites["north"] += "; more replicas for the fair\n[model m]\nreplicas = 3\n";
    const auto values = compareValues(loadConfig(before), loadConfig(after));
    ASSERT_EQ(values.size(), 1U);
    EXPECT_EQ(values[0].site, "north");
    EXPECT_EQ(values[0].key, "model m.replicas");
    EXPECT_EQ(values[0].before->value + " " + values[0].before->originText(), "2 base.ini:6");
    EXPECT_EQ(values[0].after->value + " " + values[0].after->originText(), "3 sites/north.ini:5");
    std::vector<std::string> lines;
    for (const auto &line : compareLines(before, after)) {
        lines.push_back(line.file + ":" + std::to_string(line.line) + (line.isAdded ? " + " : " - ") + line.text);
    }
    EXPECT_THAT(lines,
                testing::ElementsAre("base.ini:8 - first_token_deadline = 1500ms", "base.ini:8 + first_token_deadline = 1.5s",
                                     "sites/north.ini:3 + ; more replicas for the fair", "sites/north.ini:4 + [model m]", "sites/north.ini:5 + replicas = 3"));
}

// Guards against a comparison that omits a line or reports a wrong line number: applying the differences to one text must
// give the other.
TEST(ConfigDifference, lineDifferencesPatchOneTextIntoTheOther)
{
    RandomGenerator random(5);
    for (int round = 0; round < 300; ++round) {
        std::vector<std::string> texts[2];
        for (auto &lines : texts) {
            for (auto count = random() % 8; count > 0; --count) {
                lines.emplace_back(1, static_cast<char>('a' + random() % 3));
            }
        }
        const auto join = [](const std::vector<std::string> &lines) {
            std::string text;
            for (const auto &line : lines) {
                text += line + "\n";
            }
            return text;
        };
        auto patched = texts[0];
        const auto differences = compareLines({join(texts[0]), {}}, {join(texts[1]), {}});
        for (auto it = differences.rbegin(); it != differences.rend(); ++it) {
            if (!it->isAdded) {
                ASSERT_EQ(patched.at(it->line - 1), it->text);
                patched.erase(patched.begin() + it->line - 1);
            }
        }
        for (const auto &difference : differences) {
            if (difference.isAdded) {
                ASSERT_LE(difference.line - 1, patched.size());
                patched.insert(patched.begin() + difference.line - 1, difference.text);
            }
        }
        ASSERT_EQ(patched, texts[1]) << "round " << round;
    }
}

// Guards against examples in examples/ that do not load.
TEST(ConfigLoader, loadsTheExamples)
{
    for (const auto *operatorName : {"bureau", "ladlewell"}) {
        std::vector<ConfigError> errors;
        const auto documents = readConfigDirectory(sourcePath("examples/") + operatorName, errors);
        ASSERT_TRUE(documents) << operatorName;
        const auto loaded = loadConfig(*documents);
        EXPECT_THAT(errorTexts(loaded), testing::IsEmpty());
        EXPECT_EQ(loaded.sites.size(), 3U);
        const auto process = loadProcessSettings(sourcePath("examples/") + operatorName + "/daemon.ini");
        EXPECT_TRUE(process.errors.empty()) << process.errors.front().toString();
        EXPECT_EQ(loaded.sites.at(process.settings.site).siteSettings.zone, process.settings.zone);
        for (const auto &[site, config] : loaded.sites) {
            EXPECT_EQ(config.customers.size(), 10U);
            EXPECT_EQ(config.services.size(), 1U);
        }
    }
}

// Guards against a schema change without an update of docs/settings.md.
TEST(ConfigSchema, referencePageIsUpToDate)
{
    std::ifstream file(sourcePath("docs/settings.md"));
    std::ostringstream text;
    text << file.rdbuf();
    EXPECT_EQ(text.str(), settingsReference()) << "run: carawaypoint config reference > docs/settings.md";
}

// Guards against a default value that its own key does not accept.
TEST(ConfigSchema, keysAcceptTheirDefaults)
{
    for (const auto &section : configSchema()) {
        for (const auto &key : section.keys) {
            EXPECT_TRUE(key.isRequired || parseValue(key, key.defaultText)) << section.name << "." << key.key;
            EXPECT_FALSE(key.description.empty()) << key.key;
        }
    }
}

}
